package chuteinventory

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chuteguarantee"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// Holding describes the accelerators that a borrower holds and the cost of preempting it.
type Holding struct {
	Job      string
	Blocks   []chutetopology.Block
	LostWork time.Duration // run time that would be wasted
}

// Claim is a possible way to run a guaranteed job in an idle cell.
type Claim struct {
	index   int                   // index of the cell in the inventory
	cell    chuteguarantee.Cell   // the cell, already on other accelerators if the claim moves it
	Blocks  []chutetopology.Block // blocks of the job, inside the cell
	Victims []string              // ids of the jobs to preempt first
}

// ClaimRequest describes the cell that a guaranteed job needs.
type ClaimRequest struct {
	Workspace           string
	Shape               chutetopology.Shape
	MaxCellAccelerators int                      // limit on the accelerators of the cell
	FailedOn            []chutetopology.WorkerID // workers on which the job failed; cells on them are not claimed
	MovableOnly         []chutetopology.WorkerID // workers kept for jobs that can move; no cell is moved there
	Excluded            []chutetopology.Block    // blocks that must not be taken from the jobs that hold them
	Preserved           chuteaccelerator.Space   // space to keep contiguous when a cell is moved
}

// Claim returns the cheapest way to run the requested shape in an idle cell of the workspace, and false if no cell is
// suitable. A cell on free accelerators costs nothing, nor does one that can move to spare accelerators. Otherwise Claim
// chooses the cell with the least lost work, and only the jobs in the way become victims. It calls borrowers, which
// returns their holdings, only if a job must be preempted.
func (iv Inventory) Claim(request ClaimRequest, borrowers func() []Holding) (Claim, bool) {
	var holdings []Holding
	var best Claim
	var leastLostWork time.Duration
	found := false
	for i, c := range iv.cells {
		if c.Workspace != request.Workspace || c.Holder != "" || !c.Packed() || !c.Shape.Contains(request.Shape) ||
			c.Shape.Total() > request.MaxCellAccelerators || onAny(c.Blocks, request.FailedOn) {
			continue
		}
		if claim, ok := iv.claimWithoutPreemption(i, c, request); ok {
			return claim, true
		}
		if holdings == nil {
			holdings = borrowers()
		}
		claim, lostWork, ok := iv.claimWithPreemption(i, c, request, holdings)
		if ok && (!found || lostWork < leastLostWork) {
			best, leastLostWork, found = claim, lostWork, true
		}
	}
	return best, found
}

// claimWithoutPreemption returns a claim without victims, in the cell where it is or moved to spare accelerators.
func (iv Inventory) claimWithoutPreemption(index int, c chuteguarantee.Cell, request ClaimRequest) (Claim, bool) {
	if blocks, ok := iv.free.Intersect(c.Blocks).Place(request.Shape); ok {
		return Claim{index: index, cell: c, Blocks: blocks}, true
	}
	if blocks, ok := iv.spare.WithoutWorkers(request.MovableOnly).PlacePreserving(c.Shape, request.Preserved); ok {
		cell := c.WithBlocks(blocks)
		inside, fits := iv.free.Intersect(blocks).Place(request.Shape)
		return Claim{index: index, cell: cell, Blocks: inside}, fits
	}
	return Claim{}, false
}

// claimWithPreemption returns the cheaper of two claims and its lost work: one preempts the borrowers in the cell, the
// other moves the cell to movable accelerators and preempts the borrowers there.
func (iv Inventory) claimWithPreemption(index int, c chuteguarantee.Cell, request ClaimRequest, holdings []Holding) (Claim, time.Duration, bool) {
	claim, lostWork, ok := iv.preemptIn(index, c, request, holdings)
	if ok && lostWork == 0 {
		return claim, lostWork, ok
	}
	blocks, fits := iv.withoutIdleCells(iv.movable, index).Without(request.Excluded).WithoutWorkers(request.FailedOn).Place(c.Shape)
	if !fits {
		return claim, lostWork, ok
	}
	other, otherLostWork, found := iv.preemptIn(index, c.WithBlocks(blocks), request, holdings)
	if found && (!ok || otherLostWork < lostWork) {
		return other, otherLostWork, true
	}
	return claim, lostWork, ok
}

// preemptIn returns the claim that preempts the borrowers in the way of the job in the cell, and the work that they lose.
func (iv Inventory) preemptIn(index int, c chuteguarantee.Cell, request ClaimRequest, holdings []Holding) (Claim, time.Duration, bool) {
	blocks, ok := iv.claimable.Intersect(c.Blocks).Without(request.Excluded).Place(request.Shape)
	if !ok {
		return Claim{}, 0, false
	}
	space := iv.claimable.Intersect(blocks)
	claim := Claim{index: index, cell: c, Blocks: blocks}
	var lostWork time.Duration
	for _, h := range holdings {
		if space.Overlap(h.Blocks) > 0 {
			claim.Victims = append(claim.Victims, h.Job)
			lostWork += h.LostWork
		}
	}
	return claim, lostWork, true
}

// WithClaim returns the inventory with the claim's cell held by the job.
func (iv Inventory) WithClaim(claim Claim, job string) Inventory {
	return iv.withCell(claim.index, claim.cell.WithHolder(job))
}

// WithClaimEnded returns the inventory with the job's cell idle again. If the cell has fewer accelerators than its shape,
// because workers were lost meanwhile or because it was given to an adopted job with a smaller shape, it is repacked.
func (iv Inventory) WithClaimEnded(job string) Inventory {
	for i, c := range iv.cells {
		if c.Holder != job {
			continue
		}
		c = c.WithHolder("")
		if countAccelerators(c.Blocks) < c.Shape.Total() {
			c = c.WithBlocks(nil)
		}
		return iv.withCell(i, c).Repacked()
	}
	return iv
}

// countAccelerators returns the number of accelerators in the blocks.
func countAccelerators(blocks []chutetopology.Block) int {
	sum := 0
	for _, bl := range blocks {
		sum += bl.Mask.Count()
	}
	return sum
}

// WithAdopted returns the inventory with an idle cell of the workspace moved to the blocks of a job that was found running
// on them, and reports whether there was a suitable cell. Idle cells in the way are repacked.
func (iv Inventory) WithAdopted(workspace, job string, shape chutetopology.Shape, blocks []chutetopology.Block) (Inventory, bool) {
	for i, c := range iv.cells {
		if c.Workspace == workspace && c.Holder == "" && c.Shape.Contains(shape) {
			return iv.withCell(i, c.WithBlocks(blocks).WithHolder(job)).Repacked(), true
		}
	}
	return iv, false
}

// onAny reports whether a block is on one of the workers.
func onAny(blocks []chutetopology.Block, workers []chutetopology.WorkerID) bool {
	return slices.ContainsFunc(blocks, func(b chutetopology.Block) bool { return slices.Contains(workers, b.Worker) })
}
