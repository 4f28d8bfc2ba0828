package chuteaccelerator

import (
	"cmp"
	"slices"
	"strings"

	"monsoonchute.example/monsoonchute/chutetopology"
)

// candidate is one possible block of a part, with what makes it fit well.
type candidate struct {
	block  chutetopology.Block
	around int // size of the free block that it is cut from
	rest   int // accelerators that its rack should keep together
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.around, b.around), cmp.Compare(a.rest, b.rest))
}

// Place returns blocks for the shape, cut from the smallest blocks that serve, and false if it does not fit. Among equal
// blocks those in the rack with the fewest accelerators left are taken, so that whole racks stay whole.
func (s Space) Place(shape chutetopology.Shape) ([]chutetopology.Block, bool) {
	return s.PlacePreserving(shape, s)
}

// PlaceBeside is Place, with the racks and zones compared by what they have of the kept space, a space of the same
// topology: those with the least of it are taken.
func (s Space) PlacePreserving(shape chutetopology.Shape, kept Space) ([]chutetopology.Block, bool) {
	switch shape.Within {
	case chutetopology.LevelWorker:
		return s.placeOnWorker(shape, kept)
	case chutetopology.LevelRack:
		return s.placeInRack(shape, kept)
	case chutetopology.LevelZone:
		return s.placeInZone(shape, kept)
	}
	return nil, false
}

func (s Space) placeOnWorker(shape chutetopology.Shape, kept Space) ([]chutetopology.Block, bool) {
	size := shape.BlockSize()
	var best candidate
	for i, r := range s.racks {
		if r.total < size {
			continue
		}
		for _, sl := range r.slots {
			mask, around := sl.mask.BestBlock(size)
			if around == 0 {
				continue
			}
			c := candidate{chutetopology.Block{Worker: sl.id, Mask: mask}, around, kept.racks[i].total}
			if best.around == 0 || compareCandidates(c, best) < 0 {
				best = c
			}
		}
	}
	if best.around == 0 {
		return nil, false
	}
	return []chutetopology.Block{best.block}, true
}

func (s Space) placeInRack(shape chutetopology.Shape, kept Space) ([]chutetopology.Block, bool) {
	best, fewest := -1, 0
	for i, r := range s.racks {
		if r.total < shape.Total() {
			continue
		}
		if r.count(shape.BlockSize()) < shape.Parts {
			continue
		}
		if n := kept.racks[i].count(shape.BlockSize()); best < 0 || n < fewest {
			best, fewest = i, n
		}
	}
	if best < 0 {
		return nil, false
	}
	return pick([]*rack{s.racks[best]}, shape), true
}

func (s Space) placeInZone(shape chutetopology.Shape, kept Space) ([]chutetopology.Block, bool) {
	var best []*rack
	fewest := 0
	keptZones := kept.zones()
	for i, zone := range s.zones() {
		if countAll(zone, shape.BlockSize()) < shape.Parts {
			continue
		}
		if n := countAll(keptZones[i], shape.BlockSize()); best == nil || n < fewest {
			best, fewest = zone, n
		}
	}
	if best == nil {
		return nil, false
	}
	return pick(best, shape), true
}

// zones returns the racks grouped by zone.
func (s Space) zones() [][]*rack {
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

// count returns the number of aligned blocks of the size in the rack.
func (r *rack) count(size int) int {
	count := 0
	for _, sl := range r.slots {
		count += sl.mask.Starts(size).Count()
	}
	return count
}

// pick takes the shape's parts from the racks, smallest enclosing blocks first; the racks must hold enough.
func pick(racks []*rack, shape chutetopology.Shape) []chutetopology.Block {
	size := shape.BlockSize()
	var all []candidate
	for _, r := range racks {
		for _, sl := range r.slots {
			all = appendCandidates(all, sl, r.total, size)
		}
	}
	slices.SortStableFunc(all, compareCandidates)
	blocks := make([]chutetopology.Block, 0, shape.Parts)
	for _, c := range all[:shape.Parts] {
		blocks = append(blocks, c.block)
	}
	return blocks
}

// appendCandidates appends the slot's blocks in the order in which best fit would take them.
func appendCandidates(all []candidate, sl slot, rest, size int) []candidate {
	mask := sl.mask
	widest := 0
	for {
		block, around := mask.BestBlock(size)
		if around == 0 {
			return all
		}
		widest = max(widest, around)
		all = append(all, candidate{chutetopology.Block{Worker: sl.id, Mask: block}, widest, rest})
		mask &^= block
	}
}

// Choices returns a placement of the shape for each block of its level that differs from the others in its free
// accelerators, the tightest first; a packing that fails with all of them fails altogether.
func (s Space) Placements(shape chutetopology.Shape) [][]chutetopology.Block {
	if shape.Within == chutetopology.LevelWorker {
		blocks, ok := s.placeOnWorker(shape, s)
		if !ok {
			return nil
		}
		return [][]chutetopology.Block{blocks}
	}
	groups := s.zones()
	if shape.Within == chutetopology.LevelRack {
		groups = s.distinctRacks()
	}
	slices.SortStableFunc(groups, func(a, b []*rack) int {
		return cmp.Compare(countAll(a, shape.BlockSize()), countAll(b, shape.BlockSize()))
	})
	var choices [][]chutetopology.Block
	for _, group := range groups {
		if countAll(group, shape.BlockSize()) >= shape.Parts {
			choices = append(choices, pick(group, shape))
		}
	}
	return choices
}

func countAll(racks []*rack, size int) int {
	count := 0
	for _, r := range racks {
		count += r.count(size)
	}
	return count
}

// distinctRacks returns one rack of each set of racks in the same zone that are alike in their free blocks.
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

// signature returns the free blocks of each slot by size, the same for racks alike but for the order of slots.
func (r *rack) signature() string {
	slots := make([]string, 0, len(r.slots))
	for _, sl := range r.slots {
		var counts []byte
		for size := 1; size <= chutetopology.MaxAccelerators; size *= 2 {
			counts = append(counts, byte(sl.mask.Starts(size).Count()))
		}
		slots = append(slots, string(counts))
	}
	slices.Sort(slots)
	return strings.Join(slots, "")
}

// Roomiest returns the workers of the group of the shape's level that has the most blocks for it.
func (s Space) RoomiestWorkers(shape chutetopology.Shape) []chutetopology.WorkerID {
	groups := s.zones()
	if shape.Within != chutetopology.LevelZone {
		groups = s.distinctRacks()
	}
	var best []*rack
	for _, group := range groups {
		if best == nil || countAll(group, shape.BlockSize()) > countAll(best, shape.BlockSize()) {
			best = group
		}
	}
	var workers []chutetopology.WorkerID
	for _, r := range best {
		for _, sl := range r.slots {
			workers = append(workers, sl.id)
		}
	}
	return workers
}
