package chuteplanner

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutecandidate"
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteisolation"
	"monsoonchute.example/monsoonchute/chutequota"
	"monsoonchute.example/monsoonchute/chutetask"
)

// quarantinePlan is what a pass decides about the tasks that need quarantine before it places others.
type quarantinePlan struct {
	taken    map[chutetask.WorkerID]bool // workers that other tasks must not use
	emptied  []chutetask.WorkerID        // those of them that are not empty yet, or of which a gang needs more
	beside   []chutedemand.Demand        // demands that rather run beside others
	deferred []chutedemand.Demand        // demands for which the share of quarantines is taken
}

// planQuarantine starts tasks that need quarantine on workers without runs. Where there are none, it keeps new runs off
// the workers that empty soonest.
func (p *pass) planQuarantine(demands []chutedemand.Demand) quarantinePlan {
	plan := quarantinePlan{taken: make(map[chutetask.WorkerID]bool)}
	for _, d := range demands {
		d, held := d.SplitByQuota(p.quotas.Quotas)
		if len(held.Indexes) > 0 {
			p.waitForQuarantine(held, "limit")
		}
		if len(d.Indexes) == 0 {
			continue
		}
		full := chuteisolation.Full(p.Transition.Transition, d, plan.taken)
		if !full && p.startAlone(d, plan.taken) {
			continue
		}
		switch {
		case chuteisolation.MayRunBesideOthers(p.Transition.Transition, d):
			plan.beside = append(plan.beside, d)
		case full:
			plan.deferred = append(plan.deferred, d)
		default:
			emptied := p.emptyWorkers(d, plan.taken)
			plan.emptied = append(plan.emptied, emptied...)
			if len(emptied) == 0 { // all have runs without end
				plan.beside = append(plan.beside, d)
			}
		}
	}
	return plan
}

// startAlone starts the tasks of the demand, which its quota allows, on empty workers that are not taken, and reports whether any started.
func (p *pass) startAlone(d chutedemand.Demand, taken map[chutetask.WorkerID]bool) bool {
	starts := chuteisolation.Place(d, chuteisolation.Workers(p.Transition.Transition, d, taken, true), chutequota.Quotas{})
	if len(starts) > 0 {
		p.Log(component, "step starts in quarantine", d.ID.Job, "step", d.ID, "tasks", len(starts), "waited", p.waitedForQuarantine(d.ID))
	}
	for _, s := range starts {
		taken[s.Worker] = true
		p.assign(s, true)
	}
	return len(starts) > 0
}

// emptyWorkers takes the workers that empty soonest and the quota for the demand, which its quota
// allows, for this pass, and returns the workers.
func (p *pass) emptyWorkers(d chutedemand.Demand, taken map[chutetask.WorkerID]bool) []chutetask.WorkerID {
	var emptied []chutetask.WorkerID
	for _, s := range chuteisolation.Place(d, chuteisolation.Workers(p.Transition.Transition, d, taken, false), chutequota.Quotas{}) {
		taken[s.Worker] = true
		emptied = append(emptied, s.Worker)
	}
	if len(emptied) > 0 {
		p.quotas.Use(d.Workspace, d.ID, d.Step.Request.Times(len(emptied))) // or others would take its quota until it starts
		p.waitForQuarantine(d, "no-empty-worker")
	}
	return emptied
}

// startOnEmptied starts a task, or the gang, of each demand that has stood for long, also on workers that are being emptied.
func (p *pass) startOnEmptied(demands []chutedemand.Demand) {
	for _, d := range demands {
		if !d.MayUseReserved || !p.mayStand(d) {
			continue
		}
		if d.Indexes = p.stillWaiting(d); len(d.Indexes) == 0 {
			continue
		}
		if !d.Step.Gang {
			d.Indexes = d.Indexes[:1]
		}
		for _, s := range chuteisolation.Place(d, chutecandidate.Usable(p.Transition.Transition, nil), p.quotas.Snapshot()) {
			p.assign(s, false)
		}
	}
}

// stillWaiting returns the indexes of the demand's tasks that have not started in this pass.
func (p *pass) stillWaiting(d chutedemand.Demand) []int {
	j, _ := p.Live.Get(d.ID.Job)
	return slices.DeleteFunc(slices.Clone(d.Indexes), func(i int) bool { return j.Tasks(d.ID)[i].Phase == chutetask.TaskActive })
}

// planSpareQuarantine starts tasks for which the share of quarantines is taken on workers that are still empty now that others
// have been placed, unless others of the service go on waiting.
func (p *pass) planSpareQuarantine(plan quarantinePlan, othersWait map[string]bool) {
	for _, d := range plan.deferred {
		allowed, _ := d.SplitByQuota(p.quotas.Quotas) // others have started since it was deferred
		if othersWait[d.Service] || len(allowed.Indexes) == 0 || !p.startOnSpare(allowed, plan.taken) {
			p.waitForQuarantine(d, "share-taken")
		}
	}
}

// startOnSpare starts the tasks of the demand on empty workers, and reports whether any started. Once quarantines have taken all
// workers but a part, that stays for tasks to come.
func (p *pass) startOnSpare(d chutedemand.Demand, taken map[chutetask.WorkerID]bool) bool {
	quarantines, workers := chuteisolation.Count(p.Transition.Transition, d.Service, taken)
	return quarantines < workers-chuteisolation.Part(workers) && p.startAlone(d, taken)
}

// waitForQuarantine notes that the tasks of the demand go on waiting, for the reason.
func (p *pass) waitForQuarantine(d chutedemand.Demand, reason string) {
	p.Count("quarantine-waits", reason)
	since, known := p.quarantineDueSince.Get(d.ID)
	if !known {
		since = p.Now
		p.Log(component, "step waits for quarantine", d.ID.Job, "step", d.ID, "tasks", len(d.Indexes), "reason", reason)
	}
	p.quarantineWaits = p.quarantineWaits.Set(d.ID, since)
}

// waitedForQuarantine returns how long tasks of the step have waited for a quarantine.
func (p *pass) waitedForQuarantine(id chutegraph.StepID) time.Duration {
	if since, ok := p.quarantineDueSince.Get(id); ok {
		return p.Now.Sub(since)
	}
	return 0
}
