// Package chutequota accounts for what the runs of each workspace request, tells what workspaces with a quota may still start, and
// orders demands by the fair shares of their workspaces.
package chutequota
