package chuteallocator

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteinventory"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// firstBandLimit is the accelerator time at which a job leaves the first band.
const firstBandLimit = 10 * time.Minute

// Grant gives accelerators to one waiting job. If it has victims, the job waits until they have released the blocks.
type Grant struct {
	Job        chutejob.ID
	Blocks     []chutetopology.Block
	Guaranteed bool
	Victims    []chutejob.ID // running jobs to preempt
	Held       bool          // whether the job holds the blocks now; otherwise they are assigned to it until they are vacant
}

// View is the input of a planning pass.
type View struct {
	Now       time.Time
	Document  chutedocument.Document
	Inventory chuteinventory.Inventory
	Waiting   []chutejob.Job // jobs that may start now
	Holding   []chutejob.Job // jobs that hold accelerators or have some assigned
	Rooms     map[string]int // by workspace with a limit: accelerators that its jobs may take now beyond those in use

	MaxGrants int // limit on the grants of one pass
}

// Decision is the result of a planning pass.
type Decision struct {
	Inventory chuteinventory.Inventory // accounts for the grants
	Grants    []Grant
	Held      map[string]Held // by workspace whose limit holds jobs back
}

// pass is the state of one planning pass.
type pass struct {
	view             View
	inventory        chuteinventory.Inventory
	grants           []Grant
	rooms            map[string]int       // what Rooms leaves after the grants of this pass
	held             map[string]Held      // by workspace
	counted          map[chutejob.ID]bool // jobs counted as held back
	startabilities   map[startKey]startability
	granted          map[chutejob.ID]bool
	preempted        map[chutejob.ID]bool
	borrowed         []chutetopology.Block // blocks granted to borrowers in this pass
	usage            usage
	weights          map[string]float64           // by workspace, nil without weights
	movableOnly      []chutetopology.WorkerID     // workers kept clear of jobs that cannot move, for a starved gang
	borrowFailed     map[chutetopology.Shape]bool // shapes without a free placement in this pass
	preemptionFailed map[chutetopology.Shape]bool // shapes without a placement even after preemption
}

// Plan returns the grants of one pass. It serves jobs from cells that fit them
// closely, then from free accelerators, then from any cell that they fit, and at last by preemption. At each of these
// stages it serves urgent jobs first, then starved jobs, then those in the lowest band of accelerator time, then those
// that were submitted first. If the document has weights, the workspaces' shares come directly after urgency.
func Plan(view View) Decision {
	if len(view.Waiting) == 0 {
		return Decision{Inventory: view.Inventory}
	}
	p := &pass{
		view: view, inventory: view.Inventory, usage: countUsage(view),
		rooms: maps.Clone(view.Rooms), held: make(map[string]Held), counted: make(map[chutejob.ID]bool),
		startabilities: make(map[startKey]startability),
		granted:        make(map[chutejob.ID]bool), preempted: make(map[chutejob.ID]bool),
		borrowFailed: make(map[chutetopology.Shape]bool), preemptionFailed: make(map[chutetopology.Shape]bool),
	}
	queue := slices.Clone(view.Waiting)
	slices.SortFunc(queue, p.compare)
	p.restrictToMovable(queue)
	for _, serve := range []func(chutejob.Job){p.claimCloseFit, p.borrow, p.claimAnyFit, p.preempt} {
		p.serveInOrder(queue, func(j chutejob.Job) {
			if !p.granted[j.ID] && len(p.grants) < view.MaxGrants && p.usage.allows(j) && p.hasRoom(j) {
				serve(j)
			}
		})
	}
	return Decision{Inventory: p.inventory, Grants: p.grants, Held: p.held}
}

// serveInOrder calls serve for each job of the queue, in the order of the queue or, if the document has weights, by the
// shares of the workspaces.
func (p *pass) serveInOrder(queue []chutejob.Job, serve func(chutejob.Job)) {
	if p.view.Document.HasWeights() {
		p.serveByShare(queue, serve)
		return
	}
	for _, j := range queue {
		serve(j)
	}
}

