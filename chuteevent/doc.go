// Package chuteevent defines what goes into and comes out of the core in chutecore: sealed events and effects of a
// node.
package chuteevent
