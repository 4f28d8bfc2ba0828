package chuterunner

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// StopRun begins to stop a run. A run that is only planned is released at once, and one whose row is being written
// stays until the write ends.
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
		return // the scheduler checks the job again after the write
	}
	t.Count("run-stopped", reason)
	t.Log(component, "run is stopped", id.Task.Job, "run", id, "worker", worker, "reason", reason)
	t.OrderStop(w, r.WithPhase(chutepool.RunStopping, t.Now))
}

// OrderStop sends the stop order of a run to its worker.
func (t *Transition) OrderStop(w chutepool.Worker, r chutepool.Run) {
	t.PutWorker(w.WithRun(r.WithOrder().WithAnswerPending(true)))
	t.Emit(chuteaction.StopRun{WorkerTarget: t.Target(w), Run: r.ID})
}

// HandleRunStopped handles the outcome of a stop order.
func (t *Transition) HandleRunStopped(e chuteaction.RunStopped) {
	w, r, ok := t.Pool.FindRun(e.Worker, e.Run)
	if e.Epoch != t.Epoch || !ok || r.Phase != chutepool.RunStopping {
		return
	}
	if e.SentAt.Before(r.PhaseSince) {
		return // the order was to a former incarnation of the worker, and another is in flight or due
	}
	r = r.WithAnswerPending(false)
	switch e.Outcome {
	case chuteaction.OrderAccepted:
		w.RenewAfter = t.Now
		w.ReportDue = true
		t.PutWorker(w.WithRun(r.WithStopAnswered(t.Now)))
	case chuteaction.OrderMisdirected:
		if !w.MayBeReplaced(e.Address) {
			t.repeatStop(w, r, e.Reason)
			return
		}
		t.PutWorker(w.WithRun(r))
		t.MarkReplaced(w.ID)
	case chuteaction.OrderUnknown, chuteaction.OrderUnhealthy, chuteaction.OrderUnreachable, chuteaction.OrderRefused:
		t.Fenced = e.Reason == chuteaction.RefusedFenced
		t.repeatStop(w, r, e.Reason)
	case chuteaction.OrderNotSent:
		t.repeatStop(w, r, e.Reason)
	}
}

// repeatStop schedules the stop order of a run again.
func (t *Transition) repeatStop(w chutepool.Worker, r chutepool.Run, reason chuteaction.RefusalReason) {
	t.Count("stop-repeated", reason.String())
	r.PhaseSince = t.Now
	t.PutWorker(w.WithRun(r))
}
