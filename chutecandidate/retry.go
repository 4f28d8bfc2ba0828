package chutecandidate

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// maxRetryWait is how long after a failure a task rather waits for another worker than starts where it failed, or where
	// others have failed. A job with room may not stand for 3 s, of which the failed run and the start take a part.
	maxRetryWait = 2 * time.Second
	// maxRetriesJudged is the number of demands with failed tasks in a pass for which workers with free capacity are compared.
	maxRetriesJudged = 32
)

// successMemories are the times within which work of the queue should have succeeded on the worker of a next run, the best first:
// workers that have become bad lately have succeeded before.
var successMemories = []time.Duration{4 * time.Second, 15 * time.Second}

// SplitRetries returns the indexes of the waiting tasks of a step that have not failed and of those that have, which may not start
// on every worker. A gang is not split.
func SplitRetries(j chutetask.Job, id chutegraph.StepID, indexes []int) (fresh, retried []int) {
	tasks := j.Tasks(id)
	failed := func(i int) bool { return tasks[i].Failures > 0 }
	switch {
	case !slices.ContainsFunc(indexes, failed):
		return indexes, nil
	case j.Step(id).Gang:
		return nil, indexes
	}
	for _, i := range indexes {
		if failed(i) {
			retried = append(retried, i)
		} else {
			fresh = append(fresh, i)
		}
	}
	return fresh, retried
}

// ExcludeForRetries sets, for the demands of tasks that have failed, the workers on which their next runs may not start. A next run
// goes where work of its queue has lately succeeded, if that has room now; else not to a worker on which a run has failed since
// one last succeeded, for which it waits for a while; else not to that of the task's failed run; else anywhere.
func ExcludeForRetries(t *chuteledger.Transition, demands []chuteplacement.Demand) {
	var usable []chuteplacement.Worker
	judged := 0
	for i, d := range demands {
		j, ok := t.Live.Get(d.ID.Job)
		if !ok || d.Excluded != nil || !retries(j, d) {
			continue
		}
		if usable == nil {
			usable = Usable(t, nil)
		}
		judged++
		demands[i].Excluded = exclusion(t, j, d, usable, judged <= maxRetriesJudged)
	}
}

// retries reports whether tasks of the demand have failed.
func retries(j chutetask.Job, d chuteplacement.Demand) bool {
	tasks := j.Tasks(d.ID)
	return slices.ContainsFunc(d.Indexes, func(i int) bool { return tasks[i].Failures > 0 })
}

// exclusion returns the workers on which no task of the demand may start. Whether the others have room now is looked at only if so
// told.
func exclusion(t *chuteledger.Transition, j chutetask.Job, d chuteplacement.Demand, usable []chuteplacement.Worker, judged bool) map[chutetask.WorkerID]bool {
	failed, failedAt := failedWorkers(t, j, d)
	doubtful := excluding(usable, func(id chutetask.WorkerID) bool { return failed[id] || t.Outliers.Of(id).FailedSinceSuccess() })
	if !judged {
		return doubtful
	}
	for _, within := range successMemories {
		d.Excluded = excluding(usable, func(id chutetask.WorkerID) bool {
			return failed[id] || !t.Outliers.Of(id).ProvenFor(j.Queue, within, t.Now)
		})
		if chuteplacement.Fits(usable, d) {
			return d.Excluded
		}
	}
	if d.Excluded = doubtful; chuteplacement.Fits(usable, d) {
		return doubtful
	}
	waits := t.Now.Sub(failedAt) < maxRetryWait
	if d.Excluded = doubtful; waits && chuteplacement.FitsEmpty(usable, d) {
		return doubtful
	}
	if d.Excluded = failed; chuteplacement.Fits(usable, d) || waits && chuteplacement.FitsEmpty(usable, d) {
		return failed
	}
	return nil
}

// failedWorkers returns the workers of the latest runs of the demand's tasks that have failed, and when a run last failed on one.
func failedWorkers(t *chuteledger.Transition, j chutetask.Job, d chuteplacement.Demand) (map[chutetask.WorkerID]bool, time.Time) {
	failed := make(map[chutetask.WorkerID]bool)
	var failedAt time.Time
	tasks := j.Tasks(d.ID)
	for _, i := range d.Indexes {
		task := tasks[i]
		if !slices.Contains(task.FailedRuns, task.Run) {
			continue
		}
		failed[task.Worker] = true
		if at := t.Outliers.Of(task.Worker).FailedAt(); at.After(failedAt) {
			failedAt = at
		}
	}
	return failed, failedAt
}

// excluding returns the workers for which the condition holds.
func excluding(workers []chuteplacement.Worker, condition func(chutetask.WorkerID) bool) map[chutetask.WorkerID]bool {
	excluded := make(map[chutetask.WorkerID]bool)
	for _, w := range workers {
		if condition(w.ID) {
			excluded[w.ID] = true
		}
	}
	return excluded
}
