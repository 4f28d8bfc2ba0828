package chuterenewal

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecrash"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
)

// Handle handles the outcome of a lease renewal.
func Handle(t *chuterunner.Transition, e chuteaction.LeaseRenewed) {
	w, ok := t.Pool.Get(e.Worker)
	if e.Epoch != t.Epoch || !ok {
		return
	}
	w.Renewing = false
	if e.Outcome == chuteaction.OrderUnknown && w.Contacted && e.SentAt.Before(w.AnsweredAt) {
		t.PutWorker(w) // the worker has answered since
		return
	}
	switch e.Outcome {
	case chuteaction.OrderAccepted:
		applyRenewal(t, w, e)
	case chuteaction.OrderMisdirected:
		if !w.MayBeReplaced(e.Address) {
			applyMissedRenewal(t, w, e, "former-address")
			return
		}
		t.PutWorker(w)
		t.MarkReplaced(w.ID)
	case chuteaction.OrderRefused:
		t.Fenced = e.Reason == chuteaction.RefusedFenced
		w.PresumedEnded = false
		applyMissedRenewal(t, w, e, e.Reason.String())
	case chuteaction.OrderUnhealthy:
		w.PresumedEnded = false
		applyMissedRenewal(t, w, e, "unhealthy")
	case chuteaction.OrderUnreachable:
		applyMissedRenewal(t, w, e, "unreachable")
	case chuteaction.OrderUnknown:
		applyMissedRenewal(t, w, e, "no-answer")
	case chuteaction.OrderNotSent:
		w.ReportDue = true
		w.RenewAfter = t.Now.Add(unsentRenewalDelay)
		t.PutWorker(w)
	}
}

// applyMissedRenewal schedules the next renewal after one that failed, or marks the worker lost if it is presumed to have
// ended.
func applyMissedRenewal(t *chuterunner.Transition, w chutepool.Worker, e chuteaction.LeaseRenewed, reason string) {
	if w.MissedRenewals == 0 {
		t.Log(component, "worker does not answer renewals", "", "worker", w.ID, "reason", reason, "runs", w.RunCount(),
			"lease-left", w.LeaseExpiryBound.Sub(t.Now))
	}
	t.Count("renewal-missed", reason)
	w.MissedRenewals++
	if w.PresumedEnded && !e.SentAt.Before(w.UnlistedAt) {
		t.PutWorker(w)
		t.Count("worker-lost", "left")
		t.Log(component, "worker is lost: it left the list and does not answer", "", "worker", w.ID, "runs", w.RunCount())
		t.MarkLost(w)
		return
	}
	w.RenewAfter = t.Now.Add(renewalRetryDelay(w))
	t.PutWorker(w)
}

// unsentRenewalDelay is the wait before the next renewal after one that was not sent.
const unsentRenewalDelay = 100 * time.Millisecond

// renewalRetryDelay returns the wait before the next renewal for a worker that did not answer.
func renewalRetryDelay(w chutepool.Worker) time.Duration {
	if w.NeedsLease() {
		return 200 * time.Millisecond
	}
	return min(time.Duration(w.MissedRenewals)*500*time.Millisecond, 3*time.Second)
}

// applyRenewal applies the worker's report in its answer to a renewal.
func applyRenewal(t *chuterunner.Transition, w chutepool.Worker, e chuteaction.LeaseRenewed) {
	switch originOf(w, e) {
	case sameProcess:
	case earlierProcess:
		t.PutWorker(w)
		return
	case laterProcess:
		t.ApplyIncarnation(w, e.Incarnation)
		w, _ = t.Pool.Get(w.ID)
	case refutedProcess:
		w = refuteIncarnation(t, w, e.Incarnation)
	}
	if w.MissedRenewals > 0 || !w.Contacted {
		t.Log(component, "worker answers renewals", "", "worker", w.ID, "missed", w.MissedRenewals, "running", len(e.Running), "ended", len(e.Ended))
		t.PlanDue = true
	}
	if !w.Contacted && w.AnsweredAt.IsZero() {
		chutecrash.NoteRestartBefore(t.Transition, w, e.Incarnation, e.Clock)
	}
	stale := w.Contacted && e.Clock < w.ReportClock // answers may arrive out of order
	w = w.WithRenewalAnswer(e.Incarnation, e.Clock, t.Now)
	w.AnsweredFrom = e.Address
	if w.LeaseExpiryBound.IsZero() { // orders of an earlier scheduler, or from before it was forgotten, may have set a lease
		w.LeaseExpiryBound, w.LeaseExtendedAt = t.Now.Add(t.Bounds.LongestLease()), t.Now
	}
	t.PutWorker(w)
	if !e.SentAt.Before(w.LostAt) {
		chutecrash.Resolve(t.Transition, w.ID, w.Incarnation)
	}
	applyEnds(t, w.ID, e.Ended)
	if stale {
		return
	}
	applyReports(t, w.ID, e.Running)
	endAbsentRuns(t, w.ID, e)
}

// origin is the process of a worker that has given an answer, compared with the one that is known.
type origin int

const (
	sameProcess    origin = iota // the known one, or an unknown one where none is known
	earlierProcess               // an earlier one, so that the answer is late
	laterProcess                 // a later one: the worker has restarted
	refutedProcess               // one that is still there, although an entry told of a restart since
)

// originOf returns which process of the worker has given the answer. Processes are numbered by the time of day of their start. Where
// that was set back, the worker's steady clock tells which process started later; an answer that it says nothing of counts as late.
func originOf(w chutepool.Worker, e chuteaction.LeaseRenewed) origin {
	later := e.Clock > 0 && !w.StartedBefore.IsZero() && chutepool.StartedAfter(e.SentAt, e.Clock).After(w.StartedBefore)
	switch {
	case w.Incarnation == 0 || e.Incarnation == 0 || e.Incarnation == w.Incarnation:
		return sameProcess
	case e.Incarnation > w.Incarnation && !w.SetBack, later:
		return laterProcess
	case e.Incarnation > w.Incarnation || w.Contacted || !e.SentAt.After(w.RestartFoundAt):
		return earlierProcess
	}
	return refutedProcess
}

// refuteIncarnation records that a worker has not restarted, although its entry said so: asked after that, it answers as its
// former incarnation.
func refuteIncarnation(t *chuterunner.Transition, w chutepool.Worker, incarnation int64) chutepool.Worker {
	t.Count("worker-restarted", "refuted")
	t.Warn(component, "worker has not restarted, although its entry said so", "", "worker", w.ID, "incarnation", incarnation, "entry", w.Incarnation)
	chutecrash.Withdraw(t.Transition, w.ID, incarnation)
	draining, leavesAt := w.Draining, w.LeavesAt
	w = w.WithIncarnation(incarnation)
	w.Draining, w.LeavesAt, w.SetBack = draining, leavesAt, false
	return w
}
