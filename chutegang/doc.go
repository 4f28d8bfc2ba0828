// Package chutegang drives the attempts of gang jobs on a shard's workers: it reserves accelerators, starts, watches
// and stops the parts, and finishes the attempt.
package chutegang
