package chuterunner

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// IncarnationChanged enters that a worker was started anew: what it ran is gone, but orders that are on the way may still
// reach it.
func (t *Transition) IncarnationChanged(w chutepool.Worker, incarnation int64) {
	t.Count("worker-restarted", "new-incarnation")
	t.Log(part, "worker was restarted", "", "worker", w.ID, "runs", w.RunCount(), "incarnation", incarnation)
	former := w
	w = w.WithIncarnation(incarnation)
	w.RenewAfter = t.Now
	t.PutWorker(w)
	for _, r := range former.Runs() {
		t.runAfterRestart(w.ID, r)
	}
}

// runAfterRestart draws the consequence of a worker's new incarnation for a run. One that the worker never listed may have been
// started in the new incarnation, although the answer to its order came before the news.
func (t *Transition) runAfterRestart(id chutetask.WorkerID, r chutepool.Run) {
	switch r.Phase {
	case chutepool.RunStarted:
		if r.Incarnation != 0 {
			t.ReleaseRun(id, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndLost})
			return
		}
		w, _ := t.Pool.Get(id)
		t.PutWorker(w.WithRun(r.WithPhase(chutepool.RunStarted, t.Now)))
	case chutepool.RunStopping:
		if r.Incarnation != 0 && !r.StartUnanswered {
			t.ReleaseRun(id, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndLost})
		}
	case chutepool.RunOrdered, chutepool.RunPlanned, chutepool.RunRecording:
		t.StopRun(id, r.ID, "worker-restarted")
	}
}

// workerReplaced enters that another worker answers at the address: this one is gone with all that it ran.
func (t *Transition) workerReplaced(id chutetask.WorkerID) {
	w, ok := t.Pool.Get(id)
	if !ok {
		return
	}
	t.Count("worker-lost", "replaced")
	t.Log(part, "another worker answers at the address", "", "worker", id, "address", w.Address, "runs", w.RunCount())
	t.MarkLost(w.WithUnlisted())
}

// LoseWorker ends all runs of a worker that certainly works no longer under its lease.
func (t *Transition) MarkLost(w chutepool.Worker) {
	w.Contacted = false
	w.Lost = true
	t.PutWorker(w)
	for _, r := range w.Runs() {
		if r.Phase == chutepool.RunRecording {
			continue // the end of the write finds the worker lost
		}
		t.ReleaseRun(w.ID, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndLost})
	}
}

// Renewed handles the end of a renewal.
func (t *Transition) HandleLeaseRenewed(e chuteaction.LeaseRenewed) {
	w, ok := t.Pool.Get(e.Worker)
	if e.Epoch != t.Epoch || !ok {
		return
	}
	w.Renewing = false
	switch e.Outcome {
	case chuteaction.OrderAccepted:
		t.renewed(w, e)
	case chuteaction.OrderMisdirected:
		t.PutWorker(w)
		t.workerReplaced(w.ID)
	case chuteaction.OrderRefused:
		t.Fenced = e.Reason == chuteaction.RefusedFenced
		t.renewalMissed(w, e.Reason.String())
	case chuteaction.OrderUnhealthy:
		t.renewalMissed(w, "unhealthy")
	case chuteaction.OrderUnknown:
		t.renewalMissed(w, "no-answer")
	}
}

func (t *Transition) renewalMissed(w chutepool.Worker, reason string) {
	if w.MissedRenewals == 0 {
		t.Log(part, "worker does not answer", "", "worker", w.ID, "reason", reason, "runs", w.RunCount(),
			"lease-left", w.LeaseExpiryBound.Sub(t.Now))
	}
	t.Count("renewal-missed", reason)
	w.MissedRenewals++
	if w.PresumedEnded {
		t.PutWorker(w)
		t.Count("worker-lost", "left")
		t.Log(part, "worker has left", "", "worker", w.ID, "runs", w.RunCount())
		t.MarkLost(w)
		return
	}
	w.RenewAfter = t.Now.Add(missPause(w))
	t.PutWorker(w)
}

// missPause returns the wait before the next renewal to a worker that did not answer.
func missPause(w chutepool.Worker) time.Duration {
	if w.NeedsLease() {
		return 200 * time.Millisecond
	}
	return min(time.Duration(w.MissedRenewals)*500*time.Millisecond, 3*time.Second)
}

