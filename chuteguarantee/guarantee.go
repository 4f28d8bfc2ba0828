package chuteguarantee

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// searchBudget is the number of placements that one packing may try before it counts as failed.
	searchBudget = 2_000
	// searchPerCell is the same for each cell, where that is more.
	searchPerCell = 2
)

// Cell is one guaranteed shape of a workspace with the accelerators that the witness gives it.
type Cell struct {
	Workspace string
	Shape     chutetopology.Shape
	Number    int                   // position among the workspace's guaranteed shapes, from zero
	Blocks    []chutetopology.Block // empty while the cell cannot be packed
	Holder    string                // id of the guaranteed job that runs in the cell, empty when idle
}

// WithBlocks returns the cell on the blocks.
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

// SameGuarantee reports whether both cells stand for the same guaranteed shape of the document.
func (c Cell) SameGuarantee(other Cell) bool {
	return c.Workspace == other.Workspace && c.Number == other.Number && c.Shape == other.Shape
}

// packOrder sorts cells so that those with the most constrained level are packed first. Cells on one worker come
// last: any worker serves them, so that the largest first is exact for sizes that divide each other.
func packOrder(a, b Cell) int {
	return cmp.Or(
		cmp.Compare(levelOrder(a.Shape.Within), levelOrder(b.Shape.Within)),
		-cmp.Compare(a.Shape.BlockSize(), b.Shape.BlockSize()),
		-cmp.Compare(a.Shape.Parts, b.Shape.Parts),
		cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Number, b.Number),
	)
}

func levelOrder(level chutetopology.Level) int {
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

// Pack places all cells in the space at once. If that is impossible it packs as many as it can, cell by cell, and
// returns those left without blocks as lost.
func Pack(space chuteaccelerator.Space, cells []Cell) (packed, lost []Cell) {
	order := slices.Clone(cells)
	slices.SortStableFunc(order, packOrder)
	search := &search{budget: max(searchBudget, searchPerCell*len(order)), cells: order, blocks: make([][]chutetopology.Block, len(order))}
	if search.fill(space, 0) {
		for i, c := range order {
			packed = append(packed, c.WithBlocks(search.blocks[i]))
		}
		return packed, nil
	}
	return packGreedily(space, order)
}

func packGreedily(space chuteaccelerator.Space, order []Cell) (packed, lost []Cell) {
	for _, c := range order {
		blocks, ok := space.Place(c.Shape)
		if !ok {
			lost = append(lost, c.WithBlocks(nil))
			continue
		}
		packed = append(packed, c.WithBlocks(blocks))
		space = space.Without(blocks)
	}
	return packed, lost
}

// search is one bounded depth-first packing.
type search struct {
	budget int
	cells  []Cell
	blocks [][]chutetopology.Block
}

// fill packs the cells from the position on and reports whether all fit.
func (s *search) fill(space chuteaccelerator.Space, at int) bool {
	if at == len(s.cells) {
		return true
	}
	for _, blocks := range space.Placements(s.cells[at].Shape) {
		if s.budget--; s.budget < 0 {
			return false
		}
		s.blocks[at] = blocks
		if s.fill(space.Without(blocks), at+1) {
			return true
		}
	}
	return false
}
