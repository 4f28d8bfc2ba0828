package chuteinventory

import (
	"fmt"
	"slices"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chuteguarantee"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// Book is the immutable account of a shard's accelerators. Its spaces always agree: free is usable less held and promised;
// claimable is usable less firm; spare is free less reserved and firm;
// movable is usable less fixed, promised and firm.
type Inventory struct {
	topology  chutetopology.Topology
	full      chuteaccelerator.Space
	usable    chuteaccelerator.Space // of workers that may start work
	held      chuteaccelerator.Space // by any job
	firm      chuteaccelerator.Space // by cells in use: not revocable
	fixed     chuteaccelerator.Space // by jobs that cannot move: guaranteed, or unable to save their progress
	promised  chuteaccelerator.Space // to jobs that wait until others have left
	reserved  chuteaccelerator.Space // by idle cells of the witness
	free      chuteaccelerator.Space
	claimable chuteaccelerator.Space
	spare     chuteaccelerator.Space
	movable   chuteaccelerator.Space
	cells     []chuteguarantee.Cell
}

// New returns the book of the topology with every worker unusable, nothing held and nothing guaranteed.
func New(topology chutetopology.Topology) Inventory {
	empty := chuteaccelerator.New(topology)
	for _, w := range topology.Workers() {
		empty = empty.WithMask(w.ID, 0)
	}
	return Inventory{
		topology: topology, full: chuteaccelerator.New(topology), usable: empty, held: empty, firm: empty,
		promised: empty, reserved: empty, free: empty, claimable: empty, spare: empty, fixed: empty, movable: empty,
	}
}

// Topology returns the workers that the book covers.
func (b Inventory) Topology() chutetopology.Topology {
	return b.topology
}

// Free returns the usable accelerators that no job holds.
func (b Inventory) Free() chuteaccelerator.Space {
	return b.free
}

// Spare returns the free accelerators outside every cell.
func (b Inventory) Spare() chuteaccelerator.Space {
	return b.spare
}

// Claimable returns the usable accelerators outside the cells in use.
func (b Inventory) Claimable() chuteaccelerator.Space {
	return b.claimable
}

// Movable returns the usable accelerators outside the cells in use that are free or held by jobs that can be moved.
func (b Inventory) Movable() chuteaccelerator.Space {
	return b.movable
}

// Usable returns the accelerators of workers that may start work.
func (b Inventory) Usable() chuteaccelerator.Space {
	return b.usable
}

// Cells returns the witness; the caller must not change the slice.
func (b Inventory) Cells() []chuteguarantee.Cell {
	return b.cells
}

// Lost returns the cells that the witness cannot pack at present.
func (b Inventory) Unpacked() []chuteguarantee.Cell {
	var lost []chuteguarantee.Cell
	for _, c := range b.cells {
		if !c.Packed() {
			lost = append(lost, c)
		}
	}
	return lost
}

// refreshed returns the book with the derived masks of the worker computed again.
func (b Inventory) refreshed(worker chutetopology.WorkerID) Inventory {
	usable := b.usable.Mask(worker)
	free := usable &^ b.held.Mask(worker) &^ b.promised.Mask(worker)
	b.free = b.free.WithMask(worker, free)
	b.claimable = b.claimable.WithMask(worker, usable&^b.firm.Mask(worker))
	b.movable = b.movable.WithMask(worker, usable&^b.fixed.Mask(worker)&^b.promised.Mask(worker)&^b.firm.Mask(worker))
	b.spare = b.spare.WithMask(worker, free&^b.reserved.Mask(worker)&^b.firm.Mask(worker))
	return b
}

func (b Inventory) refreshedAll(blocks []chutetopology.Block) Inventory {
	for _, bl := range blocks {
		b = b.refreshed(bl.Worker)
	}
	return b
}

// WithUsable returns the book with the worker's accelerators usable or not. The witness is not repacked: the caller
// ends a run of changes with Repacked.
func (b Inventory) WithUsable(worker chutetopology.WorkerID, usable bool) Inventory {
	mask := chutetopology.Mask(0)
	if usable {
		mask = b.full.Mask(worker)
	}
	b.usable = b.usable.WithMask(worker, mask)
	return b.refreshed(worker)
}

// WithHeld returns the book with the blocks held by a job, which can be moved or not.
func (b Inventory) WithHeld(blocks []chutetopology.Block, movable bool) Inventory {
	b.held = b.held.With(blocks)
	if !movable {
		b.fixed = b.fixed.With(blocks)
	}
	return b.refreshedAll(blocks)
}

// WithReturned returns the book with the blocks no longer held.
func (b Inventory) WithReleased(blocks []chutetopology.Block) Inventory {
	b.held = b.held.Without(blocks)
	b.fixed = b.fixed.Without(blocks)
	return b.refreshedAll(blocks)
}

// WithCells returns the book with the guarantees' cells in place of the old ones. Cells that stand for the same
// guarantee keep their accelerators and holders; the witness is repacked.
func (b Inventory) WithCells(cells []chuteguarantee.Cell) Inventory {
	next := make([]chuteguarantee.Cell, 0, len(cells))
	for _, c := range cells {
		for _, old := range b.cells {
			if old.SameGuarantee(c) {
				c = old
				break
			}
		}
		next = append(next, c)
	}
	b = b.withoutReservations()
	b.cells = next
	return b.withReservations().Repacked()
}

// WithPromised returns the book with the blocks promised to a job that waits until others have left them.
func (b Inventory) WithAssigned(blocks []chutetopology.Block) Inventory {
	b.promised = b.promised.With(blocks)
	return b.refreshedAll(blocks)
}

// WithPromiseEnded returns the book with the blocks no longer promised.
func (b Inventory) WithAssignmentEnded(blocks []chutetopology.Block) Inventory {
	b.promised = b.promised.Without(blocks)
	return b.refreshedAll(blocks)
}

// Held reports whether a job holds any of the blocks.
func (b Inventory) Held(blocks []chutetopology.Block) bool {
	return b.held.Overlap(blocks) > 0
}

// Cleared reports whether every block is usable and held by nobody.
func (b Inventory) Vacant(blocks []chutetopology.Block) bool {
	return b.usable.Has(blocks) && !b.Held(blocks)
}

// Serviceable reports whether every block is on a worker that may start work.
func (b Inventory) HasUsable(blocks []chutetopology.Block) bool {
	return b.usable.Has(blocks)
}

func (b Inventory) withoutReservations() Inventory {
	for _, c := range b.cells {
		b.firm = b.firm.Without(c.Blocks)
		b.reserved = b.reserved.Without(c.Blocks)
		b = b.refreshedAll(c.Blocks)
	}
	return b
}

func (b Inventory) withReservations() Inventory {
	for _, c := range b.cells {
		b = b.withCellMarked(c)
	}
	return b
}

func (b Inventory) withCellMarked(c chuteguarantee.Cell) Inventory {
	if c.Holder != "" {
		b.firm = b.firm.With(c.Blocks)
	} else {
		b.reserved = b.reserved.With(c.Blocks)
	}
	return b.refreshedAll(c.Blocks)
}

// withCell returns the book with the cell at the position replaced, its old reservation given up first.
func (b Inventory) withCell(at int, c chuteguarantee.Cell) Inventory {
	old := b.cells[at]
	if old.Holder != "" {
		b.firm = b.firm.Without(old.Blocks)
	} else {
		b.reserved = b.reserved.Without(old.Blocks)
	}
	b = b.refreshedAll(old.Blocks)
	b.cells = slices.Clone(b.cells)
	b.cells[at] = c
	return b.withCellMarked(c)
}

// Repacked returns the book with every idle cell on accelerators that can be claimed. Cells that still are stay where
// they are; if the rest cannot be placed around them, all idle cells are packed anew. Accelerators whose work can move are taken
// first, since a claim stops what runs there.
func (b Inventory) Repacked() Inventory {
	for i, c := range b.cells {
		if c.Holder != "" || c.Packed() && b.claimable.Has(c.Blocks) {
			continue
		}
		blocks, ok := b.withoutIdle(b.movable, i).Place(c.Shape)
		if !ok {
			blocks, ok = b.withoutIdle(b.claimable, i).Place(c.Shape)
		}
		if !ok {
			return b.packedAnew()
		}
		b = b.withCell(i, c.WithBlocks(blocks))
	}
	return b
}

// withoutIdle returns the space without the accelerators of all idle cells but the one at the position.
func (b Inventory) withoutIdle(space chuteaccelerator.Space, but int) chuteaccelerator.Space {
	for i, c := range b.cells {
		if i != but && c.Holder == "" {
			space = space.Without(c.Blocks)
		}
	}
	return space
}

func (b Inventory) packedAnew() Inventory {
	var idle, inUse []chuteguarantee.Cell
	for _, c := range b.cells {
		if c.Holder == "" {
			idle = append(idle, c)
		} else {
			inUse = append(inUse, c)
		}
	}
	packed, lost := chuteguarantee.Pack(b.movable, idle)
	if len(lost) > 0 {
		packed, lost = chuteguarantee.Pack(b.claimable, idle)
	}
	b = b.withoutReservations()
	b.cells = slices.Concat(inUse, packed, lost)
	return b.withReservations()
}

// Check returns an error if the book breaks one of its invariants.
func (b Inventory) Check() error {
	seen := make(map[chutetopology.WorkerID]chutetopology.Mask)
	for _, c := range b.cells {
		for _, bl := range c.Blocks {
			if seen[bl.Worker]&bl.Mask != 0 {
				return fmt.Errorf("cells overlap on worker %s", bl.Worker)
			}
			seen[bl.Worker] |= bl.Mask
		}
		if c.Holder == "" && !b.claimable.Has(c.Blocks) {
			return fmt.Errorf("idle cell %s/%d is not claimable", c.Workspace, c.Number)
		}
	}
	for _, w := range b.topology.Workers() {
		if b.free.Mask(w.ID) != b.usable.Mask(w.ID)&^b.held.Mask(w.ID)&^b.promised.Mask(w.ID) {
			return fmt.Errorf("free disagrees with held on worker %s", w.ID)
		}
	}
	return nil
}
