// Package chutering provides rings, which are bounded queues between duties. A duty that waits on a ring does not spin,
// and a ring counts the items that it refuses.
package chutering
