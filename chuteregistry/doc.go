// Package chuteregistry is a shard owner's registry of its workers: their health, leases, clocks and the gang jobs
// on them.
package chuteregistry
