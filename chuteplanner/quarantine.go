package chuteplanner

import (
	"maps"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutecandidate"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutequarantine"
	"monsoonchute.example/monsoonchute/chutequota"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// crashPenalty puts a worker that has crashed lately after all others.
	crashPenalty = 100.0
	// loadPenalty is the penalty of a worker of which all accelerators are reserved, when workers are chosen to be emptied.
	loadPenalty = 10.0
	// crashMemory is how long a crash of a worker counts against it.
	crashMemory = time.Minute
	// workersPerQuarantine is the number of workers of a service for each that quarantines may take.
	workersPerQuarantine = 4
)

// quarantinedIndexes returns the waiting tasks of a step that may start in quarantine now. Of a step of which a task met an
// unexplained crash that is one at a time, so that a job whose tasks all crash their workers crashes few, but for all members of
// a gang and all tasks that should run without end.
func (p *pass) quarantinedIndexes(j chutetask.Job, id chutegraph.StepID) []int {
	gang, longRunning := j.Spec.Steps[id.Step].Gang, j.Spec.Steps[id.Step].LongRunning
	tasks := j.Tasks(id)
	oneByOne, active := false, false
	var indexes []int
	for i, task := range tasks {
		suspect := crashHolder(tasks, i, gang)
		if !suspect.Crashes.NeedsQuarantine() {
			continue
		}
		oneByOne = oneByOne || !gang && !longRunning && suspect.Crashes.Unexplained()
		active = active || task.Phase == chutetask.TaskActive && task.Quarantined
		if task.Phase == chutetask.TaskWaiting && p.mayRun(j, suspect, longRunning) {
			indexes = append(indexes, i)
		}
	}
	switch {
	case oneByOne && active:
		return nil
	case oneByOne && len(indexes) > 1:
		return indexes[:1]
	}
	return indexes
}

