package chutescheduler

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterun"
)

const (
	// maxStartOrders is how often a start is ordered before the run is given up.
	maxStartOrders = 5
	// leaseDrift is the share by which a worker's clock may be slow, with a margin.
	leaseDrift = 0.03
	// leaseMargin is added to every lease before it counts as run out.
	leaseMargin = 200 * time.Millisecond
	// restAfterRefusal is how long a worker that refused an order gets nothing new.
	restAfterRefusal = time.Second
	// restAfterStrikes is how long a worker that failed runs of several jobs gets nothing new.
	restAfterStrikes = 6 * time.Second
	// maxStrikes is the number of runs of different jobs in a row that fail before a worker rests.
	maxStrikes = 2
)

// longestLease returns how long a lease may last on this process's clock.
func (s State) longestLease() time.Duration {
	return time.Duration(float64(s.bounds.MaxLease)*(1+leaseDrift)) + leaseMargin
}

// leased returns the worker with a lease that begins now. One that does not answer keeps its lease as it is, so that it
// runs out although orders which may have arrived are repeated.
func (t *turn) leased(w chutepool.Worker) chutepool.Worker {
	if w.Misses == 0 {
		w.LeaseEnd = w.Clock.Now(t.Now) + t.bounds.MaxLease
		w.LeaseUntil = t.Now.Add(t.longestLease())
	}
	return w
}

// orderStart sends the start order of a recorded run.
func (t *turn) orderStart(w chutepool.Worker, r chutepool.Run) {
	j, ok := t.Job(r.ID.Task.Job)
	if !ok {
		return
	}
	task, _ := j.Task(r.ID.Task)
	w = t.leased(w)
	t.putWorker(w.WithRun(r.WithOrder().WithOutstanding(true)))
	t.Emit(chuteaction.StartRun{
		WorkerTarget: t.target(w), Run: r.ID, Payload: j.Spec.Payload, LeaseEnd: w.LeaseEnd,
		Checkpoint: task.Checkpoint, Ticket: r.Ticket,
	})
}

// Started handles the end of a start order.
func (s State) Started(t *chuteaction.Turn, environment Environment, e chuteaction.RunStarted) (State, bool) {
	u := s.turn(t, environment)
	w, r, ok := u.pool.Find(e.Worker, e.Run)
	if e.Epoch != u.epoch || !ok || r.Phase != chutepool.RunOrdered {
		return u.State, false
	}
	r = r.WithOutstanding(false)
	switch e.Outcome {
	case chuteaction.OrderTaken:
		u.runTaken(w, r, e.Clock)
	case chuteaction.OrderUnknown:
		u.startUnanswered(w, r)
	case chuteaction.OrderElsewhere:
		u.putWorker(w.WithRun(r))
		u.workerReplaced(w.ID)
	case chuteaction.OrderRefused, chuteaction.OrderUnhealthy:
		u.startRefused(w, r, e)
	}
	return u.State, u.fenced
}

func (t *turn) runTaken(w chutepool.Worker, r chutepool.Run, clock time.Duration) {
	if clock > 0 {
		w.Clock = chutepool.Clock{Reading: clock, At: t.Now}
	}
	w.AnsweredAt = t.Now
	t.putWorker(w.WithRun(r.WithPhase(chutepool.RunWorking, t.Now)))
	if j, ok := t.Job(r.ID.Task.Job); ok {
		t.Emit(chuteaction.Observe{Histogram: "start", Kind: j.Queue, Took: t.Now.Sub(j.Seen)})
	}
}

func (t *turn) startUnanswered(w chutepool.Worker, r chutepool.Run) {
	t.Count("start-unanswered", "no-answer")
	r = r.WithUnanswered()
	t.putWorker(w.WithRun(r))
	if r.Orders < maxStartOrders {
		t.orderStart(w, r)
		return
	}
	t.Log(part, "start given up", r.ID.Task.Job, "run", r.ID, "worker", w.ID, "orders", r.Orders)
	t.stopRun(w.ID, r.ID, "start-unanswered")
}

// startRefused ends a run that the worker did not start, unless an earlier order for it may still be carried out.
func (t *turn) startRefused(w chutepool.Worker, r chutepool.Run, e chuteaction.RunStarted) {
	reason := e.Reason.String()
	if e.Outcome == chuteaction.OrderUnhealthy {
		reason = "unhealthy"
	}
	t.Count("start-refused", reason)
	t.Log(part, "start refused", r.ID.Task.Job, "run", r.ID, "worker", w.ID, "reason", reason)
	t.fenced = t.fenced || e.Reason == chuteaction.RefusedFence
	w.RestUntil = t.Now.Add(restAfterRefusal)
	w.HoldAfter = t.Now
	t.putWorker(w.WithRun(r))
	if e.Reason == chuteaction.RefusedTicket {
		t.approvals = t.approvals.Delete(r.ID.Task.StepID)
	}
	if r.Unanswered && e.Reason != chuteaction.RefusedOld {
		t.stopRun(w.ID, r.ID, "start-refused")
		return
	}
	t.releaseRun(w.ID, r.ID, chuterun.RunEnd{Run: r.ID, Kind: chuterun.EndLost})
}

