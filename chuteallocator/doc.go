// Package chuteallocator decides which waiting gang jobs of a shard get accelerators, where, and which running jobs
// yield them.
package chuteallocator
