package chuteaccelerator

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutetopology"
)

// workerMask holds the accelerators of one worker that are in a space.
type workerMask struct {
	id   chutetopology.WorkerID
	mask chutetopology.Mask
}

// rack is the immutable part of a space that lies in one rack.
type rack struct {
	id      chutetopology.RackID
	zone    chutetopology.ZoneID
	workers []workerMask
	total   int // accelerators in the space
}

// position locates a worker by its indexes in Space.racks and rack.workers.
type position struct{ rack, worker int }

// Space is an immutable set of accelerators, grouped by rack and zone.
type Space struct {
	racks []*rack
	index map[chutetopology.WorkerID]position // shared by all spaces of one topology, hence never changed
}

// New returns the space of all accelerators of the topology.
func New(topology chutetopology.Topology) Space {
	s := Space{index: make(map[chutetopology.WorkerID]position, len(topology.Workers()))}
	for _, w := range topology.Workers() {
		last := len(s.racks) - 1
		if last < 0 || s.racks[last].id != w.Rack || s.racks[last].zone != w.Zone {
			s.racks = append(s.racks, &rack{id: w.Rack, zone: w.Zone})
			last++
		}
		r := s.racks[last]
		s.index[w.ID] = position{rack: last, worker: len(r.workers)}
		r.workers = append(r.workers, workerMask{id: w.ID, mask: chutetopology.FullMask(w.Accelerators)})
		r.total += w.Accelerators
	}
	return s
}

// Mask returns the accelerators of the worker that are in the space.
func (s Space) Mask(worker chutetopology.WorkerID) chutetopology.Mask {
	at, ok := s.index[worker]
	if !ok {
		return 0
	}
	return s.racks[at.rack].workers[at.worker].mask
}

// Zone returns the zone of the worker, empty if the topology does not have the worker.
func (s Space) Zone(worker chutetopology.WorkerID) chutetopology.ZoneID {
	at, ok := s.index[worker]
	if !ok {
		return ""
	}
	return s.racks[at.rack].zone
}

// WithMask returns the space with the worker's accelerators set to the mask, and the same space if the topology does
// not have the worker.
func (s Space) WithMask(worker chutetopology.WorkerID, mask chutetopology.Mask) Space {
	at, ok := s.index[worker]
	if !ok || s.racks[at.rack].workers[at.worker].mask == mask {
		return s
	}
	old := s.racks[at.rack]
	changed := &rack{id: old.id, zone: old.zone, workers: slices.Clone(old.workers)}
	changed.workers[at.worker].mask = mask
	changed.total = old.total - old.workers[at.worker].mask.Count() + mask.Count()
	racks := slices.Clone(s.racks)
	racks[at.rack] = changed
	return Space{racks: racks, index: s.index}
}

// With returns the space with the blocks added.
func (s Space) With(blocks []chutetopology.Block) Space {
	for _, b := range blocks {
		s = s.WithMask(b.Worker, s.Mask(b.Worker)|b.Mask)
	}
	return s
}

// Without returns the space with the blocks removed.
func (s Space) Without(blocks []chutetopology.Block) Space {
	for _, b := range blocks {
		s = s.WithMask(b.Worker, s.Mask(b.Worker)&^b.Mask)
	}
	return s
}

// WithoutWorkers returns the space without the accelerators of the workers.
func (s Space) WithoutWorkers(workers []chutetopology.WorkerID) Space {
	for _, id := range workers {
		s = s.WithMask(id, 0)
	}
	return s
}

// Has reports whether every accelerator of the blocks is in the space.
func (s Space) Has(blocks []chutetopology.Block) bool {
	for _, b := range blocks {
		if s.Mask(b.Worker)&b.Mask != b.Mask {
			return false
		}
	}
	return true
}

// Overlap returns the number of accelerators of the blocks that are in the space.
func (s Space) Overlap(blocks []chutetopology.Block) int {
	count := 0
	for _, b := range blocks {
		count += (s.Mask(b.Worker) & b.Mask).Count()
	}
	return count
}

// Total returns the number of accelerators in the space.
func (s Space) Total() int {
	total := 0
	for _, r := range s.racks {
		total += r.total
	}
	return total
}

// Intersect returns the part of the space that lies in the blocks. Its topology has only the workers of the blocks.
func (s Space) Intersect(blocks []chutetopology.Block) Space {
	part := Space{index: make(map[chutetopology.WorkerID]position, len(blocks))}
	for _, b := range blocks {
		at, ok := s.index[b.Worker]
		if !ok {
			continue
		}
		part = part.withWorker(s.racks[at.rack], workerMask{id: b.Worker, mask: b.Mask & s.Mask(b.Worker)})
	}
	return part
}

// withWorker adds the worker to a space under construction, changing it in place; from is the rack of the worker in the
// complete space. The racks stay grouped by zone in whatever order workers are added.
func (s Space) withWorker(from *rack, added workerMask) Space {
	if at, ok := s.index[added.id]; ok {
		r := s.racks[at.rack]
		r.total += (added.mask &^ r.workers[at.worker].mask).Count()
		r.workers[at.worker].mask |= added.mask
		return s
	}
	index := slices.IndexFunc(s.racks, func(r *rack) bool { return r.id == from.id && r.zone == from.zone })
	if index < 0 {
		index = slices.IndexFunc(s.racks, func(r *rack) bool { return r.zone > from.zone })
		if index < 0 {
			index = len(s.racks)
		}
		s.racks = slices.Insert(s.racks, index, &rack{id: from.id, zone: from.zone})
		for id, p := range s.index {
			if p.rack >= index {
				s.index[id] = position{rack: p.rack + 1, worker: p.worker}
			}
		}
	}
	r := s.racks[index]
	s.index[added.id] = position{rack: index, worker: len(r.workers)}
	r.workers = append(r.workers, added)
	r.total += added.mask.Count()
	return s
}
