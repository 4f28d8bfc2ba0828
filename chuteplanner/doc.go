// Package chuteplanner prepares the tasks that wait for placement, and carries out what the placement decides, for
// the job scheduler.
package chuteplanner
