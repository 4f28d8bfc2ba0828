package chutetopology

import (
	"cmp"
	"slices"
)

// MaxAccelerators is the largest number of accelerators that one worker may have.
const MaxAccelerators = 64

// ZoneID identifies an availability zone.
type ZoneID string

// RackID identifies a rack; it is unique across all zones.
type RackID string

// WorkerID identifies a worker.
type WorkerID string

// Worker is a host with accelerators.
type Worker struct {
	ID           WorkerID
	Zone         ZoneID
	Rack         RackID
	Accelerators int
	Address      string // host and port of its agent
}

// Topology is an immutable set of workers, sorted by zone, rack and id.
type Topology struct {
	workers []Worker
}

// New returns the topology of the workers. It leaves out those that have no accelerators or more than MaxAccelerators.
func New(workers []Worker) Topology {
	kept := make([]Worker, 0, len(workers))
	for _, w := range workers {
		if w.Accelerators > 0 && w.Accelerators <= MaxAccelerators {
			kept = append(kept, w)
		}
	}
	slices.SortFunc(kept, compareWorkers)
	return Topology{workers: kept}
}

func compareWorkers(a, b Worker) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
}

// Workers returns the workers, sorted by zone, rack and id; the caller must not change the slice.
func (t Topology) Workers() []Worker {
	return t.workers
}

// Equal reports whether both topologies have the same workers.
func (t Topology) Equal(other Topology) bool {
	return t.Same(other) || slices.Equal(t.workers, other.workers)
}

// Same reports whether both topologies share their workers in memory. It is faster than Equal but returns false for equal
// topologies that were made separately.
func (t Topology) Same(other Topology) bool {
	if len(t.workers) != len(other.workers) {
		return false
	}
	return len(t.workers) == 0 || &t.workers[0] == &other.workers[0]
}

// Zones returns the zones that have workers, sorted.
func (t Topology) Zones() []ZoneID {
	var zones []ZoneID
	for _, w := range t.workers {
		if len(zones) == 0 || zones[len(zones)-1] != w.Zone {
			zones = append(zones, w.Zone)
		}
	}
	return zones
}

// WithoutZone returns the topology without the workers of the zone.
func (t Topology) WithoutZone(zone ZoneID) Topology {
	kept := make([]Worker, 0, len(t.workers))
	for _, w := range t.workers {
		if w.Zone != zone {
			kept = append(kept, w)
		}
	}
	return Topology{workers: kept}
}
