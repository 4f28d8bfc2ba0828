// Package chuteaction defines what goes into and comes out of the core in chuteentry: sealed events and effects of
// the job scheduler.
package chuteaction
