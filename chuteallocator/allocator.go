package chuteallocator

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteinventory"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// firstServiceBand is the attained service, in accelerator-time, of the band that is served first.
const firstServiceBand = 10 * time.Minute

// Grant gives accelerators to one waiting job. With victims, the job waits until they have left.
type Grant struct {
	Job        chutejob.ID
	Blocks     []chutetopology.Block
	Guaranteed bool
	Victims    []chutejob.ID
	Held       bool // the blocks are free and held for the job now; otherwise they are promised
}

// View is what a planning pass looks at.
type View struct {
	Now       time.Time
	Document  chutedocument.Document
	Inventory chuteinventory.Inventory
	Waiting   []chutejob.Job // those that may start now
	Holding   []chutejob.Job // those that hold accelerators or are promised some

	MaxGrants int // of one pass
}

// pass is the state of one planning pass.
type pass struct {
	view     View
	book     chuteinventory.Inventory
	grants   []Grant
	granted  map[chutejob.ID]bool
	evicted  map[chutejob.ID]bool
	lent     []chutetopology.Block // granted to borrowers in this pass
	usage    usage
	draining []chutetopology.WorkerID     // that take no jobs which cannot move, for a gang that has waited long
	tooLarge map[chutetopology.Shape]bool // shapes that found no free place in this pass
	hopeless map[chutetopology.Shape]bool // shapes that found none by displacing others either
}

// Plan returns the grants of one pass and the book with them entered. Guaranteed work is served before borrowers, and
// inside each class urgent work first, then the least attained service, then the longest wait.
func Plan(view View) (chuteinventory.Inventory, []Grant) {
	if len(view.Waiting) == 0 {
		return view.Inventory, nil
	}
	p := &pass{
		view: view, book: view.Inventory, usage: countUsage(view),
		granted: make(map[chutejob.ID]bool), evicted: make(map[chutejob.ID]bool),
		tooLarge: make(map[chutetopology.Shape]bool), hopeless: make(map[chutetopology.Shape]bool),
	}
	order := slices.Clone(view.Waiting)
	slices.SortFunc(order, p.compare)
	p.drain(order)
	for _, serve := range []func(chutejob.Job){p.claimTight, p.borrow, p.claimAny, p.displace} {
		for _, j := range order {
			if !p.granted[j.ID] && len(p.grants) < view.MaxGrants && p.usage.allows(j) {
				serve(j)
			}
		}
	}
	return p.book, p.grants
}

