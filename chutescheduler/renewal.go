package chutescheduler

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteplanner"
	"monsoonchute.example/monsoonchute/chutepool"
)

const (
	// renewalPollTimeout is how long a worker may hold a renewal open until one of its runs ends.
	renewalPollTimeout = 2 * time.Second
	// mixedRenewalPollTimeout replaces renewalPollTimeout on workers where best-effort tasks may slow down serving tasks.
	mixedRenewalPollTimeout = 800 * time.Millisecond
	// maxRenewalAge is the age of the latest renewal that makes the next due despite unrecorded effects of ended runs.
	maxRenewalAge = 1500 * time.Millisecond
)

// renewIfDue renews the worker's lease if anything may run there. A renewal also fetches and acknowledges ended runs,
// and is sent for these alone where nothing runs, as well as to learn whether a worker that did not answer is back.
func (t *transition) renewIfDue(w chutepool.Worker) {
	if w.Address == "" || t.Now.Before(w.RenewAfter) || w.Renewing && !w.ReportDue {
		return
	}
	working := w.NeedsLease()
	unrecorded := w.HandledEnd > w.RecordedEnd
	switch {
	case !w.Contacted && (w.Listed || w.RunCount() > 0):
		t.renew(w, 0)
	case w.ReportDue:
		t.renew(w, 0)
	case unrecorded && t.Now.Sub(w.RenewedAt) < maxRenewalAge:
	case working && (unrecorded || w.MissedRenewals > 0):
		t.renew(w, 0)
	case working && chuteplanner.SharedWithBestEffort(t.Transition, w):
		t.renew(w, mixedRenewalPollTimeout)
	case working:
		t.renew(w, renewalPollTimeout)
	case w.AcknowledgedEnd < w.RecordedEnd:
		t.renew(w, 0)
	case w.MissedRenewals > 0 && w.Listed:
		t.renew(w, 0)
	}
}

func (t *transition) renew(w chutepool.Worker, pollTimeout time.Duration) {
	leaseEnd := time.Duration(0)
	if w.Contacted {
		w = t.ExtendLease(w)
		leaseEnd = w.LeaseEnd
	}
	w.Renewing = true
	w.ReportDue = false
	w.RenewedAt = t.Now
	acknowledged := dueAcknowledgement(w)
	w.AcknowledgedEnd = max(w.AcknowledgedEnd, acknowledged)
	t.PutWorker(w)
	t.Emit(chuteaction.RenewLease{WorkerTarget: t.Target(w), LeaseEnd: leaseEnd, AcknowledgedEnd: acknowledged, PollTimeout: pollTimeout})
}

// dueAcknowledgement returns the number up to which the worker may delete its ended runs, or 0 if it has been told
// already. A worker that does not answer may have restarted and counts its ends anew, so that it is told nothing.
func dueAcknowledgement(w chutepool.Worker) int64 {
	if !w.Contacted || w.MissedRenewals > 0 || w.AcknowledgedEnd >= w.RecordedEnd {
		return 0
	}
	return w.RecordedEnd
}
