package chuteinventory

import (
	"fmt"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chuteguarantee"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// Inventory is the immutable account of a shard's accelerators. The last four spaces are derived from the others: free is
// usable less held and assigned, claimable is usable less claimed, spare is free less reserved and claimed, and movable
// is usable less immovable, assigned and claimed.
type Inventory struct {
	topology  chutetopology.Topology
	all       chuteaccelerator.Space
	usable    chuteaccelerator.Space // accelerators of workers that may start work
	held      chuteaccelerator.Space // held by any job
	claimed   chuteaccelerator.Space // in cells that a job has claimed; no other job can claim them
	immovable chuteaccelerator.Space // held by jobs that cannot move: guaranteed, or unable to save their progress
	assigned  chuteaccelerator.Space // assigned to jobs that wait until other jobs release them
	reserved  chuteaccelerator.Space // in idle cells of the packing
	free      chuteaccelerator.Space
	claimable chuteaccelerator.Space
	spare     chuteaccelerator.Space
	movable   chuteaccelerator.Space
	cells     []chuteguarantee.Cell
}

// New returns the inventory of the topology in which no worker is usable, nothing is held and nothing is guaranteed.
func New(topology chutetopology.Topology) Inventory {
	empty := chuteaccelerator.New(topology)
	for _, w := range topology.Workers() {
		empty = empty.WithMask(w.ID, 0)
	}
	return Inventory{
		topology: topology, all: chuteaccelerator.New(topology), usable: empty, held: empty, claimed: empty,
		assigned: empty, reserved: empty, free: empty, claimable: empty, spare: empty, immovable: empty, movable: empty,
	}
}

// Topology returns the topology of the workers in the inventory.
func (iv Inventory) Topology() chutetopology.Topology {
	return iv.topology
}

// Free returns the usable accelerators that no job holds or has assigned.
func (iv Inventory) Free() chuteaccelerator.Space {
	return iv.free
}

// Spare returns the free accelerators outside every cell.
func (iv Inventory) Spare() chuteaccelerator.Space {
	return iv.spare
}

// Claimable returns the usable accelerators outside the claimed cells.
func (iv Inventory) Claimable() chuteaccelerator.Space {
	return iv.claimable
}

// Movable returns the usable accelerators outside the claimed cells that are free or held by jobs that can move.
func (iv Inventory) Movable() chuteaccelerator.Space {
	return iv.movable
}

// Usable returns the accelerators of workers that may start work.
func (iv Inventory) Usable() chuteaccelerator.Space {
	return iv.usable
}

// Cells returns the cells of the packing; the caller must not change the slice.
func (iv Inventory) Cells() []chuteguarantee.Cell {
	return iv.cells
}

// Unpacked returns the cells for which the packing has no place at present.
func (iv Inventory) Unpacked() []chuteguarantee.Cell {
	var unpacked []chuteguarantee.Cell
	for _, c := range iv.cells {
		if !c.Packed() {
			unpacked = append(unpacked, c)
		}
	}
	return unpacked
}

// recomputed returns the inventory with the worker's part of the derived spaces computed again.
func (iv Inventory) recomputed(worker chutetopology.WorkerID) Inventory {
	usable := iv.usable.Mask(worker)
	free := usable &^ iv.held.Mask(worker) &^ iv.assigned.Mask(worker)
	iv.free = iv.free.WithMask(worker, free)
	iv.claimable = iv.claimable.WithMask(worker, usable&^iv.claimed.Mask(worker))
	iv.movable = iv.movable.WithMask(worker, usable&^iv.immovable.Mask(worker)&^iv.assigned.Mask(worker)&^iv.claimed.Mask(worker))
	iv.spare = iv.spare.WithMask(worker, free&^iv.reserved.Mask(worker)&^iv.claimed.Mask(worker))
	return iv
}

// recomputedAll returns the inventory with the derived spaces computed again for the workers of the blocks.
func (iv Inventory) recomputedAll(blocks []chutetopology.Block) Inventory {
	for _, bl := range blocks {
		iv = iv.recomputed(bl.Worker)
	}
	return iv
}

// WithUsable returns the inventory with the worker's accelerators usable or not. It does not repack the cells: the caller
// calls Repacked after a series of such changes.
func (iv Inventory) WithUsable(worker chutetopology.WorkerID, usable bool) Inventory {
	mask := chutetopology.Mask(0)
	if usable {
		mask = iv.all.Mask(worker)
	}
	iv.usable = iv.usable.WithMask(worker, mask)
	return iv.recomputed(worker)
}

// WithHeld returns the inventory with the blocks held by a job; movable tells whether that job can move.
func (iv Inventory) WithHeld(blocks []chutetopology.Block, movable bool) Inventory {
	iv.held = iv.held.With(blocks)
	if !movable {
		iv.immovable = iv.immovable.With(blocks)
	}
	return iv.recomputedAll(blocks)
}

// WithReleased returns the inventory with the blocks no longer held.
func (iv Inventory) WithReleased(blocks []chutetopology.Block) Inventory {
	iv.held = iv.held.Without(blocks)
	iv.immovable = iv.immovable.Without(blocks)
	return iv.recomputedAll(blocks)
}

// WithAssigned returns the inventory with the blocks assigned to a job that waits until other jobs release them.
func (iv Inventory) WithAssigned(blocks []chutetopology.Block) Inventory {
	iv.assigned = iv.assigned.With(blocks)
	return iv.recomputedAll(blocks)
}

// WithAssignmentEnded returns the inventory with the blocks no longer assigned.
func (iv Inventory) WithAssignmentEnded(blocks []chutetopology.Block) Inventory {
	iv.assigned = iv.assigned.Without(blocks)
	return iv.recomputedAll(blocks)
}

// Held reports whether a job holds any of the blocks.
func (iv Inventory) Held(blocks []chutetopology.Block) bool {
	return iv.held.Overlap(blocks) > 0
}

// Vacant reports whether every block is usable and no job holds any of its accelerators.
func (iv Inventory) Vacant(blocks []chutetopology.Block) bool {
	return iv.usable.Has(blocks) && !iv.Held(blocks)
}

// HasUsable reports whether every block is on a worker that may start work.
func (iv Inventory) HasUsable(blocks []chutetopology.Block) bool {
	return iv.usable.Has(blocks)
}

// Check returns an error if the inventory violates one of its invariants.
func (iv Inventory) Check() error {
	seen := make(map[chutetopology.WorkerID]chutetopology.Mask)
	for _, c := range iv.cells {
		for _, bl := range c.Blocks {
			if seen[bl.Worker]&bl.Mask != 0 {
				return fmt.Errorf("cells overlap on worker %s", bl.Worker)
			}
			seen[bl.Worker] |= bl.Mask
		}
		if c.Holder == "" && !iv.claimable.Has(c.Blocks) {
			return fmt.Errorf("idle cell %s/%d is not claimable", c.Workspace, c.Number)
		}
	}
	for _, w := range iv.topology.Workers() {
		if iv.free.Mask(w.ID) != iv.usable.Mask(w.ID)&^iv.held.Mask(w.ID)&^iv.assigned.Mask(w.ID) {
			return fmt.Errorf("free accelerators of worker %s are not those usable, not held and not assigned", w.ID)
		}
	}
	return nil
}
