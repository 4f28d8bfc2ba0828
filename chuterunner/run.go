package chuterunner

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// maxStartOrders is how often a start is ordered before the run is given up.
	maxStartOrders = 5
	// leaseDrift is the share by which a worker's clock may be slow, with a margin.
	leaseDrift = 0.03
	// leaseMargin is added to every lease before it counts as run out.
	leaseMargin = 200 * time.Millisecond
	// cooldownAfterRefusal is how long a worker that refused an order gets nothing new.
	cooldownAfterRefusal = time.Second
	// cooldownAfterStreak is how long a worker that failed runs of several jobs gets nothing new.
	cooldownAfterStreak = 6 * time.Second
	// maxFailureStreak is the number of runs of different jobs in a row that fail before a worker rests.
	maxFailureStreak = 2
)

// LongestLease returns how long a lease may last on this process's clock.
func (s State) LongestLease() time.Duration {
	return time.Duration(float64(s.Bounds.MaxLease)*(1+leaseDrift)) + leaseMargin
}

// Leased returns the worker with a lease that begins now. One that does not answer keeps its lease as it is, so that it
// runs out although orders which may have arrived are repeated.
func (t *Transition) ExtendLease(w chutepool.Worker) chutepool.Worker {
	if w.MissedRenewals == 0 {
		w.LeaseEnd = w.Clock.Now(t.Now) + t.Bounds.MaxLease
		w.LeaseExpiryBound = t.Now.Add(t.LongestLease())
	}
	return w
}

// OrderStart sends the start order of a recorded run.
func (t *Transition) OrderStart(w chutepool.Worker, r chutepool.Run) {
	j, ok := t.Job(r.ID.Task.Job)
	if !ok {
		return
	}
	task, _ := j.Task(r.ID.Task)
	w = t.ExtendLease(w)
	t.PutWorker(w.WithRun(r.WithOrder().WithAnswerPending(true)))
	t.Emit(chuteaction.StartRun{
		WorkerTarget: t.Target(w), Run: r.ID, Payload: j.Spec.Payload, LeaseEnd: w.LeaseEnd,
		Checkpoint: task.Checkpoint, Ticket: r.Ticket,
	})
}

// Started handles the end of a start order.
func (t *Transition) HandleRunStarted(e chuteaction.RunStarted) {
	w, r, ok := t.Pool.FindRun(e.Worker, e.Run)
	if e.Epoch != t.Epoch || !ok || r.Phase != chutepool.RunOrdered {
		return
	}
	r = r.WithAnswerPending(false)
	switch e.Outcome {
	case chuteaction.OrderAccepted:
		t.runTaken(w, r, e.Clock)
	case chuteaction.OrderUnknown:
		t.startUnanswered(w, r)
	case chuteaction.OrderMisdirected:
		t.PutWorker(w.WithRun(r))
		t.workerReplaced(w.ID)
	case chuteaction.OrderRefused, chuteaction.OrderUnhealthy:
		t.startRefused(w, r, e)
	}
}

func (t *Transition) runTaken(w chutepool.Worker, r chutepool.Run, clock time.Duration) {
	if clock > 0 {
		w.Clock = chutepool.Clock{Reading: clock, ReadAt: t.Now}
	}
	w.AnsweredAt = t.Now
	t.PutWorker(w.WithRun(r.WithPhase(chutepool.RunStarted, t.Now)))
	if j, ok := t.Job(r.ID.Task.Job); ok {
		t.Emit(chuteaction.Observe{Histogram: "start", Kind: j.Queue, Duration: t.Now.Sub(j.SeenAt)})
	}
}

func (t *Transition) startUnanswered(w chutepool.Worker, r chutepool.Run) {
	t.Count("start-unanswered", "no-answer")
	r = r.WithStartUnanswered()
	t.PutWorker(w.WithRun(r))
	if r.OrdersSent < maxStartOrders {
		t.OrderStart(w, r)
		return
	}
	t.Log(part, "start given up", r.ID.Task.Job, "run", r.ID, "worker", w.ID, "orders", r.OrdersSent)
	t.StopRun(w.ID, r.ID, "start-unanswered")
}

// startRefused ends a run that the worker did not start, unless an earlier order for it may still be carried out.
func (t *Transition) startRefused(w chutepool.Worker, r chutepool.Run, e chuteaction.RunStarted) {
	reason := e.Reason.String()
	if e.Outcome == chuteaction.OrderUnhealthy {
		reason = "unhealthy"
	}
	t.Count("start-refused", reason)
	t.Log(part, "start refused", r.ID.Task.Job, "run", r.ID, "worker", w.ID, "reason", reason)
	t.Fenced = t.Fenced || e.Reason == chuteaction.RefusedFenced
	if r.StartUnanswered && e.Reason == chuteaction.RefusedStale { // an earlier order was carried out: the list tells how it ended
		w.ReportDue = true
		w.RenewAfter = t.Now
		t.PutWorker(w.WithRun(r.WithPhase(chutepool.RunStarted, t.Now)))
		return
	}
	w.CooldownUntil = t.Now.Add(cooldownAfterRefusal)
	w.RenewAfter = t.Now
	t.PutWorker(w.WithRun(r))
	if r.StartUnanswered {
		t.StopRun(w.ID, r.ID, "start-refused")
		return
	}
	t.ReleaseRun(w.ID, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndLost})
}

