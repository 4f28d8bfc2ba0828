package chuteguarantee

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// minSearchBudget is the number of placements that the search for one packing may try, however few cells there are.
	minSearchBudget = 2_000
	// searchBudgetPerCell, multiplied by the number of cells, is the budget if that exceeds minSearchBudget.
	searchBudgetPerCell = 2
)

// Cell is one guaranteed shape of a workspace and the accelerators that the packing reserves for it.
type Cell struct {
	Workspace string
	Shape     chutetopology.Shape
	Number    int                   // index among the workspace's guaranteed shapes, from zero
	Blocks    []chutetopology.Block // empty while the cell cannot be packed
	Holder    string                // id of the guaranteed job that runs in the cell, empty when idle
}

// WithBlocks returns the cell with the blocks as its accelerators.
func (c Cell) WithBlocks(blocks []chutetopology.Block) Cell {
	c.Blocks = blocks
	return c
}

// WithHolder returns the cell held by the job; an empty id makes it idle.
func (c Cell) WithHolder(job string) Cell {
	c.Holder = job
	return c
}

// Packed reports whether the cell has accelerators.
func (c Cell) Packed() bool {
	return len(c.Blocks) > 0
}

// SameGuarantee reports whether both cells represent the same guaranteed shape of the document.
func (c Cell) SameGuarantee(other Cell) bool {
	return c.Workspace == other.Workspace && c.Number == other.Number && c.Shape == other.Shape
}

// comparePacking orders cells by their level, the most constrained first, and inside a level by their size, the largest
// first. Cells on one worker come last, as they fit on any worker. For them, largest first finds a packing if there is
// one, because block sizes divide each other.
func comparePacking(a, b Cell) int {
	return cmp.Or(
		cmp.Compare(levelRank(a.Shape.Within), levelRank(b.Shape.Within)),
		-cmp.Compare(a.Shape.BlockSize(), b.Shape.BlockSize()),
		-cmp.Compare(a.Shape.Parts, b.Shape.Parts),
		cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Number, b.Number),
	)
}

// levelRank returns the position of the level in the packing order.
func levelRank(level chutetopology.Level) int {
	switch level {
	case chutetopology.LevelRack:
		return 0
	case chutetopology.LevelZone:
		return 1
	case chutetopology.LevelWorker:
		return 2
	}
	return 3
}

// Pack returns the cells packed into the space. If its search finds no place for all of them, it packs the cells one by
// one and returns those that find no place, without blocks, as unpacked.
func Pack(space chuteaccelerator.Space, cells []Cell) (packed, unpacked []Cell) {
	order := slices.Clone(cells)
	slices.SortStableFunc(order, comparePacking)
	search := &search{budget: max(minSearchBudget, searchBudgetPerCell*len(order)), cells: order, blocks: make([][]chutetopology.Block, len(order))}
	if search.packFrom(space, 0) {
		for i, c := range order {
			packed = append(packed, c.WithBlocks(search.blocks[i]))
		}
		return packed, nil
	}
	return packGreedily(space, order)
}

// packGreedily places the cells one by one in the order given, without backtracking.
func packGreedily(space chuteaccelerator.Space, order []Cell) (packed, unpacked []Cell) {
	for _, c := range order {
		blocks, ok := space.Place(c.Shape)
		if !ok {
			unpacked = append(unpacked, c.WithBlocks(nil))
			continue
		}
		packed = append(packed, c.WithBlocks(blocks))
		space = space.Without(blocks)
	}
	return packed, unpacked
}

// search is a depth-first search with backtracking for a packing, bounded by a budget.
type search struct {
	budget int // placements that may still be tried
	cells  []Cell
	blocks [][]chutetopology.Block // placement of each cell
}

// packFrom packs the cells from the index on and reports whether all fit within the budget.
func (s *search) packFrom(space chuteaccelerator.Space, index int) bool {
	if index == len(s.cells) {
		return true
	}
	for _, blocks := range space.Placements(s.cells[index].Shape) {
		if s.budget--; s.budget < 0 {
			return false
		}
		s.blocks[index] = blocks
		if s.packFrom(space.Without(blocks), index+1) {
			return true
		}
	}
	return false
}
