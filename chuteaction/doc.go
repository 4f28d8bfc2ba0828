// Package chuteaction defines the events that the core in package chuteentry handles, the effects that it requests, and
// the rows of the store that both refer to.
package chuteaction
