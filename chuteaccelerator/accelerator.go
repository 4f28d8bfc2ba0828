package chuteaccelerator

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutetopology"
)

// slot is one worker's part of a space.
type slot struct {
	id   chutetopology.WorkerID
	mask chutetopology.Mask
}

// rack is an immutable group of slots.
type rack struct {
	id    chutetopology.RackID
	zone  chutetopology.ZoneID
	slots []slot
	total int
}

// position locates a worker's slot.
type position struct{ rack, slot int }

// Space is an immutable set of accelerators, grouped by rack and zone.
type Space struct {
	racks []*rack
	index map[chutetopology.WorkerID]position // shared by all spaces of one topology, never written
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
		s.index[w.ID] = position{rack: last, slot: len(r.slots)}
		r.slots = append(r.slots, slot{id: w.ID, mask: chutetopology.FullMask(w.Accelerators)})
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
	return s.racks[at.rack].slots[at.slot].mask
}

// Zone returns the zone of the worker, empty if the topology does not have it.
func (s Space) Zone(worker chutetopology.WorkerID) chutetopology.ZoneID {
	at, ok := s.index[worker]
	if !ok {
		return ""
	}
	return s.racks[at.rack].zone
}

// WithMask returns the space with the worker's accelerators set to the mask; unknown workers change nothing.
func (s Space) WithMask(worker chutetopology.WorkerID, mask chutetopology.Mask) Space {
	at, ok := s.index[worker]
	if !ok || s.racks[at.rack].slots[at.slot].mask == mask {
		return s
	}
	old := s.racks[at.rack]
	changed := &rack{id: old.id, zone: old.zone, slots: slices.Clone(old.slots)}
	changed.slots[at.slot].mask = mask
	changed.total = old.total - old.slots[at.slot].mask.Count() + mask.Count()
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

// Only returns the part of the space that lies in the blocks.
func (s Space) Intersect(blocks []chutetopology.Block) Space {
	part := Space{index: make(map[chutetopology.WorkerID]position, len(blocks))}
	for _, b := range blocks {
		at, ok := s.index[b.Worker]
		if !ok {
			continue
		}
		part = part.withSlot(s.racks[at.rack], slot{id: b.Worker, mask: b.Mask & s.Mask(b.Worker)})
	}
	return part
}

// withSlot adds the slot to a space under construction; blocks of one rack or zone need not arrive together.
func (s Space) withSlot(of *rack, added slot) Space {
	if at, ok := s.index[added.id]; ok {
		r := s.racks[at.rack]
		r.total += (added.mask &^ r.slots[at.slot].mask).Count()
		r.slots[at.slot].mask |= added.mask
		return s
	}
	at := slices.IndexFunc(s.racks, func(r *rack) bool { return r.id == of.id && r.zone == of.zone })
	if at < 0 {
		at = slices.IndexFunc(s.racks, func(r *rack) bool { return r.zone > of.zone })
		if at < 0 {
			at = len(s.racks)
		}
		s.racks = slices.Insert(s.racks, at, &rack{id: of.id, zone: of.zone})
		for id, p := range s.index {
			if p.rack >= at {
				s.index[id] = position{rack: p.rack + 1, slot: p.slot}
			}
		}
	}
	r := s.racks[at]
	s.index[added.id] = position{rack: at, slot: len(r.slots)}
	r.slots = append(r.slots, added)
	r.total += added.mask.Count()
	return s
}