// compare orders jobs in the queue by urgency, starvation, band of accelerator time and time of submission.
func (p *pass) compare(a, b chutejob.Job) int {
	return cmp.Or(
		compareTrueFirst(a.Spec.Urgent, b.Spec.Urgent),
		compareTrueFirst(p.starved(a), p.starved(b)),
		cmp.Compare(timeBand(a, p.view.Now), timeBand(b, p.view.Now)),
		a.SubmittedAt.Compare(b.SubmittedAt),
		cmp.Compare(a.ID, b.ID),
	)
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// starved reports whether the job has waited for the policy's patience, after which it may preempt borrowers in any
// band.
func (p *pass) starved(j chutejob.Job) bool {
	return p.view.Now.Sub(j.PhaseSince) >= p.view.Document.Policy.Patience
}

// timeBand returns the number, from zero, of the job's band of accelerator time, which is its run time multiplied by its
// accelerators. The upper limit of each band is four times the limit of the one before.
func timeBand(j chutejob.Job, now time.Time) int {
	acceleratorTime := j.RunTime(now) * time.Duration(j.Spec.Shape.Total())
	return (bits.Len64(uint64(acceleratorTime/firstBandLimit)) + 1) / 2
}

// closeFitFactor limits the accelerators of a cell that fits a job closely, as a multiple of the job's own.
const closeFitFactor = 2

// claimCloseFit serves the job from an idle cell of its workspace that is at most closeFitFactor times as large as the job.
func (p *pass) claimCloseFit(j chutejob.Job) {
	p.claim(j, closeFitFactor*j.Spec.Shape.Total())
}

// claimAnyFit serves the job from any idle cell of its workspace that it fits.
func (p *pass) claimAnyFit(j chutejob.Job) {
	p.claim(j, chutetopology.MaxParts*chutetopology.MaxAccelerators)
}

// claim serves the job from an idle cell of its workspace with at most that many accelerators.
func (p *pass) claim(j chutejob.Job, maxAccelerators int) {
	request := chuteinventory.ClaimRequest{
		Workspace: j.Spec.Workspace, Shape: j.Spec.Shape, MaxCellAccelerators: maxAccelerators, FailedOn: j.FailedWorkers,
		MovableOnly: p.movableOnly, Preserved: p.inventory.Movable(), Excluded: p.borrowed,
	}
	claim, ok := p.inventory.Claim(request, p.borrowerHoldings)
	if !ok {
		return
	}
	p.inventory = p.inventory.WithClaim(claim, string(j.ID))
	p.grant(j, Grant{Blocks: claim.Blocks, Guaranteed: true, Victims: jobIDs(claim.Victims)})
}

// restrictToMovable chooses the workers to keep clear of jobs that cannot move, for the first starved gang that would not
// fit even if all movable jobs were stopped. Movable jobs still use these workers, so that no accelerator idles for the
// gang.
func (p *pass) restrictToMovable(queue []chutejob.Job) {
	for _, j := range queue {
		if !p.starved(j) {
			continue
		}
		movable := p.inventory.Movable()
		if _, fits := movable.Place(j.Spec.Shape); !fits {
			p.movableOnly = movable.LargestGroup(j.Spec.Shape)
			return
		}
	}
}

// jobIDs converts job ids from the strings that the inventory uses.
func jobIDs(ids []string) []chutejob.ID {
	var jobs []chutejob.ID
	for _, id := range ids {
		jobs = append(jobs, chutejob.ID(id))
	}
	return jobs
}

// borrow serves the job from free accelerators, outside the cells if possible. It places a job that cannot move beside
// others that cannot. A guarantee may reclaim a cell, so borrow never places a job there that must not run twice, and a
// job without checkpoints only if it is starved.
func (p *pass) borrow(j chutejob.Job) {
	shape := j.Spec.Shape
	if p.borrowFailed[shape] && j.Spec.Checkpoint {
		return
	}
	spaces := []chuteaccelerator.Space{p.inventory.Spare(), p.inventory.Free()}
	if !j.Spec.Restartable() || !j.Spec.Checkpoint && !p.starved(j) {
		spaces = spaces[:1]
	}
	for _, space := range spaces {
		if blocks, ok := p.placeBorrower(space, j); ok {
			p.grant(j, Grant{Blocks: blocks})
			p.borrowed = append(p.borrowed, blocks...)
			return
		}
	}
	if j.Spec.Checkpoint && len(j.FailedWorkers) == 0 {
		p.borrowFailed[shape] = true
	}
}

// placeBorrower places the job in the space, away from the workers on which it failed if possible.
func (p *pass) placeBorrower(space chuteaccelerator.Space, j chutejob.Job) ([]chutetopology.Block, bool) {
	preserved := space
	if !j.Spec.Checkpoint {
		space = space.WithoutWorkers(p.movableOnly)
		preserved = p.inventory.Movable()
	}
	if blocks, ok := space.WithoutWorkers(j.FailedWorkers).PlacePreserving(j.Spec.Shape, preserved); ok || len(j.FailedWorkers) == 0 {
		return blocks, ok
	}
	return space.PlacePreserving(j.Spec.Shape, preserved)
}

// grant records the grant to the job in the pass and its inventory.
func (p *pass) grant(j chutejob.Job, g Grant) {
	g.Job = j.ID
	p.granted[j.ID] = true
	for _, v := range g.Victims {
		p.preempted[v] = true
		p.endAssignment(v)
	}
	if p.inventory.Vacant(g.Blocks) && len(g.Victims) == 0 {
		p.inventory = p.inventory.WithHeld(g.Blocks, j.Spec.Checkpoint && !g.Guaranteed)
		g.Held = true
	} else {
		p.inventory = p.inventory.WithAssigned(g.Blocks)
	}
	p.grants = append(p.grants, g)
	p.usage.add(j)
	if _, limited := p.rooms[j.Spec.Workspace]; limited {
		p.rooms[j.Spec.Workspace] -= j.Spec.Shape.Total()
		if p.held[j.Spec.Workspace].Job == j.ID {
			delete(p.held, j.Spec.Workspace)
		}
	}
}
