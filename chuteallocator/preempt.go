package chuteallocator

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chuteinventory"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// preempt serves the job by stopping borrowers. It tries a doubling number of them, so that it stops few more than needed.
func (p *pass) preempt(j chutejob.Job) {
	shape := j.Spec.Shape
	if p.preemptionFailed[shape] && !j.Spec.Urgent && !p.starved(j) {
		return
	}
	preemptible := p.preemptible(j)
	for count := 1; len(preemptible) > 0; count *= 2 {
		chosen := preemptible[:min(count, len(preemptible))]
		space := p.inventory.Free()
		for _, v := range chosen {
			space = space.With(v.Blocks())
		}
		if blocks, ok := space.WithoutWorkers(j.FailedWorkers).Place(shape); ok {
			p.grantPreempting(j, blocks, chosen)
			return
		}
		if count >= len(preemptible) {
			break
		}
	}
	p.preemptionFailed[shape] = true
}

// grantPreempting grants the blocks to the job and stops those of the chosen borrowers that hold any of them.
func (p *pass) grantPreempting(j chutejob.Job, blocks []chutetopology.Block, chosen []chutejob.Job) {
	space := p.inventory.Usable().Intersect(blocks)
	var victims []chutejob.ID
	for _, v := range chosen {
		if space.Overlap(v.Blocks()) > 0 {
			victims = append(victims, v.ID)
		}
	}
	p.grant(j, Grant{Blocks: blocks, Victims: victims})
}

// preemptible returns the borrowers that the job may preempt. Those in the highest band of accelerator time come first,
// and inside a band those that would lose the least work.
func (p *pass) preemptible(j chutejob.Job) []chutejob.Job {
	var jobs []chutejob.Job
	for _, v := range p.view.Holding {
		if !p.preempted[v.ID] && p.mayPreempt(v, j) && p.inventory.HasUsable(v.Blocks()) {
			jobs = append(jobs, v)
		}
	}
	slices.SortFunc(jobs, func(a, b chutejob.Job) int {
		return cmp.Or(-cmp.Compare(timeBand(a, p.view.Now), timeBand(b, p.view.Now)), cmp.Compare(a.LostWork(p.view.Now), b.LostWork(p.view.Now)), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}

// mayPreempt reports whether the waiting job may preempt the running one.
func (p *pass) mayPreempt(running, waiting chutejob.Job) bool {
	if running.Guaranteed || running.Phase != chutejob.PhaseRunning || !running.Spec.Restartable() {
		return false
	}
	if waiting.Spec.Urgent && !running.Spec.Urgent {
		return true
	}
	if running.Spec.Urgent || !running.Spec.Checkpoint || p.view.Now.Sub(running.RunningSince) < p.view.Document.Policy.Quantum {
		return false
	}
	return p.starved(waiting) || timeBand(running, p.view.Now) > timeBand(waiting, p.view.Now)
}

// borrowerHoldings returns the holdings of the borrowers that this pass has not preempted.
func (p *pass) borrowerHoldings() []chuteinventory.Holding {
	var holdings []chuteinventory.Holding
	for _, j := range p.view.Holding {
		if !j.Guaranteed && !p.preempted[j.ID] {
			holdings = append(holdings, chuteinventory.Holding{Job: string(j.ID), Blocks: j.Blocks(), LostWork: j.LostWork(p.view.Now)})
		}
	}
	return holdings
}

// endAssignment ends the assignment of accelerators to a victim that holds none yet.
func (p *pass) endAssignment(victim chutejob.ID) {
	index := slices.IndexFunc(p.view.Holding, func(j chutejob.Job) bool { return j.ID == victim })
	if index >= 0 && p.view.Holding[index].Phase == chutejob.PhaseClaiming {
		p.inventory = p.inventory.WithAssignmentEnded(p.view.Holding[index].Blocks())
	}
}