func (t *Transition) renewed(w chutepool.Worker, e chuteaction.LeaseRenewed) {
	if w.Incarnation != 0 && e.Incarnation != 0 && e.Incarnation < w.Incarnation {
		t.PutWorker(w)
		return // a late answer of an earlier incarnation
	}
	if w.Incarnation != 0 && e.Incarnation > w.Incarnation {
		t.IncarnationChanged(w, e.Incarnation)
		w, _ = t.Pool.Get(w.ID)
	}
	if w.MissedRenewals > 0 || !w.Contacted {
		t.Log(part, "worker answers", "", "worker", w.ID, "missed", w.MissedRenewals, "running", len(e.Running), "ended", len(e.Ended))
		t.PlanDue = true
	}
	if e.Incarnation != 0 {
		w.Incarnation = e.Incarnation
	}
	stale := w.Contacted && e.Clock < w.ReportClock // answers may overtake each other
	w.ReportClock = max(w.ReportClock, e.Clock)
	w.Clock = chutepool.Clock{Reading: e.Clock, ReadAt: t.Now}
	w.MissedRenewals, w.Lost = 0, false
	w.AnsweredAt = t.Now
	w.Contacted = true
	t.PutWorker(w)
	t.enterEnds(w.ID, e.Ended)
	if stale {
		return
	}
	t.enterRunning(w.ID, e.Running)
	t.findAbsent(w.ID, e)
}

func (t *Transition) enterEnds(id chutetask.WorkerID, ends []chutetask.RunEnd) {
	for _, end := range ends {
		w, _ := t.Pool.Get(id)
		if end.Number <= w.HandledEnd {
			continue
		}
		w.HandledEnd = end.Number
		t.Unrecorded = t.Unrecorded.Set(id, true)
		t.PutWorker(w)
		t.runEnded(w, end)
	}
}

func (t *Transition) enterRunning(id chutetask.WorkerID, reports []chutetask.RunReport) {
	for _, report := range reports {
		w, r, ok := t.Pool.FindRun(id, report.Run)
		if !ok {
			t.stopUnexpected(id, report)
			continue
		}
		if r.Phase == chutepool.RunOrdered {
			r = r.WithPhase(chutepool.RunStarted, t.Now)
		}
		t.noteProgress(id, r, report.Percent)
		t.PutWorker(w.WithRun(r.WithReport(w.Incarnation, report, t.Now)))
		if !t.expected(id, report.Run) {
			t.StopRun(id, report.Run, "not-expected")
		}
	}
}

// noteProgress learns from a run's progress how fast its worker is.
func (t *Transition) noteProgress(id chutetask.WorkerID, r chutepool.Run, percent int) {
	if r.ProgressReadAt.IsZero() || percent >= 100 || r.Inherited && r.Percent == 0 {
		return
	}
	t.Speeds = t.Speeds.WithProgress(r.ID.Task.StepID, id, float64(percent-r.Percent), t.Now.Sub(r.ProgressReadAt), t.Now)
}

// expected reports whether the run is the one that its task should have at work on the worker.
func (t *Transition) expected(worker chutetask.WorkerID, run chutegraph.RunID) bool {
	j, ok := t.Job(run.Task.Job)
	if !ok || j.Phase == chutetask.PhaseCancelled || j.Phase == chutetask.PhaseFailed {
		return false
	}
	task, ok := j.Task(run.Task)
	if !ok || task.Run != run.Number || task.Worker != worker {
		return false
	}
	ending := task.Phase == chutetask.TaskDone && j.Step(run.Task.StepID).Gang // one member's end stands for all
	return task.Phase == chutetask.TaskActive || ending
}

// stopUnexpected stops a run that nobody should have at work there; until it has ended, it takes room.
func (t *Transition) stopUnexpected(id chutetask.WorkerID, report chutetask.RunReport) {
	w, _ := t.Pool.Get(id)
	r := chutepool.Run{ID: report.Run}
	if j, ok := t.Job(report.Run.Task.Job); ok && report.Run.Task.Step < len(j.Spec.Steps) {
		r.Reserved = j.Step(report.Run.Task.StepID).Reserved()
		r.Priority = j.Priority
	}
	t.Count("run-stopped", "not-expected")
	t.Log(part, "run is stopped that is not expected there", report.Run.Task.Job, "run", report.Run, "worker", id)
	t.OrderStop(w, r.WithPhase(chutepool.RunStopping, t.Now))
}
