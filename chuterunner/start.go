package chuterunner

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecrash"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// maxStartOrders is the number of start orders that are sent for a run before it is stopped.
	maxStartOrders = 3
	// firstStartTimeout is how long the first start order of a run waits for its answer.
	firstStartTimeout = 300 * time.Millisecond
	// startTimeoutStep is how much longer each further order waits: the worker, or the way to it, may be slow.
	startTimeoutStep = 200 * time.Millisecond
	// maxStartDelay is how long after its decision a start order may be sent.
	maxStartDelay = 400 * time.Millisecond
	// maxUnsentTime is how long the start of a run is tried while none of its orders is sent.
	maxUnsentTime = 2 * time.Second
	// maxAnswerOvertake is the longest time by which an answer of a worker may arrive later than one that was given after it.
	maxAnswerOvertake = 2 * time.Second
	// cooldownAfterRefusal is how long a worker that refused a start order gets no new runs.
	cooldownAfterRefusal = time.Second
	// maxRefusalStreak is how many times in a row a worker may refuse starts for the runs' own sake without such a cooldown.
	maxRefusalStreak = 3
)

// OrderStart sends the start order of a recorded run to its worker.
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
		Checkpoint: task.Checkpoint, Ticket: r.Ticket, Timeout: firstStartTimeout + time.Duration(r.OrdersSent)*startTimeoutStep,
		SendBefore: t.Now.Add(maxStartDelay),
	})
}

// HandleRunStarted handles the outcome of a start order.
func (t *Transition) HandleRunStarted(e chuteaction.RunStarted) {
	w, r, ok := t.Pool.FindRun(e.Worker, e.Run)
	if e.Epoch != t.Epoch || !ok {
		return
	}
	if r.Phase != chutepool.RunOrdered {
		return
	}
	r = r.WithAnswerPending(false)
	switch e.Outcome {
	case chuteaction.OrderAccepted:
		t.startAccepted(w, r, e.Clock)
	case chuteaction.OrderUnknown:
		t.startUnanswered(w, r)
	case chuteaction.OrderMisdirected:
		if !w.MayBeReplaced(e.Address) {
			t.startRefused(w, r, e)
			return
		}
		t.PutWorker(w.WithRun(r))
		t.MarkReplaced(w.ID)
	case chuteaction.OrderRefused, chuteaction.OrderUnhealthy, chuteaction.OrderUnreachable:
		t.startRefused(w, r, e)
	case chuteaction.OrderNotSent:
		t.PutWorker(w.WithRun(r.WithStartNotSent()))
	}
}

// RepeatUnsentStart orders the start of a run again whose latest order was not sent, or gives the start up if the run may
// no longer start or has not been sent for too long.
func (t *Transition) RepeatUnsentStart(w chutepool.Worker, r chutepool.Run) {
	if t.Now.Sub(r.PhaseSince) < maxUnsentTime && t.StartStillDue(w, r) {
		t.OrderStart(w, r)
		return
	}
	t.Count("start-dropped", "not-sent")
	t.Log(component, "start is given up: its order was not sent", r.ID.Task.Job, "run", r.ID, "worker", w.ID, "waited", t.Now.Sub(r.PhaseSince))
	if r.StartUnanswered {
		t.AbandonStart(w, r, "start-not-sent")
		return
	}
	t.ReleaseRun(w.ID, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndStopped})
}

// StartStillDue reports whether a run that has been recorded may still start on its worker.
func (t *Transition) StartStillDue(w chutepool.Worker, r chutepool.Run) bool {
	j, ok := t.Job(r.ID.Task.Job)
	if !ok || j.Phase.Ended() || !t.MayOrderStart(w) || !t.Expected(w.ID, r.ID) {
		return false
	}
	task, _ := j.Task(r.ID.Task)
	return task.Phase == chutetask.TaskActive
}

