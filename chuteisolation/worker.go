package chuteisolation

import (
	"maps"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutecandidate"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutepool"
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
)

// Place returns where the tasks of the demand start, as far as the quotas allow, if only the given workers exist. It plans without
// the guarantee, so that a demand which has been split by the quotas already is to be placed with empty ones.
func Place(d chutedemand.Demand, workers []chuteplacement.Worker, quotas chutequota.Quotas) []chuteplacement.Start {
	d.MayPreempt, d.Guaranteed = false, false
	d.TasksByWorker = maps.Clone(d.TasksByWorker)
	var starts []chuteplacement.Start
	for _, decision := range chuteplacement.Plan(chuteplacement.View{Workers: workers, Demands: []chutedemand.Demand{d}, Quotas: quotas}) {
		if s, ok := decision.(chuteplacement.Start); ok {
			starts = append(starts, s)
		}
	}
	return starts
}

// Workers returns the workers on which a quarantined task of the demand may start: those without runs, or all as if they
// had none. Where others could hold its tasks, they are without those on which a run of its job was the latest to fail: a start
// there would spend the task's crash budget and show nothing of it.
func Workers(t *chuteledger.Transition, d chutedemand.Demand, taken map[chutetask.WorkerID]bool, empty bool) []chuteplacement.Worker {
	workers := workersAlone(t, taken, empty)
	if !slices.ContainsFunc(workers, func(w chuteplacement.Worker) bool { return failedLast(t, w, d.ID.Job) }) {
		return workers
	}
	withoutFailed := func(all []chuteplacement.Worker) []chuteplacement.Worker {
		return slices.DeleteFunc(slices.Clone(all), func(w chuteplacement.Worker) bool { return failedLast(t, w, d.ID.Job) })
	}
	if len(Place(d, withoutFailed(workersAlone(t, taken, false)), chutequota.Quotas{})) == 0 {
		return workers
	}
	return withoutFailed(workers)
}

// failedLast reports whether a run of the job was the latest to fail on the worker.
func failedLast(t *chuteledger.Transition, worker chuteplacement.Worker, job chutegraph.JobID) bool {
	w, ok := t.Pool.Get(worker.ID)
	return ok && w.FailureStreak > 0 && w.LastFailedJob == job
}

// workersAlone returns the workers without runs, or all as if they had none, that may hold a quarantine and are not taken.
func workersAlone(t *chuteledger.Transition, taken map[chutetask.WorkerID]bool, empty bool) []chuteplacement.Worker {
	var workers []chuteplacement.Worker
	for _, w := range t.Pool.All() {
		if !w.Usable(t.Now) || !t.MayStartOn(w) || w.InQuarantine() || taken[w.ID] {
			continue
		}
		if empty && w.RunCount() > 0 || hasLongRunning(t, w) {
			continue
		}
		worker := chutecandidate.Worker(t, w)
		worker.Free, worker.Stopping = w.Capacity, chutecapacity.Resources{}
		worker.Penalty += loadPenalty * w.Load()
		if !w.CrashedAt.IsZero() && t.Now.Sub(w.CrashedAt) < crashMemory {
			worker.Penalty += crashPenalty
		}
		workers = append(workers, worker)
	}
	return workers
}

// hasLongRunning reports whether the worker has a run that should last without end, so that it does not empty.
func hasLongRunning(t *chuteledger.Transition, w chutepool.Worker) bool {
	return slices.ContainsFunc(w.Runs(), t.LongRunning)
}