// ordinaryIndexes returns the waiting tasks of a step that need no quarantine.
func (p *pass) ordinaryIndexes(j chutetask.Job, id chutegraph.StepID) []int {
	gang, longRunning := j.Spec.Steps[id.Step].Gang, j.Spec.Steps[id.Step].LongRunning
	tasks := j.Tasks(id)
	var indexes []int
	for i, task := range tasks {
		suspect := crashHolder(tasks, i, gang)
		if task.Phase == chutetask.TaskWaiting && !suspect.Crashes.NeedsQuarantine() && p.mayRun(j, suspect, longRunning) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// mayRun reports whether a task may run now, if it or the first member of its gang is the given one. One that should run
// without end does not wait for the end of an outage.
func (p *pass) mayRun(j chutetask.Job, suspect chutetask.Task, longRunning bool) bool {
	if suspect.Crashes.Empty() {
		return true
	}
	startAfter := suspect.Crashes.StartAfter(p.Outages.OutageAt(p.Service(j)))
	return !suspect.Crashes.Held(p.Now) && (longRunning || !p.Now.Before(startAfter))
}

// crashHolder returns the task that has the record of crashes under the one with the index: itself, or the first member of
// its gang.
func crashHolder(tasks []chutetask.Task, index int, gang bool) chutetask.Task {
	if gang {
		return tasks[0]
	}
	return tasks[index]
}

// quarantinePlan is what a pass decides about the tasks that need quarantine before it places others.
type quarantinePlan struct {
	taken    map[chutetask.WorkerID]bool // workers that other tasks must not use
	emptied  []chutetask.WorkerID        // those of them that are not empty yet, or of which a gang needs more
	beside   []chuteplacement.Demand     // demands that rather run beside others
	deferred []chuteplacement.Demand     // demands for which the share of quarantines is taken
}

// planQuarantine starts tasks that need quarantine on workers without runs. Where there are none, it keeps new runs off
// the workers that empty soonest.
func (p *pass) planQuarantine(demands []chuteplacement.Demand) quarantinePlan {
	plan := quarantinePlan{taken: make(map[chutetask.WorkerID]bool)}
	for _, d := range demands {
		d, held := d.SplitByQuota(p.quotas.Quotas)
		if len(held.Indexes) > 0 {
			p.waitForQuarantine(held, "limit")
		}
		if len(d.Indexes) == 0 {
			continue
		}
		full := p.quarantineFull(d, plan.taken)
		if !full && p.startAlone(d, plan.taken) {
			continue
		}
		switch {
		case p.mayRunBesideOthers(d):
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
func (p *pass) startAlone(d chuteplacement.Demand, taken map[chutetask.WorkerID]bool) bool {
	starts := p.placeAlone(d, p.quarantineWorkers(d, taken, true), chutequota.Quotas{})
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
func (p *pass) emptyWorkers(d chuteplacement.Demand, taken map[chutetask.WorkerID]bool) []chutetask.WorkerID {
	var emptied []chutetask.WorkerID
	for _, s := range p.placeAlone(d, p.quarantineWorkers(d, taken, false), chutequota.Quotas{}) {
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
func (p *pass) startOnEmptied(demands []chuteplacement.Demand) {
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
		for _, s := range p.placeAlone(d, chutecandidate.Usable(p.Transition.Transition, nil), p.quotas.Snapshot()) {
			p.assign(s, false)
		}
	}
}

// stillWaiting returns the indexes of the demand's tasks that have not started in this pass.
func (p *pass) stillWaiting(d chuteplacement.Demand) []int {
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
func (p *pass) startOnSpare(d chuteplacement.Demand, taken map[chutetask.WorkerID]bool) bool {
	quarantines, workers := p.countQuarantines(d.Service, taken)
	return quarantines < workers-quarantinePart(workers) && p.startAlone(d, taken)
}

// waitForQuarantine notes that the tasks of the demand go on waiting, for the reason.
func (p *pass) waitForQuarantine(d chuteplacement.Demand, reason string) {
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

// quarantineFull reports whether quarantines have taken the share of the service's workers that is open to the demand: a
// part, or all but that part for tasks that wait although each of their crashes may have come by chance.
func (p *pass) quarantineFull(d chuteplacement.Demand, taken map[chutetask.WorkerID]bool) bool {
	quarantines, workers := p.countQuarantines(d.Service, taken)
	share := quarantinePart(workers)
	if !p.mayRunBesideOthers(d) && !p.anyRecord(d, chutequarantine.Record.Unexplained) {
		share = max(1, workers-share)
	}
	return quarantines >= share
}

// countQuarantines returns how many of the service's workers quarantines have taken, and how many there are.
func (p *pass) countQuarantines(service string, taken map[chutetask.WorkerID]bool) (quarantines, workers int) {
	for _, w := range p.Pool.All() {
		if w.Service != service || !w.Listed {
			continue
		}
		workers++
		if taken[w.ID] || w.InQuarantine() {
			quarantines++
		}
	}
	return quarantines, workers
}

// quarantinePart returns the part of so many workers that quarantines may take whatever waits.
func quarantinePart(workers int) int {
	return max(1, workers/workersPerQuarantine)
}

// mayRunBesideOthers reports whether the demand's tasks rather run beside others than wait for a quarantine.
func (p *pass) mayRunBesideOthers(d chuteplacement.Demand) bool {
	mustWait := func(r chutequarantine.Record) bool { return !r.MayRunBesideOthers() }
	return d.Step.LongRunning || !p.anyRecord(d, mustWait)
}

// anyRecord reports whether the record of crashes under any of the demand's tasks matches.
func (p *pass) anyRecord(d chuteplacement.Demand, matches func(chutequarantine.Record) bool) bool {
	j, ok := p.Job(d.ID.Job)
	return ok && slices.ContainsFunc(d.Indexes, func(i int) bool {
		return matches(j.Crashes(chutegraph.TaskID{StepID: d.ID, Index: i}))
	})
}

// placeAlone returns where the tasks of the demand start, as far as the quotas allow, if only the given workers exist. It plans without
// the guarantee, so that a demand which has been split by the quotas already is to be placed with empty ones.
func (p *pass) placeAlone(d chuteplacement.Demand, workers []chuteplacement.Worker, quotas chutequota.Quotas) []chuteplacement.Start {
	d.MayPreempt, d.Guaranteed = false, false
	d.TasksByWorker = maps.Clone(d.TasksByWorker)
	var starts []chuteplacement.Start
	for _, decision := range chuteplacement.Plan(chuteplacement.View{Workers: workers, Demands: []chuteplacement.Demand{d}, Quotas: quotas}) {
		if s, ok := decision.(chuteplacement.Start); ok {
			starts = append(starts, s)
		}
	}
	return starts
}

// quarantineWorkers returns the workers on which a quarantined task of the demand may start: those without runs, or all as if they
// had none. Where others could hold its tasks, they are without those on which a run of its job was the latest to fail: a start
// there would spend the task's crash budget and show nothing of it.
func (p *pass) quarantineWorkers(d chuteplacement.Demand, taken map[chutetask.WorkerID]bool, empty bool) []chuteplacement.Worker {
	workers := p.workersAlone(taken, empty)
	if !slices.ContainsFunc(workers, func(w chuteplacement.Worker) bool { return p.failedLast(w, d.ID.Job) }) {
		return workers
	}
	withoutFailed := func(all []chuteplacement.Worker) []chuteplacement.Worker {
		return slices.DeleteFunc(slices.Clone(all), func(w chuteplacement.Worker) bool { return p.failedLast(w, d.ID.Job) })
	}
	if len(p.placeAlone(d, withoutFailed(p.workersAlone(taken, false)), chutequota.Quotas{})) == 0 {
		return workers
	}
	return withoutFailed(workers)
}

// failedLast reports whether a run of the job was the latest to fail on the worker.
func (p *pass) failedLast(worker chuteplacement.Worker, job chutegraph.JobID) bool {
	w, ok := p.Pool.Get(worker.ID)
	return ok && w.FailureStreak > 0 && w.LastFailedJob == job
}

// workersAlone returns the workers without runs, or all as if they had none, that may hold a quarantine and are not taken.
func (p *pass) workersAlone(taken map[chutetask.WorkerID]bool, empty bool) []chuteplacement.Worker {
	var workers []chuteplacement.Worker
	for _, w := range p.Pool.All() {
		if !w.Usable(p.Now) || !p.MayStartOn(w) || w.InQuarantine() || taken[w.ID] {
			continue
		}
		if empty && w.RunCount() > 0 || p.hasLongRunning(w) {
			continue
		}
		worker := chutecandidate.Worker(p.Transition.Transition, w)
		worker.Free, worker.Stopping = w.Capacity, chutecapacity.Resources{}
		worker.Penalty += loadPenalty * w.Load()
		if !w.CrashedAt.IsZero() && p.Now.Sub(w.CrashedAt) < crashMemory {
			worker.Penalty += crashPenalty
		}
		workers = append(workers, worker)
	}
	return workers
}

// hasLongRunning reports whether the worker has a run that should last without end, so that it does not empty.
func (p *pass) hasLongRunning(w chutepool.Worker) bool {
	return slices.ContainsFunc(w.Runs(), p.LongRunning)
}