// stopRun begins to stop a run. One whose order has not left is dropped at once.
func (t *turn) stopRun(worker chuterun.WorkerID, id chutegraph.RunID, reason string) {
	w, r, ok := t.pool.Find(worker, id)
	if !ok || r.Phase == chutepool.RunStopping {
		return
	}
	if r.Phase == chutepool.RunPlanned {
		t.releaseRun(worker, id, chuterun.RunEnd{Run: id, Kind: chuterun.EndStopped})
		return
	}
	if r.Phase == chutepool.RunWriting {
		return // the end of the write looks at the job again
	}
	t.Count("run-stopped", reason)
	t.Log(part, "run is stopped", id.Task.Job, "run", id, "worker", worker, "reason", reason)
	t.orderStop(w, r.WithPhase(chutepool.RunStopping, t.Now))
}

func (t *turn) orderStop(w chutepool.Worker, r chutepool.Run) {
	t.putWorker(w.WithRun(r.WithOrder().WithOutstanding(true)))
	t.Emit(chuteaction.StopRun{WorkerTarget: t.target(w), Run: r.ID})
}

// Stopped handles the end of a stop order.
func (s State) Stopped(t *chuteaction.Turn, environment Environment, e chuteaction.RunStopped) (State, bool) {
	u := s.turn(t, environment)
	w, r, ok := u.pool.Find(e.Worker, e.Run)
	if e.Epoch != u.epoch || !ok || r.Phase != chutepool.RunStopping {
		return u.State, false
	}
	r = r.WithOutstanding(false)
	switch e.Outcome {
	case chuteaction.OrderTaken:
		w.HoldAfter = t.Now
		w.LookAgain = true
		u.putWorker(w.WithRun(r.WithStopped(t.Now)))
	case chuteaction.OrderElsewhere:
		u.putWorker(w.WithRun(r))
		u.workerReplaced(w.ID)
	case chuteaction.OrderUnknown, chuteaction.OrderUnhealthy, chuteaction.OrderRefused:
		t.Count("stop-repeated", e.Reason.String())
		u.fenced = e.Reason == chuteaction.RefusedFence
		r.Since = t.Now
		u.putWorker(w.WithRun(r))
	}
	return u.State, u.fenced
}

// runEnded enters the end of a run that its worker lists.
func (t *turn) runEnded(w chutepool.Worker, end chuterun.RunEnd) {
	t.noteHealth(w, end)
	if _, ok := w.Run(end.Run); !ok {
		t.enterEnd(w.ID, end)
		return
	}
	t.releaseRun(w.ID, end.Run, end)
}

// releaseRun returns the room of a run that certainly works no longer, and enters its end.
func (t *turn) releaseRun(worker chuterun.WorkerID, id chutegraph.RunID, end chuterun.RunEnd) {
	w, r, ok := t.pool.Find(worker, id)
	if !ok {
		return
	}
	if end.Checkpoint == "" {
		end.Checkpoint = r.Checkpoint
	}
	t.putWorker(w.WithoutRun(id))
	t.planDue = true
	t.enterEnd(worker, end)
}

// enterEnd draws the consequence of an end for the task, if it is the end of the task's latest run.
func (t *turn) enterEnd(worker chuterun.WorkerID, end chuterun.RunEnd) {
	j, ok := t.Job(end.Run.Task.Job)
	if !ok {
		return
	}
	task, ok := j.Task(end.Run.Task)
	if !ok || task.Phase != chuterun.TaskActive || task.Run != end.Run.Number || task.Worker != worker {
		return
	}
	if end.Kind == chuterun.EndDone {
		t.taskDone(j, end.Run.Task, task)
		return
	}
	t.Count("run-ended", end.Kind.String())
	t.Log(part, "run ended early", j.ID, "run", end.Run, "worker", worker, "kind", end.Kind, "checkpoint", end.Checkpoint)
	t.taskEnded(j, end.Run.Task, task, end)
}

// noteHealth rests a worker on which runs of several jobs failed in a row.
func (t *turn) noteHealth(w chutepool.Worker, end chuterun.RunEnd) {
	switch end.Kind {
	case chuterun.EndDone:
		w.Strikes = 0
	case chuterun.EndFailed:
		if w.StruckBy == end.Run.Task.Job && w.Strikes > 0 {
			return
		}
		w.Strikes++
		w.StruckBy = end.Run.Task.Job
		if w.Strikes >= maxStrikes {
			w.RestUntil = t.Now.Add(restAfterStrikes)
			t.Count("worker-rested", "failures")
			t.Log(part, "worker gets nothing new for a while", end.Run.Task.Job, "worker", w.ID, "failures", w.Strikes)
		}
	case chuterun.EndStopped, chuterun.EndLapsed, chuterun.EndBroken, chuterun.EndAlone, chuterun.EndLost:
		return
	}
	t.putWorker(w)
}
