package chuteinventory

import (
	"slices"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chuteguarantee"
)

// WithCells returns the inventory with these cells in place of the old ones. Cells that represent the same guarantee
// keep their accelerators and holders, and the cells are repacked.
func (iv Inventory) WithCells(cells []chuteguarantee.Cell) Inventory {
	next := make([]chuteguarantee.Cell, 0, len(cells))
	for _, c := range cells {
		for _, old := range iv.cells {
			if old.SameGuarantee(c) {
				c = old
				break
			}
		}
		next = append(next, c)
	}
	iv = iv.withoutReservations()
	iv.cells = next
	return iv.withReservations().Repacked()
}

// withoutReservations returns the inventory with no accelerators claimed by or reserved for cells.
func (iv Inventory) withoutReservations() Inventory {
	for _, c := range iv.cells {
		iv = iv.withoutReservation(c)
	}
	return iv
}

// withReservations returns the inventory with the accelerators of every cell claimed or reserved.
func (iv Inventory) withReservations() Inventory {
	for _, c := range iv.cells {
		iv = iv.withReservation(c)
	}
	return iv
}

// withReservation returns the inventory with the accelerators of the cell claimed if a job holds it, else reserved.
func (iv Inventory) withReservation(c chuteguarantee.Cell) Inventory {
	if c.Holder != "" {
		iv.claimed = iv.claimed.With(c.Blocks)
	} else {
		iv.reserved = iv.reserved.With(c.Blocks)
	}
	return iv.recomputedAll(c.Blocks)
}

// withoutReservation returns the inventory with the accelerators of the cell no longer claimed or reserved by it.
func (iv Inventory) withoutReservation(c chuteguarantee.Cell) Inventory {
	if c.Holder != "" {
		iv.claimed = iv.claimed.Without(c.Blocks)
	} else {
		iv.reserved = iv.reserved.Without(c.Blocks)
	}
	return iv.recomputedAll(c.Blocks)
}

// withCell replaces the cell at the index and its reservation.
func (iv Inventory) withCell(index int, c chuteguarantee.Cell) Inventory {
	iv = iv.withoutReservation(iv.cells[index])
	iv.cells = slices.Clone(iv.cells)
	iv.cells[index] = c
	return iv.withReservation(c)
}

// Repacked returns the inventory with every idle cell on claimable accelerators, as far as they suffice. Cells that are
// on such accelerators stay there; if the others cannot be placed around them, all idle cells are packed from scratch.
// Movable accelerators are preferred, since a claim stops the work that runs in the cell.
func (iv Inventory) Repacked() Inventory {
	for i, c := range iv.cells {
		if c.Holder != "" || c.Packed() && iv.claimable.Has(c.Blocks) {
			continue
		}
		blocks, ok := iv.withoutIdleCells(iv.movable, i).Place(c.Shape)
		if !ok {
			blocks, ok = iv.withoutIdleCells(iv.claimable, i).Place(c.Shape)
		}
		if !ok {
			return iv.fullyRepacked()
		}
		iv = iv.withCell(i, c.WithBlocks(blocks))
	}
	return iv
}

// withoutIdleCells returns the space without the accelerators of all idle cells except the one at the index.
func (iv Inventory) withoutIdleCells(space chuteaccelerator.Space, except int) chuteaccelerator.Space {
	for i, c := range iv.cells {
		if i != except && c.Holder == "" {
			space = space.Without(c.Blocks)
		}
	}
	return space
}

// fullyRepacked returns the inventory with all idle cells packed from scratch.
func (iv Inventory) fullyRepacked() Inventory {
	var idle, inUse []chuteguarantee.Cell
	for _, c := range iv.cells {
		if c.Holder == "" {
			idle = append(idle, c)
		} else {
			inUse = append(inUse, c)
		}
	}
	packed, unpacked := chuteguarantee.Pack(iv.movable, idle)
	if len(unpacked) > 0 {
		packed, unpacked = chuteguarantee.Pack(iv.claimable, idle)
	}
	iv = iv.withoutReservations()
	iv.cells = slices.Concat(inUse, packed, unpacked)
	return iv.withReservations()
}
