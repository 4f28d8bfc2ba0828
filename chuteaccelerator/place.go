package chuteaccelerator

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chutetopology"
)

// candidate is a possible block for one part, with the criteria of best fit.
type candidate struct {
	block     chutetopology.Block
	enclosing int // accelerators of the largest free aligned block that contains it
	rackTotal int // accelerators of its rack in the space to preserve
}

// compareCandidates orders candidates from the best fit to the worst.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.enclosing, b.enclosing), cmp.Compare(a.rackTotal, b.rackTotal))
}

// Place returns blocks for the shape, taken from the smallest free blocks that are large enough, and false if the shape
// does not fit. Among free blocks of the same size it prefers those in the rack with the fewest accelerators left, so that
// empty racks stay empty.
func (s Space) Place(shape chutetopology.Shape) ([]chutetopology.Block, bool) {
	return s.PlacePreserving(shape, s)
}

// PlacePreserving works like Place but compares racks and zones by what they have of the preserved space, which must have
// the same topology, and prefers those that have the least of it.
func (s Space) PlacePreserving(shape chutetopology.Shape, preserved Space) ([]chutetopology.Block, bool) {
	switch shape.Within {
	case chutetopology.LevelWorker:
		return s.placeOnWorker(shape, preserved)
	case chutetopology.LevelRack:
		return s.placeInRack(shape, preserved)
	case chutetopology.LevelZone:
		return s.placeInZone(shape, preserved)
	}
	return nil, false
}

// placeOnWorker is PlacePreserving for a shape within one worker: it chooses the best fit.
func (s Space) placeOnWorker(shape chutetopology.Shape, preserved Space) ([]chutetopology.Block, bool) {
	size := shape.BlockSize()
	var best candidate
	for i, r := range s.racks {
		if r.total < size {
			continue
		}
		for _, wm := range r.workers {
			mask, enclosing := wm.mask.BestBlock(size)
			if enclosing == 0 {
				continue
			}
			c := candidate{chutetopology.Block{Worker: wm.id, Mask: mask}, enclosing, preserved.racks[i].total}
			if best.enclosing == 0 || compareCandidates(c, best) < 0 {
				best = c
			}
		}
	}
	if best.enclosing == 0 {
		return nil, false
	}
	return []chutetopology.Block{best.block}, true
}

// placeInRack is PlacePreserving for a shape within one rack: it chooses the rack with the fewest preserved blocks.
func (s Space) placeInRack(shape chutetopology.Shape, preserved Space) ([]chutetopology.Block, bool) {
	best, fewest := -1, 0
	for i, r := range s.racks {
		if r.total < shape.Total() {
			continue
		}
		if r.countBlocks(shape.BlockSize()) < shape.Parts {
			continue
		}
		if n := preserved.racks[i].countBlocks(shape.BlockSize()); best < 0 || n < fewest {
			best, fewest = i, n
		}
	}
	if best < 0 {
		return nil, false
	}
	return pickBlocks([]*rack{s.racks[best]}, shape), true
}

// placeInZone is PlacePreserving for a shape within one zone: it chooses the zone with the fewest preserved blocks.
func (s Space) placeInZone(shape chutetopology.Shape, preserved Space) ([]chutetopology.Block, bool) {
	var best []*rack
	fewest := 0
	preservedZones := preserved.racksByZone()
	for i, zone := range s.racksByZone() {
		if countAllBlocks(zone, shape.BlockSize()) < shape.Parts {
			continue
		}
		if n := countAllBlocks(preservedZones[i], shape.BlockSize()); best == nil || n < fewest {
			best, fewest = zone, n
		}
	}
	if best == nil {
		return nil, false
	}
	return pickBlocks(best, shape), true
}

// pickBlocks returns blocks for the parts of the shape from the racks, the best fit first. The racks must have enough of
// them.
func pickBlocks(racks []*rack, shape chutetopology.Shape) []chutetopology.Block {
	size := shape.BlockSize()
	var all []candidate
	for _, r := range racks {
		for _, wm := range r.workers {
			all = appendCandidates(all, wm, r.total, size)
		}
	}
	slices.SortStableFunc(all, compareCandidates)
	blocks := make([]chutetopology.Block, 0, shape.Parts)
	for _, c := range all[:shape.Parts] {
		blocks = append(blocks, c.block)
	}
	return blocks
}

// appendCandidates appends the worker's blocks of the size in the order in which best fit would choose them.
func appendCandidates(all []candidate, wm workerMask, rackTotal, size int) []candidate {
	mask := wm.mask
	widest := 0
	for {
		block, enclosing := mask.BestBlock(size)
		if enclosing == 0 {
			return all
		}
		widest = max(widest, enclosing)
		all = append(all, candidate{chutetopology.Block{Worker: wm.id, Mask: block}, widest, rackTotal})
		mask &^= block
	}
}

// Placements returns a placement of the shape for each rack or zone of its level that differs from the others in its free
// accelerators, those with the fewest blocks for the shape first. If no packing exists with any of these placements, none
// exists at all. For a shape in one worker it returns at most one placement.
func (s Space) Placements(shape chutetopology.Shape) [][]chutetopology.Block {
	if shape.Within == chutetopology.LevelWorker {
		blocks, ok := s.placeOnWorker(shape, s)
		if !ok {
			return nil
		}
		return [][]chutetopology.Block{blocks}
	}
	groups := s.racksByZone()
	if shape.Within == chutetopology.LevelRack {
		groups = s.distinctRacks()
	}
	slices.SortStableFunc(groups, func(a, b []*rack) int {
		return cmp.Compare(countAllBlocks(a, shape.BlockSize()), countAllBlocks(b, shape.BlockSize()))
	})
	var placements [][]chutetopology.Block
	for _, group := range groups {
		if countAllBlocks(group, shape.BlockSize()) >= shape.Parts {
			placements = append(placements, pickBlocks(group, shape))
		}
	}
	return placements
}
