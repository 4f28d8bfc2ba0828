package chutegang

import (
	"time"

	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// failuresPerWorker times the document's maximum of distinct failed workers is the number of failures that ends a job.
const failuresPerWorker = 2

// stopRetryInterval is the time after which the stop orders of a stopping job are sent again.
const stopRetryInterval = time.Second

// Stop begins to stop the job, whatever its phase. It leaves an ended job as it is.
func (t *Transition) Stop(j chutejob.Job, reason chutejob.StopReason) {
	switch j.Phase {
	case chutejob.PhaseWaiting:
		t.FinishAttempt(j.WithStopReason(reason))
	case chutejob.PhaseClaiming:
		t.abandonClaim(j)
		if waiting, ok := t.State.LiveJob(j.ID); ok {
			t.FinishAttempt(waiting.WithStopReason(reason))
		}
	case chutejob.PhaseReserved:
		t.PutJob(j.WithStopReason(reason))
	case chutejob.PhaseReady:
		t.releaseUnstarted(j.WithStopReason(reason))
	case chutejob.PhaseRunning:
		t.checkpointOrStop(j, reason)
	case chutejob.PhaseStarting:
		t.OrderStops(j.WithStop(chutejob.PhaseStopping, reason, t.Now()))
	case chutejob.PhaseCheckpointing, chutejob.PhaseStopping:
		t.PutJob(j.WithStopReason(reason))
	case chutejob.PhaseEnded:
	}
}

// checkpointOrStop stops a running job. It orders checkpoints first if the job supports them and is stopped for another
// job or because its zone is taken out of service.
func (t *Transition) checkpointOrStop(j chutejob.Job, reason chutejob.StopReason) {
	preserve := reason == chutejob.StopReclaimed || reason == chutejob.StopZoneOut
	if !j.Spec.Checkpoint || !preserve {
		t.OrderStops(j.WithStop(chutejob.PhaseStopping, reason, t.Now()))
		return
	}
	j = j.WithStop(chutejob.PhaseCheckpointing, reason, t.Now())
	t.PutJob(j)
	t.OrderCheckpoints(j, t.CheckpointDeadline(j))
}

// OrderCheckpoints orders every running part to save its progress. This host drops an order that is still unsent when
// it expires.
func (t *Transition) OrderCheckpoints(j chutejob.Job, expires time.Time) {
	for i, p := range j.Parts {
		if p.State == chutejob.PartRunning {
			t.SendOrder(p.Block.Worker, chuteorder.CheckpointTask{Task: taskID(j, i)}, expires)
		}
	}
}

// CheckpointDeadline returns the time at which a checkpointing job is stopped even if it has not saved its progress.
func (t *Transition) CheckpointDeadline(j chutejob.Job) time.Time {
	return j.PhaseSince.Add(t.Environment.Document.Policy.CheckpointGrace)
}

// OrderStops orders every part that may run to stop, or finishes the attempt if there is none.
func (t *Transition) OrderStops(j chutejob.Job) {
	t.PutJob(j)
	for i, p := range j.Parts {
		if !p.State.Inactive() {
			t.SendOrder(p.Block.Worker, chuteorder.StopTask{Task: taskID(j, i)}, time.Time{})
		}
	}
	if j.AllInactive() {
		t.FinishAttempt(j)
	}
}

// AdvanceStop ends the parts of a stopping job on workers whose lease has expired, and repeats the stop orders to the
// others.
func (t *Transition) AdvanceStop(j chutejob.Job) {
	for i, p := range j.Parts {
		if !p.State.Inactive() && t.leaseExpired(p.Block.Worker) {
			j = t.endPart(j.WithExecuted(), i, chutejob.PartStopped)
			t.Count("part-lost", "lease-lapsed")
		}
	}
	if j.AllInactive() {
		t.FinishAttempt(j)
		return
	}
	if t.Now().Sub(j.PhaseSince) >= stopRetryInterval {
		t.OrderStops(j.WithPhase(chutejob.PhaseStopping, t.Now()))
	}
}

// leaseExpired reports whether the worker's lease has expired, so that none of its tasks can run.
func (t *Transition) leaseExpired(id chutetopology.WorkerID) bool {
	r, ok := t.State.Registry.Get(id)
	return !ok || r.LeaseExpired(t.Now())
}

// FinishAttempt ends the job or puts it back in its queue, once none of its parts can run, and writes the job's row.
func (t *Transition) FinishAttempt(j chutejob.Job) {
	t.detachJob(j)
	t.State.Inventory = t.State.Inventory.WithClaimEnded(string(j.ID))
	t.State.PlanDue = true
	acknowledge := t.endedTasks(j)
	if result, ends := t.finalResult(j); ends {
		j = j.WithResult(result, t.Now())
		t.Count("job-ended", result.Code.String())
	} else {
		t.Count("job-requeued", j.StopReason.String())
		j = j.WithWaiting(t.Now())
	}
	t.PutJob(j)
	t.CommitJob(PendingFinish{Job: j.ID, Acknowledged: acknowledge}, j)
}

// finalResult returns the result of a job whose latest attempt is over, and false if the job goes back to its queue.
func (t *Transition) finalResult(j chutejob.Job) (chuteresult.Result, bool) {
	restartable := j.Spec.Restartable() || !j.Executed
	switch {
	case j.AllPartsIn(chutejob.PartDone):
		return chuteresult.New(chuteresult.Done, "every part ended well"), true
	case j.CancelRequested && !j.Executed:
		return chuteresult.New(chuteresult.Cancelled, "cancelled before any part started"), true
	case j.CancelRequested:
		return chuteresult.New(chuteresult.RanInterrupted, "cancelled after parts had started"), true
	case j.StopReason == chutejob.StopPartFailed && t.failsEverywhere(j):
		t.clearFailures(j)
		return chuteresult.New(chuteresult.RanFailed, "failed %d times, on %d distinct workers", j.Failures, len(j.FailedWorkers)), true
	case restartable:
		return chuteresult.Result{}, false
	case j.StopReason == chutejob.StopPartFailed:
		return chuteresult.New(chuteresult.RanFailed, "a part failed and the job must not run twice"), true
	case j.StopReason == chutejob.StopPartLost:
		return chuteresult.New(chuteresult.WorkerLost, "a worker was lost and the job must not run twice"), true
	}
	return chuteresult.New(chuteresult.RanInterrupted, "stopped (%s) and must not run twice", j.StopReason), true
}

// failsEverywhere reports whether the job has failed so often, or on so many workers, that the job itself must be at
// fault.
func (t *Transition) failsEverywhere(j chutejob.Job) bool {
	workers := t.State.Registry.Len()
	maxFailures := t.Environment.Document.Policy.MaxFailures
	return len(j.FailedWorkers) >= min(maxFailures, workers) || j.Failures >= failuresPerWorker*maxFailures
}

// clearFailures removes the failures of a job that fails everywhere from the records of its workers.
func (t *Transition) clearFailures(j chutejob.Job) {
	for _, id := range j.FailedWorkers {
		if r, ok := t.State.Registry.Get(id); ok {
			t.State.Registry = t.State.Registry.WithRecord(r.WithHealth(r.Health.WithoutFailures(string(j.ID))))
		}
	}
}

// endedTasks returns the job's ended tasks, whose records the workers may forget once the job's row is written.
func (t *Transition) endedTasks(j chutejob.Job) []PlacedTask {
	var tasks []PlacedTask
	for i, p := range j.Parts {
		if p.State == chutejob.PartDone || p.State == chutejob.PartFailed || p.State == chutejob.PartStopped {
			tasks = append(tasks, PlacedTask{Worker: p.Block.Worker, Task: taskID(j, i)})
		}
	}
	return tasks
}

// Acknowledge tells the workers with their next polls that they may forget the ended tasks.
func (t *Transition) Acknowledge(tasks []PlacedTask) {
	for _, task := range tasks {
		if r, ok := t.State.Registry.Get(task.Worker); ok {
			t.State.Registry = t.State.Registry.WithRecord(r.WithAcknowledged(task.Task))
		}
	}
}
