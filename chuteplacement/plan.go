package chuteplacement

import (
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutedemand"
)

// Plan decides on the demands one after another: it starts the tasks that fit, and evicts runs for demands that may
// preempt. Capacity that a preempting demand waits for is not given to others. A demand that waits for capacity which an
// earlier pass nominated for it keeps that capacity, whatever comes before it now: otherwise demands would take from each
// other what runs were evicted for, and evict more.
func Plan(view View) []Decision {
	p := newPass(view)
	p.claimNominated(view.Demands)
	for _, d := range view.Demands {
		p.schedule(d)
	}
	return p.decisions
}

// NeedsRunGroups reports whether a demand that may preempt might not fit into the free capacity. In this case the view
// for Plan must hold the run groups and the resources that are expected to become free.
func NeedsRunGroups(view View) bool {
	p := newPass(view)
	p.claimNominated(view.Demands)
	for _, d := range view.Demands {
		if !d.MayPreempt || p.claimed(d) {
			continue
		}
		allowed, held := d.SplitByQuota(p.quotas.Quotas)
		if d.Guaranteed && len(held.Indexes) > 0 {
			return true
		}
		if len(allowed.Indexes) == 0 {
			continue
		}
		placed, ok := p.place(allowed, freeNow)
		if !ok || d.Step.AntiAffinity > 0 {
			return true
		}
		p.reserve(allowed, placed)
		p.useQuota(allowed)
	}
	return false
}

// maxPreemptAttempts is the number of demands in a pass for which a search for runs to evict is made at most.
const maxPreemptAttempts = 24

// schedule finds workers for the waiting tasks of a demand that the quota of its workspace allows, and holds back the others.
func (p *pass) schedule(d chutedemand.Demand) {
	allowed, held := d.SplitByQuota(p.quotas.Quotas)
	if len(allowed.Indexes) > 0 {
		p.scheduleAllowed(allowed)
	}
	if len(held.Indexes) > 0 {
		p.holdBack(held)
	}
}

// scheduleAllowed finds workers for the waiting tasks of a demand, for all of a gang or for as many as fit otherwise.
func (p *pass) scheduleAllowed(d chutedemand.Demand) {
	if !p.mayReserve(d) && !p.anyClaimed(d) && p.unplaced.Imply(d) {
		return
	}
	if d.Step.Gang {
		p.scheduleTogether(d)
		return
	}
	p.scheduleEach(d)
}

// scheduleEach schedules the waiting tasks one by one until one doesn't fit, and of the others those with a claim. After the first,
// something of the job runs, which is enough unless its tasks last. A further part of a step of which a task has found no capacity in
// this pass would find none either, and would use up preemptAttempts.
func (p *pass) scheduleEach(d chutedemand.Demand) {
	fits := !p.failed[d.ID]
	for i := range d.Indexes {
		if single := d.Single(i); fits || p.claimed(single) {
			fits = p.scheduleTogether(single) && fits
		}
		d.MayUseReserved = d.MayUseReserved && d.Step.LongRunning
	}
	if !fits {
		p.failed[d.ID] = true
	}
}

// scheduleTogether starts all waiting tasks of the demand or none of them. It reports whether it has found capacity,
// either free now or free once other runs have ended.
func (p *pass) scheduleTogether(d chutedemand.Demand) bool {
	claim := p.releaseClaim(d)
	if placed, ok := p.placeNow(d); ok {
		p.start(d, placed)
		return true
	}
	if claim != nil {
		p.startOrKeep(d, claim)
		return true
	}
	if d.MayPreempt && p.preemptAttempts < maxPreemptAttempts && p.fitsEmpty(d) {
		for _, a := range []availability{freeAfterStops, freeAfterEnds} {
			if placed, ok := p.place(d, a); ok {
				p.nominate(d, placed)
				return true
			}
		}
		p.preemptAttempts++
		if p.preempt(d) {
			return true
		}
		if d.Guaranteed && d.Step.SameRack { // it runs longer on several racks, but the guarantee holds
			d.Step.SameRack = false
			return p.scheduleTogether(d)
		}
	}
	p.unplaced = p.unplaced.With(d)
	if p.mayReserve(d) && p.reserveWhileWaiting(d) {
		p.reserved[d.Service] = p.reserved[d.Service].With(d)
	}
	return false
}

// placeNow returns a worker with free capacity for each waiting task of the demand, and false if not all of them fit.
func (p *pass) placeNow(d chutedemand.Demand) ([]int, bool) {
	placed, ok := p.place(d, freeNow)
	if !ok && d.MayUseReserved {
		return p.place(d.InAnyRack(d.MayUseAnyRack), freeIfNotReserved)
	}
	return placed, ok
}

// fitsEmpty reports whether the workers could hold all waiting tasks of the demand if nothing ran there.
func (p *pass) fitsEmpty(d chutedemand.Demand) bool {
	_, ok := p.place(d, wholeCapacity)
	return ok
}

// start decides to start each waiting task on its worker and reserves the capacity.
func (p *pass) start(d chutedemand.Demand, placed []int) {
	for i, w := range placed {
		p.decisions = append(p.decisions, Start{Task: d.Task(i), Worker: p.workers[w].ID})
		if d.Step.AntiAffinity > 0 {
			d.TasksByWorker[p.workers[w].ID]++
		}
	}
	p.addFree(placed, d.Step.Reserved().Times(-1))
	p.useQuota(d)
}

// useQuota counts the waiting tasks of the demand towards the quota of their workspace.
func (p *pass) useQuota(d chutedemand.Demand) {
	p.quotas.Use(d.Workspace, d.ID, d.Step.Request.Times(len(d.Indexes)))
}

// reserve takes the capacity for the demand from the workers until the end of the pass.
func (p *pass) reserve(d chutedemand.Demand, placed []int) {
	p.addFree(placed, d.Step.Reserved().Times(-1))
	p.addWaiting(d, placed, 1)
}

// unreserve gives back capacity that was reserved for tasks of the demand on the workers.
func (p *pass) unreserve(d chutedemand.Demand, placed []int) {
	p.addFree(placed, d.Step.Reserved())
	p.addWaiting(d, placed, -1)
}

// addWaiting counts, for a step whose tasks must be apart, those for which capacity is kept on each of the workers.
func (p *pass) addWaiting(d chutedemand.Demand, workers []int, count int) {
	if d.Step.AntiAffinity == 0 {
		return
	}
	for _, w := range workers {
		p.waiting[waitingTask{step: d.ID, worker: w}] += count
	}
}

// addFree adds the resources to the capacity that counts as free on each of the workers.
func (p *pass) addFree(workers []int, r chutecapacity.Resources) {
	for _, i := range workers {
		w := &p.workers[i]
		w.free = w.free.Plus(r)
		w.afterStops = w.afterStops.Plus(r)
		w.afterEnds = w.afterEnds.Plus(r)
	}
}
