package chuterunner

import (
	"monsoonchute.example/monsoonchute/chutecrash"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// ApplyIncarnation records that a worker was restarted. The runs that it had have ended, but orders in flight may still
// reach the new incarnation.
func (t *Transition) ApplyIncarnation(w chutepool.Worker, incarnation int64) {
	t.Count("worker-restarted", "new-incarnation")
	t.Log(component, "worker was restarted", "", "worker", w.ID, "runs", w.RunCount(), "incarnation", incarnation,
		"former", w.Incarnation, "ends-handled", w.HandledEnd, "ends-recorded", w.RecordedEnd, "ends-acknowledged", w.AcknowledgedEnd)
	previous := w
	w = w.WithIncarnation(incarnation)
	w.RestartFoundAt = t.Now
	if !previous.EndsAsPlanned(t.Now) {
		w = w.WithCrash(t.Now)
	}
	w.RenewAfter = t.Now
	t.PutWorker(w)
	for _, r := range w.Runs() {
		t.applyRestart(w.ID, r)
	}
	chutecrash.Record(t.Transition, previous, previous.Runs(), true)
	chutecrash.Resolve(t.Transition, w.ID, incarnation)
}

// applyRestart applies a worker's restart to one of its runs. A run that the worker has never reported may have been
// started in the new incarnation, although the answer to its order arrived before the report of the restart. A start
// order without an answer may still reach the new incarnation, which refuses it only once it was told to stop the run,
// whatever the former one was told.
func (t *Transition) applyRestart(id chutetask.WorkerID, r chutepool.Run) {
	switch r.Phase {
	case chutepool.RunStarted:
		if r.StartUnanswered {
			w, _ := t.Pool.Get(id)
			t.AbandonStart(w, r, "worker-restarted")
			return
		}
		if r.Incarnation != 0 {
			t.ReleaseRun(id, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndLost})
			return
		}
		w, _ := t.Pool.Get(id)
		t.PutWorker(w.WithRun(r.WithPhase(chutepool.RunStarted, t.Now)))
	case chutepool.RunStopping:
		if r.Incarnation != 0 && !r.StartUnanswered {
			t.ReleaseRun(id, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndLost})
			return
		}
		w, _ := t.Pool.Get(id)
		t.OrderStop(w, r.WithPhase(chutepool.RunStopping, t.Now))
	case chutepool.RunOrdered, chutepool.RunPlanned, chutepool.RunRecording:
		t.StopRun(id, r.ID, "worker-restarted")
	}
}

// MarkReplaced records that another worker answers at the worker's present address: the worker and all its runs have
// ended. At a former address the answer would say nothing about the worker.
func (t *Transition) MarkReplaced(id chutetask.WorkerID) {
	w, ok := t.Pool.Get(id)
	if !ok {
		return
	}
	t.Count("worker-lost", "replaced")
	t.Log(component, "another worker answers at the address of the worker", "", "worker", id, "address", w.Address, "runs", w.RunCount())
	t.endWorker(w.WithUnlisted(), true)
}

// MarkGone records that no machine has the worker any more: it has ended, and all its runs with it.
func (t *Transition) MarkGone(id chutetask.WorkerID) {
	w, ok := t.Pool.Get(id)
	if !ok {
		return
	}
	t.Count("worker-lost", "no-machine")
	t.Log(component, "worker is lost: no machine has it", "", "worker", id, "runs", w.RunCount(), "draining", w.Draining, "listed", w.Listed,
		"lease-left", w.LeaseExpiryBound.Sub(t.Now))
	t.endWorker(w, true)
}

// MarkLost ends all runs of a worker that can certainly run nothing under its lease any more.
func (t *Transition) MarkLost(w chutepool.Worker) {
	t.endWorker(w, false)
}

// endWorker ends all runs of a worker that can run nothing any more. It has crashed, or may only be unreachable.
func (t *Transition) endWorker(w chutepool.Worker, crashed bool) {
	w.Contacted = false
	w.Lost = true
	w.LostAt = t.Now
	t.PutWorker(w)
	runs := w.Runs()
	for _, r := range runs {
		if r.Phase == chutepool.RunRecording {
			continue // the scheduler finds the worker lost after the write
		}
		t.ReleaseRun(w.ID, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndLost})
	}
	chutecrash.Record(t.Transition, w, runs, crashed)
}
