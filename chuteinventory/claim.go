package chuteinventory

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chuteguarantee"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// Holding is a job that holds revocable accelerators, with what its eviction would waste.
type Holding struct {
	Job      string
	Blocks   []chutetopology.Block
	LostWork time.Duration
}

// Claim is a way to give a guaranteed job its accelerators.
type Claim struct {
	cell    int
	moved   chuteguarantee.Cell   // the cell, on the accelerators that it takes
	Blocks  []chutetopology.Block // of the job, inside the cell
	Victims []string              // jobs to stop first
}

// Wish is what a guaranteed job asks of the book.
type ClaimRequest struct {
	Workspace           string
	Shape               chutetopology.Shape
	MaxCellAccelerators int                      // accelerators of the largest cell that it may take
	FailedOn            []chutetopology.WorkerID // whose cells are not taken
	Draining            []chutetopology.WorkerID // on which no cell is moved for it
	Excluded            []chutetopology.Block    // that must not be taken from the jobs that hold them
	Preserved           chuteaccelerator.Space   // that moves of cells should leave together
}

// Claim returns the cheapest way to run the shape in an idle cell of the workspace, and false if it has no cell that
// holds the shape. A cell on free accelerators costs nothing, nor does one that can move to spare ones; otherwise the
// one with the least work lost is taken, and only the jobs in the way are victims. The revocable holdings are asked for
// only when one must be evicted.
func (b Inventory) Claim(wish ClaimRequest, revocable func() []Holding) (Claim, bool) {
	var holdings []Holding
	var best Claim
	var least time.Duration
	found := false
	for i, c := range b.cells {
		if c.Workspace != wish.Workspace || c.Holder != "" || !c.Packed() || !c.Shape.Contains(wish.Shape) ||
			c.Shape.Total() > wish.MaxCellAccelerators || onAny(c.Blocks, wish.FailedOn) {
			continue
		}
		if claim, ok := b.freeClaim(i, c, wish); ok {
			return claim, true
		}
		if holdings == nil {
			holdings = revocable()
		}
		claim, lost, ok := b.evictingClaim(i, c, wish, holdings)
		if ok && (!found || lost < least) {
			best, least, found = claim, lost, true
		}
	}
	return best, found
}

// freeClaim returns a claim that stops nobody, in the cell or where it can move.
func (b Inventory) freeClaim(at int, c chuteguarantee.Cell, wish ClaimRequest) (Claim, bool) {
	if blocks, ok := b.free.Intersect(c.Blocks).Place(wish.Shape); ok {
		return Claim{cell: at, moved: c, Blocks: blocks}, true
	}
	if blocks, ok := b.spare.WithoutWorkers(wish.Draining).PlacePreserving(c.Shape, wish.Preserved); ok {
		moved := c.WithBlocks(blocks)
		inside, fits := b.free.Intersect(blocks).Place(wish.Shape)
		return Claim{cell: at, moved: moved, Blocks: inside}, fits
	}
	return Claim{}, false
}

// evictingClaim returns the cheaper of two ways to stop borrowers for the job: those in the cell, or those in a place to
// which the cell can move and whose work can move on.
func (b Inventory) evictingClaim(at int, c chuteguarantee.Cell, wish ClaimRequest, holdings []Holding) (Claim, time.Duration, bool) {
	claim, lost, ok := b.evictFrom(at, c, wish, holdings)
	if ok && lost == 0 {
		return claim, lost, ok
	}
	blocks, fits := b.withoutIdle(b.movable, at).Without(wish.Excluded).WithoutWorkers(wish.FailedOn).Place(c.Shape)
	if !fits {
		return claim, lost, ok
	}
	moved, less, found := b.evictFrom(at, c.WithBlocks(blocks), wish, holdings)
	if found && (!ok || less < lost) {
		return moved, less, true
	}
	return claim, lost, ok
}

// evictFrom returns the claim that stops the borrowers in the way of the job in the cell, and the work that they lose.
func (b Inventory) evictFrom(at int, c chuteguarantee.Cell, wish ClaimRequest, holdings []Holding) (Claim, time.Duration, bool) {
	blocks, ok := b.claimable.Intersect(c.Blocks).Without(wish.Excluded).Place(wish.Shape)
	if !ok {
		return Claim{}, 0, false
	}
	wanted := b.claimable.Intersect(blocks)
	claim := Claim{cell: at, moved: c, Blocks: blocks}
	var lost time.Duration
	for _, h := range holdings {
		if wanted.Overlap(h.Blocks) > 0 {
			claim.Victims = append(claim.Victims, h.Job)
			lost += h.LostWork
		}
	}
	return claim, lost, true
}

// WithClaim returns the book with the claim's cell in use by the job.
func (b Inventory) WithClaim(claim Claim, job string) Inventory {
	return b.withCell(claim.cell, claim.moved.WithHolder(job))
}

// WithClaimEnded returns the book with the job's cell idle again, repacked if its workers were lost meanwhile or if an
// adopted job had less than the whole shape.
func (b Inventory) WithClaimEnded(job string) Inventory {
	for i, c := range b.cells {
		if c.Holder != job {
			continue
		}
		c = c.WithHolder("")
		if total(c.Blocks) < c.Shape.Total() {
			c = c.WithBlocks(nil)
		}
		return b.withCell(i, c).Repacked()
	}
	return b
}

func total(blocks []chutetopology.Block) int {
	sum := 0
	for _, bl := range blocks {
		sum += bl.Mask.Count()
	}
	return sum
}

// WithAdopted returns the book with a cell of the workspace in use by a job that was found running on the blocks, and
// whether one was found; idle cells in the way are repacked.
func (b Inventory) WithAdopted(workspace, job string, shape chutetopology.Shape, blocks []chutetopology.Block) (Inventory, bool) {
	for i, c := range b.cells {
		if c.Workspace == workspace && c.Holder == "" && c.Shape.Contains(shape) {
			return b.withCell(i, c.WithBlocks(blocks).WithHolder(job)).Repacked(), true
		}
	}
	return b, false
}

// onAny reports whether a block is on one of the workers.
func onAny(blocks []chutetopology.Block, workers []chutetopology.WorkerID) bool {
	return slices.ContainsFunc(blocks, func(b chutetopology.Block) bool { return slices.Contains(workers, b.Worker) })
}
