package chuteaccelerator

import (
	"slices"
	"strings"

	"monsoonchute.example/monsoonchute/chutetopology"
)

// racksByZone returns the racks grouped by zone.
func (s Space) racksByZone() [][]*rack {
	var groups [][]*rack
	for start := 0; start < len(s.racks); {
		end := start
		for end < len(s.racks) && s.racks[end].zone == s.racks[start].zone {
			end++
		}
		groups = append(groups, s.racks[start:end])
		start = end
	}
	return groups
}

// distinctRacks returns one rack of each set of racks in the same zone that have the same free blocks.
func (s Space) distinctRacks() [][]*rack {
	seen := make(map[string]bool)
	var groups [][]*rack
	for i, r := range s.racks {
		signature := string(r.zone) + "/" + r.signature()
		if !seen[signature] {
			seen[signature] = true
			groups = append(groups, s.racks[i:i+1])
		}
	}
	return groups
}

// signature encodes the number of free blocks of each size on each worker. It does not depend on the order of workers.
func (r *rack) signature() string {
	workers := make([]string, 0, len(r.workers))
	for _, wm := range r.workers {
		var counts []byte
		for size := 1; size <= chutetopology.MaxAccelerators; size *= 2 {
			counts = append(counts, byte(wm.mask.Starts(size).Count()))
		}
		workers = append(workers, string(counts))
	}
	slices.Sort(workers)
	return strings.Join(workers, "")
}

// countBlocks returns the number of aligned blocks of the size in the rack.
func (r *rack) countBlocks(size int) int {
	count := 0
	for _, wm := range r.workers {
		count += wm.mask.Starts(size).Count()
	}
	return count
}

// countAllBlocks returns the number of aligned blocks of the size in the racks.
func countAllBlocks(racks []*rack, size int) int {
	count := 0
	for _, r := range racks {
		count += r.countBlocks(size)
	}
	return count
}

// LargestGroup returns the workers of the rack or zone, by the shape's level, that has the most blocks for the shape.
func (s Space) LargestGroup(shape chutetopology.Shape) []chutetopology.WorkerID {
	groups := s.racksByZone()
	if shape.Within != chutetopology.LevelZone {
		groups = s.distinctRacks()
	}
	var best []*rack
	for _, group := range groups {
		if best == nil || countAllBlocks(group, shape.BlockSize()) > countAllBlocks(best, shape.BlockSize()) {
			best = group
		}
	}
	var workers []chutetopology.WorkerID
	for _, r := range best {
		for _, wm := range r.workers {
			workers = append(workers, wm.id)
		}
	}
	return workers
}