func (p *pass) compare(a, b chutejob.Job) int {
	return cmp.Or(
		compareTrueFirst(a.Spec.Urgent, b.Spec.Urgent),
		compareTrueFirst(p.patient(a), p.patient(b)),
		cmp.Compare(band(a, p.view.Now), band(b, p.view.Now)),
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

// patient reports whether the job has waited for so long that it may displace any borrower.
func (p *pass) patient(j chutejob.Job) bool {
	return p.view.Now.Sub(j.PhaseSince) >= p.view.Document.Policy.Patience
}

// band returns the service band of the job: each band holds four times the accelerator-time of the one before.
func band(j chutejob.Job, now time.Time) int {
	service := j.RunTime(now) * time.Duration(j.Spec.Shape.Total())
	return (bits.Len64(uint64(service/firstServiceBand)) + 1) / 2
}

// looseFactor is how many times its own accelerators a job's cell may have, unless nothing else serves the job.
const looseFactor = 2

// claimTight serves the job from an idle cell of its workspace that is not much larger.
func (p *pass) claimTight(j chutejob.Job) {
	p.claim(j, looseFactor*j.Spec.Shape.Total())
}

// claimAny serves the job from any idle cell of its workspace.
func (p *pass) claimAny(j chutejob.Job) {
	p.claim(j, chutetopology.MaxParts*chutetopology.MaxAccelerators)
}

func (p *pass) claim(j chutejob.Job, largest int) {
	wish := chuteinventory.ClaimRequest{
		Workspace: j.Spec.Workspace, Shape: j.Spec.Shape, MaxCellAccelerators: largest, FailedOn: j.FailedWorkers, Draining: p.draining,
		Preserved: p.book.Movable(), Excluded: p.lent,
	}
	claim, ok := p.book.Claim(wish, p.holdings)
	if !ok {
		return
	}
	p.book = p.book.WithClaim(claim, string(j.ID))
	p.grant(j, Grant{Blocks: claim.Blocks, Guaranteed: true, Victims: victims(claim.Victims)})
}

// drain picks the workers that are kept clear of jobs which cannot move, for the first gang that has waited for long
// and does not fit even beside all movable work. They stay in use by work that can move, so that no accelerator idles
// for the gang.
func (p *pass) drain(order []chutejob.Job) {
	for _, j := range order {
		if !p.patient(j) {
			continue
		}
		movable := p.book.Movable()
		if _, fits := movable.Place(j.Spec.Shape); !fits {
			p.draining = movable.RoomiestWorkers(j.Spec.Shape)
			return
		}
	}
}

func victims(ids []string) []chutejob.ID {
	var jobs []chutejob.ID
	for _, id := range ids {
		jobs = append(jobs, chutejob.ID(id))
	}
	return jobs
}

// borrow serves the job from free accelerators, outside the cells if possible. A job that cannot move is placed beside
// others of its kind, and one that must not run twice never in a cell that a guarantee may reclaim.
func (p *pass) borrow(j chutejob.Job) {
	shape := j.Spec.Shape
	if p.tooLarge[shape] && j.Spec.Checkpoint {
		return
	}
	spaces := []chuteaccelerator.Space{p.book.Spare(), p.book.Free()}
	if !j.Spec.Restartable() || !j.Spec.Checkpoint && !p.patient(j) {
		spaces = spaces[:1]
	}
	for _, space := range spaces {
		if blocks, ok := p.placeBorrower(space, j); ok {
			p.grant(j, Grant{Blocks: blocks})
			p.lent = append(p.lent, blocks...)
			return
		}
	}
	if j.Spec.Checkpoint && len(j.FailedWorkers) == 0 {
		p.tooLarge[shape] = true
	}
}

// placeBorrower places the job in the space, away from the workers that failed it if possible.
func (p *pass) placeBorrower(space chuteaccelerator.Space, j chutejob.Job) ([]chutetopology.Block, bool) {
	kept := space
	if !j.Spec.Checkpoint {
		space = space.WithoutWorkers(p.draining)
		kept = p.book.Movable()
	}
	if blocks, ok := space.WithoutWorkers(j.FailedWorkers).PlacePreserving(j.Spec.Shape, kept); ok || len(j.FailedWorkers) == 0 {
		return blocks, ok
	}
	return space.PlacePreserving(j.Spec.Shape, kept)
}

// displace serves the job by stopping borrowers that must yield to it.
func (p *pass) displace(j chutejob.Job) {
	shape := j.Spec.Shape
	if p.hopeless[shape] && !j.Spec.Urgent && !p.patient(j) {
		return
	}
	yielding := p.yielding(j)
	for count := 1; len(yielding) > 0; count *= 2 {
		chosen := yielding[:min(count, len(yielding))]
		space := p.book.Free()
		for _, v := range chosen {
			space = space.With(v.Blocks())
		}
		if blocks, ok := space.WithoutWorkers(j.FailedWorkers).Place(shape); ok {
			p.displaceOn(j, blocks, chosen)
			return
		}
		if count >= len(yielding) {
			break
		}
	}
	p.hopeless[shape] = true
}

func (p *pass) displaceOn(j chutejob.Job, blocks []chutetopology.Block, chosen []chutejob.Job) {
	wanted := p.book.Usable().Intersect(blocks)
	var out []chutejob.ID
	for _, v := range chosen {
		if wanted.Overlap(v.Blocks()) > 0 {
			out = append(out, v.ID)
		}
	}
	p.grant(j, Grant{Blocks: blocks, Victims: out})
}

// yielding returns the borrowers that the job may displace, those with the most service first.
func (p *pass) yielding(j chutejob.Job) []chutejob.Job {
	var jobs []chutejob.Job
	for _, v := range p.view.Holding {
		if !p.evicted[v.ID] && p.yields(v, j) && p.book.HasUsable(v.Blocks()) {
			jobs = append(jobs, v)
		}
	}
	slices.SortFunc(jobs, func(a, b chutejob.Job) int {
		return cmp.Or(-cmp.Compare(band(a, p.view.Now), band(b, p.view.Now)), cmp.Compare(a.LostWork(p.view.Now), b.LostWork(p.view.Now)), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}

// yields reports whether the running borrower must make way for the waiting job.
func (p *pass) yields(running, waiting chutejob.Job) bool {
	if running.Guaranteed || running.Phase != chutejob.PhaseRunning || !running.Spec.Restartable() {
		return false
	}
	if waiting.Spec.Urgent && !running.Spec.Urgent {
		return true
	}
	if running.Spec.Urgent || !running.Spec.Checkpoint || p.view.Now.Sub(running.RunningSince) < p.view.Document.Policy.Quantum {
		return false
	}
	return p.patient(waiting) || band(running, p.view.Now) > band(waiting, p.view.Now)
}

// holdings returns the revocable jobs in the way of a claim on the space.
func (p *pass) holdings() []chuteinventory.Holding {
	var holdings []chuteinventory.Holding
	for _, j := range p.view.Holding {
		if !j.Guaranteed && !p.evicted[j.ID] {
			holdings = append(holdings, chuteinventory.Holding{Job: string(j.ID), Blocks: j.Blocks(), LostWork: j.LostWork(p.view.Now)})
		}
	}
	return holdings
}

// grant enters the grant into the pass.
func (p *pass) grant(j chutejob.Job, g Grant) {
	g.Job = j.ID
	p.granted[j.ID] = true
	for _, v := range g.Victims {
		p.evicted[v] = true
		p.endPromise(v)
	}
	if p.book.Vacant(g.Blocks) && len(g.Victims) == 0 {
		p.book = p.book.WithHeld(g.Blocks, j.Spec.Checkpoint && !g.Guaranteed)
		g.Held = true
	} else {
		p.book = p.book.WithAssigned(g.Blocks)
	}
	p.grants = append(p.grants, g)
	p.usage.add(j)
}

// endPromise takes back what a victim was promised that holds nothing yet.
func (p *pass) endPromise(victim chutejob.ID) {
	at := slices.IndexFunc(p.view.Holding, func(j chutejob.Job) bool { return j.ID == victim })
	if at >= 0 && p.view.Holding[at].Phase == chutejob.PhaseClaiming {
		p.book = p.book.WithAssignmentEnded(p.view.Holding[at].Blocks())
	}
}