// startAccepted marks a run as started, and measures how long its job waited for the start.
func (t *Transition) startAccepted(w chutepool.Worker, r chutepool.Run, clock time.Duration) {
	if clock > 0 && restartedSince(w.Clock, clock, t.Now) {
		w.RestartSeen = true
		w.ReportDue = true
	}
	r.AfterRestart = w.RestartSeen
	if clock > 0 {
		w.Clock = chutepool.Clock{Reading: clock, ReadAt: t.Now}
	}
	w.AnsweredAt = t.Now
	w.RefusalStreak = 0
	t.PutWorker(w.WithRun(r.WithPhase(chutepool.RunStarted, t.Now)))
	chutecrash.NoteBegun(t.Transition, r.ID)
	if j, ok := t.Job(r.ID.Task.Job); ok {
		t.Emit(chuteaction.Observe{Histogram: "start", Kind: j.Queue, Duration: t.Now.Sub(j.SeenAt)})
	}
}

// restartedSince reports whether a reading of a worker's clock, which starts anew with its process, shows that the worker
// has restarted since an earlier reading.
func restartedSince(earlier chutepool.Clock, reading time.Duration, now time.Time) bool {
	if earlier.ReadAt.IsZero() {
		return false
	}
	drift := time.Duration(chuteledger.MaxClockDrift * float64(now.Sub(earlier.ReadAt)))
	return reading < earlier.Now(now)-drift-maxAnswerOvertake
}

// startUnanswered repeats a start order, or stops the run after the last one or where nothing may start any more. It also
// requests a report of the worker, which may have started the run.
func (t *Transition) startUnanswered(w chutepool.Worker, r chutepool.Run) {
	t.Count("start-unanswered", "no-answer")
	r = r.WithStartUnanswered()
	w.ReportDue = true
	t.PutWorker(w.WithRun(r))
	if r.OrdersSent < maxStartOrders && t.MayOrderStart(w) {
		t.OrderStart(w, r)
		return
	}
	t.Log(component, "start is abandoned after unanswered orders", r.ID.Task.Job, "run", r.ID, "worker", w.ID, "orders", r.OrdersSent)
	t.AbandonStart(w, r, "start-unanswered")
}

// AbandonStart stops a run whose start order may still be carried out. In a gang it stops the others as well, which
// would hold their capacity in vain until that run's end is certain.
func (t *Transition) AbandonStart(w chutepool.Worker, r chutepool.Run, reason string) {
	t.StopRun(w.ID, r.ID, reason)
	if j, ok := t.Job(r.ID.Task.Job); ok && j.Step(r.ID.Task.StepID).Gang {
		t.breakGang(j, r.ID.Task)
	}
}

// startRefused ends a run that the worker did not start, unless an earlier order for it may still be carried out.
func (t *Transition) startRefused(w chutepool.Worker, r chutepool.Run, e chuteaction.RunStarted) {
	reason := e.Reason.String()
	switch e.Outcome {
	case chuteaction.OrderUnhealthy:
		reason = "unhealthy"
	case chuteaction.OrderUnreachable:
		reason = "unreachable"
	case chuteaction.OrderMisdirected:
		reason = "former-address"
	case chuteaction.OrderAccepted, chuteaction.OrderRefused, chuteaction.OrderUnknown, chuteaction.OrderNotSent:
	}
	t.Count("start-refused", reason)
	t.Log(component, "start refused", r.ID.Task.Job, "run", r.ID, "worker", w.ID, "reason", reason)
	t.Fenced = t.Fenced || e.Reason == chuteaction.RefusedFenced
	if r.StartUnanswered && e.Reason == chuteaction.RefusedStale {
		// The worker carried out an earlier order: its next report says how the run ended.
		w.ReportDue = true
		w.RenewAfter = t.Now
		t.PutWorker(w.WithRun(r.WithPhase(chutepool.RunStarted, t.Now)))
		t.NoteRunBegun(r.ID.Task.Job)
		return
	}
	if concernsRunAlone(e.Reason) {
		w = w.WithRefusal(r.PhaseSince, t.Now)
	}
	if !concernsRunAlone(e.Reason) || w.RefusalStreak >= maxRefusalStreak {
		w.CooldownUntil = t.Now.Add(cooldownAfterRefusal)
	}
	w.RenewAfter = t.Now
	t.PutWorker(w.WithRun(r))
	if r.StartUnanswered {
		t.AbandonStart(w, r, "start-refused")
		return
	}
	t.ReleaseRun(w.ID, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndLost})
}

// concernsRunAlone reports whether a worker that refused a start for the reason may start other runs.
func concernsRunAlone(reason chuteaction.RefusalReason) bool {
	return reason == chuteaction.RefusedStale || reason == chuteaction.RefusedTicket
}