// StopRun begins to stop a run. One whose order has not left is dropped at once.
func (t *Transition) StopRun(worker chutetask.WorkerID, id chutegraph.RunID, reason string) {
	w, r, ok := t.Pool.FindRun(worker, id)
	if !ok || r.Phase == chutepool.RunStopping {
		return
	}
	if r.Phase == chutepool.RunPlanned {
		t.ReleaseRun(worker, id, chutetask.RunEnd{Run: id, Kind: chutetask.EndStopped})
		return
	}
	if r.Phase == chutepool.RunRecording {
		return // the end of the write looks at the job again
	}
	t.Count("run-stopped", reason)
	t.Log(part, "run is stopped", id.Task.Job, "run", id, "worker", worker, "reason", reason)
	t.OrderStop(w, r.WithPhase(chutepool.RunStopping, t.Now))
}

// OrderStop sends the stop order of a run.
func (t *Transition) OrderStop(w chutepool.Worker, r chutepool.Run) {
	t.PutWorker(w.WithRun(r.WithOrder().WithAnswerPending(true)))
	t.Emit(chuteaction.StopRun{WorkerTarget: t.Target(w), Run: r.ID})
}

// Stopped handles the end of a stop order.
func (t *Transition) HandleRunStopped(e chuteaction.RunStopped) {
	w, r, ok := t.Pool.FindRun(e.Worker, e.Run)
	if e.Epoch != t.Epoch || !ok || r.Phase != chutepool.RunStopping {
		return
	}
	r = r.WithAnswerPending(false)
	switch e.Outcome {
	case chuteaction.OrderAccepted:
		w.RenewAfter = t.Now
		w.ReportDue = true
		t.PutWorker(w.WithRun(r.WithStopAnswered(t.Now)))
	case chuteaction.OrderMisdirected:
		t.PutWorker(w.WithRun(r))
		t.workerReplaced(w.ID)
	case chuteaction.OrderUnknown, chuteaction.OrderUnhealthy, chuteaction.OrderRefused:
		t.Count("stop-repeated", e.Reason.String())
		t.Fenced = e.Reason == chuteaction.RefusedFenced
		r.PhaseSince = t.Now
		t.PutWorker(w.WithRun(r))
	}
}

// runEnded enters the end of a run that its worker lists.
func (t *Transition) runEnded(w chutepool.Worker, end chutetask.RunEnd) {
	t.noteHealth(w, end)
	if _, ok := w.Run(end.Run); !ok {
		t.enterEnd(w.ID, end)
		return
	}
	t.ReleaseRun(w.ID, end.Run, end)
}

// ReleaseRun returns the room of a run that certainly works no longer, and enters its end.
func (t *Transition) ReleaseRun(worker chutetask.WorkerID, id chutegraph.RunID, end chutetask.RunEnd) {
	w, r, ok := t.Pool.FindRun(worker, id)
	if !ok {
		return
	}
	if end.Checkpoint == "" {
		end.Checkpoint = r.Checkpoint
	}
	t.PutWorker(w.WithoutRun(id))
	t.PlanDue = true
	t.enterEnd(worker, end)
}

// enterEnd draws the consequence of an end for the task, if it is the end of the task's latest run.
func (t *Transition) enterEnd(worker chutetask.WorkerID, end chutetask.RunEnd) {
	j, ok := t.Job(end.Run.Task.Job)
	if !ok {
		return
	}
	task, ok := j.Task(end.Run.Task)
	if !ok || task.Phase != chutetask.TaskActive || task.Run != end.Run.Number || task.Worker != worker {
		return
	}
	if end.Kind == chutetask.EndDone {
		t.taskDone(j, end.Run.Task, task)
		return
	}
	t.Count("run-ended", end.Kind.String())
	t.Log(part, "run ended early", j.ID, "run", end.Run, "worker", worker, "kind", end.Kind, "checkpoint", end.Checkpoint)
	t.taskEnded(j, end.Run.Task, task, end)
}

// noteHealth rests a worker on which runs of several jobs failed in a row.
func (t *Transition) noteHealth(w chutepool.Worker, end chutetask.RunEnd) {
	switch end.Kind {
	case chutetask.EndDone:
		w.FailureStreak = 0
	case chutetask.EndFailed:
		if w.LastFailedJob == end.Run.Task.Job && w.FailureStreak > 0 {
			return
		}
		w.FailureStreak++
		w.LastFailedJob = end.Run.Task.Job
		if w.FailureStreak >= maxFailureStreak {
			w.CooldownUntil = t.Now.Add(cooldownAfterStreak)
			t.Count("worker-cooldown", "failures")
			t.Log(part, "worker gets nothing new for a while", end.Run.Task.Job, "worker", w.ID, "failures", w.FailureStreak)
		}
	case chutetask.EndStopped, chutetask.EndLeaseExpired, chutetask.EndGangBroken, chutetask.EndGangIncomplete, chutetask.EndLost:
		return
	}
	t.PutWorker(w)
}
