package chutescheduler

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecrash"
	"monsoonchute.example/monsoonchute/chutehandover"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutemembership"
	"monsoonchute.example/monsoonchute/chutepool"
)

const (
	// ticksPerCheck is the number of ticks in which every worker is checked once.
	ticksPerCheck = 3
	// stopRetryInterval is the delay before a failed stop order, or one without an answer, is repeated.
	stopRetryInterval = 300 * time.Millisecond
)

// Tick starts due occurrences, checks some workers, advances maintenance waves and runs a planning pass if one is due.
func (s State) Tick(t *chuteaction.Transition, environment chuteledger.Environment) State {
	u := s.transition(t, environment)
	if !u.Ready() {
		return u.state()
	}
	u.startDueOccurrences()
	u.JudgeCrashes()
	u.ticks++
	var concerning []chutepool.Worker
	for i, w := range u.Pool.All() {
		if (i+u.ticks)%ticksPerCheck == 0 {
			u.checkWorker(w)
		}
		if chutehandover.Concerns(u.Transition, w) {
			concerning = append(concerning, w)
		}
	}
	u.machineLists = u.machineLists.Tick(u.Transition, concerning)
	u.handover = u.handover.Tick(u.Transition, concerning)
	u.FinalLeases = u.handover.NotExtended()
	u.countJobs()
	u.recording = u.recording.WithTime(u.Now)
	u.waves = u.waves.Tick(u.Transition)
	u.planner = u.planner.Plan(u.Transition)
	return u.state()
}

// Advance runs a planning pass if something has changed since the latest one.
func (s State) Advance(t *chuteaction.Transition, environment chuteledger.Environment) State {
	u := s.transition(t, environment)
	if u.Ready() && u.PlanDue {
		u.planner = u.planner.Plan(u.Transition)
	}
	return u.state()
}

// startDueOccurrences creates the tasks of the occurrences whose start time has passed.
func (t *transition) startDueOccurrences() {
	unixTime := time.Duration(t.Now.UnixNano())
	for i := t.timed.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		j, ok := t.Live.Get(id)
		if !ok {
			t.timed = t.timed.Delete(id)
			continue
		}
		changed := false
		for k := range j.Occurrences {
			if !j.Begun(k) && j.Spec.Due(k) <= unixTime {
				j = j.WithOccurrenceBegun(k)
				changed = true
			}
		}
		if changed {
			t.PutRecordedJob(j)
			t.PlanDue = true
		}
	}
}

// checkWorker handles an expired lease, drops an unlisted worker without runs, and sends due stop orders and renewals.
func (t *transition) checkWorker(w chutepool.Worker) {
	if !w.Lost && w.RunCount() > 0 && t.leaseExpired(w) {
		t.Count("worker-lost", "lease-over")
		t.Warn(component, "worker is lost: its lease expired without an answer", "", "worker", w.ID, "missed", w.MissedRenewals, "runs", w.RunCount())
		t.MarkLost(w)
		w, _ = t.Pool.Get(w.ID)
	}
	if t.forgettable(w) {
		t.Pool = t.Pool.Without(w.ID)
		t.Speeds = t.Speeds.WithoutWorker(w.ID)
		t.Emit(chuteaction.DisconnectWorker{Worker: w.ID})
		return
	}
	chutemembership.StopBeforeLeave(t.Transition, w)
	w, _ = t.Pool.Get(w.ID)
	chutecrash.EndProbations(t.Transition.Transition, w)
	w, _ = t.Pool.Get(w.ID)
	t.repeatOrders(w)
	w, _ = t.Pool.Get(w.ID)
	t.renewIfDue(w)
}

// repeatOrders sends the worker's start orders that were not sent and its stop orders that are due again.
func (t *transition) repeatOrders(listed chutepool.Worker) {
	for _, run := range listed.Runs() {
		w, r, ok := t.Pool.FindRun(listed.ID, run.ID)
		switch {
		case !ok:
		case r.Phase == chutepool.RunOrdered && r.StartNotSent:
			t.RepeatUnsentStart(w, r)
		case r.Phase == chutepool.RunStopping && !r.AnswerPending && r.StopAnsweredAt.IsZero() && t.Now.Sub(r.PhaseSince) >= stopRetryInterval:
			t.OrderStop(w, r)
		}
	}
}

// forgettable reports whether nothing is left to do for a worker that is no longer listed.
func (t *transition) forgettable(w chutepool.Worker) bool {
	acknowledged := w.AcknowledgedEnd >= w.RecordedEnd || w.MissedRenewals > 0
	return !w.Listed && !w.Renewing && w.RunCount() == 0 && acknowledged && w.HandledEnd == w.RecordedEnd
}

// leaseExpired reports whether nothing can run on the worker any more, since its lease expired before it was reached.
func (t *transition) leaseExpired(w chutepool.Worker) bool {
	return w.MissedRenewals > 0 && t.Now.After(w.LeaseExpiryBound) || !w.Listed && !w.Contacted && t.Now.After(w.LeaseExpiryBound)
}
