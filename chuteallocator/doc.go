// Package chuteallocator decides which waiting gang jobs of a shard get accelerators, where, and which running jobs
// it preempts for them.
package chuteallocator
