package chutegang

import (
	"time"

	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// failuresPerWorker is how often a job may fail for each distinct worker that it may fail on.
const failuresPerWorker = 2

// stopRetryInterval is the time after which a stop order is sent again.
const stopRetryInterval = time.Second

// Stop starts to stop a job in whatever phase it is.
func (t *Transition) Stop(j chutejob.Job, reason chutejob.StopReason) {
	switch j.Phase {
	case chutejob.PhaseWaiting:
		t.Settle(j.WithStopReason(reason))
	case chutejob.PhaseClaiming:
		t.dropClaim(j)
		if waiting, ok := t.State.LiveJob(j.ID); ok {
			t.Settle(waiting.WithStopReason(reason))
		}
	case chutejob.PhaseReserved:
		t.PutJob(j.WithStopReason(reason))
	case chutejob.PhaseReady:
		t.release(j.WithStopReason(reason))
	case chutejob.PhaseRunning:
		t.checkpointOrStop(j, reason)
	case chutejob.PhaseStarting:
		t.OrderStops(j.WithStop(chutejob.PhaseStopping, reason, t.Now()))
	case chutejob.PhaseCheckpointing, chutejob.PhaseStopping:
		t.PutJob(j.WithStopReason(reason))
	case chutejob.PhaseEnded:
	}
}

// checkpointOrStop saves the job's progress first where that is worth it.
func (t *Transition) checkpointOrStop(j chutejob.Job, reason chutejob.StopReason) {
	worthSaving := reason == chutejob.StopReclaimed || reason == chutejob.StopZoneOut
	if !j.Spec.Checkpoint || !worthSaving {
		t.OrderStops(j.WithStop(chutejob.PhaseStopping, reason, t.Now()))
		return
	}
	j = j.WithStop(chutejob.PhaseCheckpointing, reason, t.Now())
	t.PutJob(j)
	t.OrderCheckpoints(j, t.CheckpointDeadline(j))
}

// OrderCheckpoints orders every running part to save its progress; orders that have not left when they expire are dropped.
func (t *Transition) OrderCheckpoints(j chutejob.Job, expires time.Time) {
	for i, p := range j.Parts {
		if p.State == chutejob.PartRunning {
			t.Order(p.Block.Worker, chuteorder.CheckpointTask{Task: taskID(j, i)}, expires)
		}
	}
}

// CheckpointDeadline returns the moment at which a checkpointing job is stopped whether it has saved its progress or not.
func (t *Transition) CheckpointDeadline(j chutejob.Job) time.Time {
	return j.PhaseSince.Add(t.Environment.Document.Policy.CheckpointGrace)
}

// SendStops orders every part that may run to stop.
func (t *Transition) OrderStops(j chutejob.Job) {
	t.PutJob(j)
	for i, p := range j.Parts {
		if !p.State.Inactive() {
			t.Order(p.Block.Worker, chuteorder.StopTask{Task: taskID(j, i)}, time.Time{})
		}
	}
	if j.AllInactive() {
		t.Settle(j)
	}
}

// AdvanceStop drives a stopping job: stops are repeated, and parts on workers silent for longer than their lease are gone.
func (t *Transition) AdvanceStop(j chutejob.Job) {
	for i, p := range j.Parts {
		if !p.State.Inactive() && t.leaseLapsed(p.Block.Worker) {
			j = t.endPart(j.WithExecuted(), i, chutejob.PartStopped)
			t.Count("part-lost", "lease-lapsed")
		}
	}
	if j.AllInactive() {
		t.Settle(j)
		return
	}
	if t.Now().Sub(j.PhaseSince) >= stopRetryInterval {
		t.OrderStops(j.WithPhase(chutejob.PhaseStopping, t.Now()))
	}
}

func (t *Transition) leaseLapsed(id chutetopology.WorkerID) bool {
	r, ok := t.State.Registry.Get(id)
	return !ok || r.LeaseExpired(t.Now())
}

// Settle decides what becomes of a job none of whose parts can run.
func (t *Transition) Settle(j chutejob.Job) {
	t.detach(j)
	t.State.Inventory = t.State.Inventory.WithClaimEnded(string(j.ID))
	t.State.PlanDue = true
	acknowledge := t.endedTasks(j)
	if result, ends := t.end(j); ends {
		j = j.WithResult(result, t.Now())
		t.Count("job-ended", result.Code.String())
	} else {
		t.Count("job-requeued", j.StopReason.String())
		j = j.WithWaiting(t.Now())
	}
	t.PutJob(j)
	t.CommitJob(PendingProgress{Job: j.ID, Acknowledged: acknowledge}, j)
}

// end returns the result of a job whose latest attempt is over, and false if it goes back to its queue.
func (t *Transition) end(j chutejob.Job) (chuteresult.Result, bool) {
	restarts := j.Spec.Restartable() || !j.Executed
	switch {
	case j.AllPartsIn(chutejob.PartDone):
		return chuteresult.New(chuteresult.Done, "every part ended well"), true
	case j.CancelRequested && !j.Executed:
		return chuteresult.New(chuteresult.Cancelled, "cancelled before any part started"), true
	case j.CancelRequested:
		return chuteresult.New(chuteresult.RanInterrupted, "cancelled after parts had started"), true
	case j.StopReason == chutejob.StopPartFailed && t.failsEverywhere(j):
		t.exonerate(j)
		return chuteresult.New(chuteresult.RanFailed, "failed %d times, on %d distinct workers", j.Failures, len(j.FailedWorkers)), true
	case restarts:
		return chuteresult.Result{}, false
	case j.StopReason == chutejob.StopPartFailed:
		return chuteresult.New(chuteresult.RanFailed, "a part failed and the job must not run twice"), true
	case j.StopReason == chutejob.StopPartLost:
		return chuteresult.New(chuteresult.WorkerLost, "a worker was lost and the job must not run twice"), true
	}
	return chuteresult.New(chuteresult.RanInterrupted, "stopped (%s) and must not run twice", j.StopReason), true
}

func (t *Transition) failsEverywhere(j chutejob.Job) bool {
	workers := t.State.Registry.Len()
	most := t.Environment.Document.Policy.MaxFailures
	return len(j.FailedWorkers) >= min(most, workers) || j.Failures >= failuresPerWorker*most
}

// exonerate takes the failures of a job that fails everywhere off the workers' records.
func (t *Transition) exonerate(j chutejob.Job) {
	for _, id := range j.FailedWorkers {
		if r, ok := t.State.Registry.Get(id); ok {
			t.State.Registry = t.State.Registry.WithRecord(r.WithHealth(r.Health.WithoutFailures(string(j.ID))))
		}
	}
}

// endedTasks returns the tasks whose records the workers may forget once the job's row is written.
func (t *Transition) endedTasks(j chutejob.Job) []PlacedTask {
	var tasks []PlacedTask
	for i, p := range j.Parts {
		if p.State == chutejob.PartDone || p.State == chutejob.PartFailed || p.State == chutejob.PartStopped {
			tasks = append(tasks, PlacedTask{Worker: p.Block.Worker, Task: taskID(j, i)})
		}
	}
	return tasks
}

// Acknowledge lets the workers forget ended tasks with their next poll.
func (t *Transition) Acknowledge(tasks []PlacedTask) {
	for _, task := range tasks {
		if r, ok := t.State.Registry.Get(task.Worker); ok {
			t.State.Registry = t.State.Registry.WithRecord(r.WithAcknowledged(task.Task))
		}
	}
}
