package chutepool

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
)

// Worker is the immutable state of one worker.
type Worker struct {
	Listing
	Listed           bool          // it has an entry in the list of workers
	Contacted        bool          // its present incarnation has answered this scheduler, so that its runs are known
	PresumedEnded    bool          // it removed its entry itself, so that a missed renewal means that it has ended
	UnlistedAt       time.Time     // when its entry last disappeared; zero before
	ListingVersion   int64         // version of its entry in the list of workers; it increases with each heartbeat
	HeartbeatAfter   time.Duration // the worker wrote that version after this time on the store's clock; 0 if unknown
	KnownSince       time.Time     // when this scheduler first heard of it
	AnsweredAt       time.Time
	AnsweredFrom     string        // address at which its present incarnation has answered a renewal; empty if none
	ReportClock      time.Duration // the worker's clock in its latest report of its runs
	Lost             bool          // it did not answer before its lease expired, or has ended
	LostAt           time.Time     // when it was last found lost; zero if never
	Clock            Clock
	Renewing         bool             // a renewal has no answer yet
	RenewedAt        time.Time        // when the latest renewal was sent
	ReportDue        bool             // the scheduler must request a report of its runs at once
	LeavesAt         time.Time        // when a draining worker may leave; zero if it isn't draining or the time is unknown
	RenewAfter       time.Time        // no renewal is sent before this time
	MissedRenewals   int              // number of unanswered renewals since the latest answer
	LeaseEnd         time.Duration    // end of the latest lease on the worker's clock
	LeaseExpiryBound time.Time        // nothing runs there after this time unless the lease is renewed
	LeaseExtendedAt  time.Time        // when that time was last put off; zero if never
	HandledEnd       int64            // number of the latest run end that was handled
	RecordedEnd      int64            // number of the latest run end whose effect is recorded
	AcknowledgedEnd  int64            // number of the latest run end that the worker may delete
	FailureStreak    int              // number of runs of different jobs that failed there in a row
	RefusalStreak    int              // refused starts in a row for the runs' own sake; those that were ordered together count once
	RefusedAt        time.Time        // latest such refusal that counts
	LastFailedJob    chutegraph.JobID // job of the latest failure in the streak
	CooldownUntil    time.Time        // nothing is started there before this time
	ColdUntil        time.Time        // it is slow after its start until this time
	CrashedAt        time.Time        // when it was last found to have crashed; zero if never
	RestartFoundAt   time.Time        // when its present incarnation became known; zero for the first
	Maintained       bool             // the maintenance of its machine was ordered, which ends it
	RestartSeen      bool             // its clock shows a restart that its incarnation does not show yet
	StartedBefore    time.Time        // its present process had started by then, by its steady clock; zero if unknown
	SetBack          bool             // its present process says that it has started earlier than the one before: its clock was set
	runs             *immutable.SortedMap[chutegraph.RunID, Run]
	quarantined      int // number of runs in quarantine
	reserved         chutecapacity.Resources
	stopping         chutecapacity.Resources // the part of reserved that belongs to runs that are being stopped
	use              []WorkspaceUse          // what its runs request, by workspace; never modified
}

// Clock relates the clock of a worker to that of this process.
type Clock struct {
	Reading time.Duration // of the worker's clock
	ReadAt  time.Time     // when the answer with the reading arrived
}

// Now returns a lower bound of the worker's clock at the given time. It lags by the time that the answer took to arrive.
func (c Clock) Now(now time.Time) time.Duration {
	return c.Reading + now.Sub(c.ReadAt)
}

// maxDrift is the share by which a worker's clock may run fast or slow, with a margin.
const maxDrift = 0.03

// startedBefore returns a time by which the clock's process had certainly started.
func (c Clock) startedBefore() time.Time {
	return c.ReadAt.Add(-time.Duration(float64(c.Reading) / (1 + maxDrift)))
}

// StartedAfter returns a time after which a process has certainly started whose clock had the reading when it answered a request of
// the given time.
func StartedAfter(sentAt time.Time, reading time.Duration) time.Time {
	return sentAt.Add(-time.Duration(float64(reading) * (1 + maxDrift)))
}

// NewWorker returns a worker that has not been contacted.
func NewWorker(listing Listing, now time.Time) Worker {
	w := Worker{KnownSince: now, runs: immutable.NewSortedMap[chutegraph.RunID, Run](runOrder{})}
	return w.WithListing(listing, now)
}

// WithIncarnation returns the worker after a restart of its process: what it runs is unknown.
func (w Worker) WithIncarnation(incarnation int64) Worker {
	w.SetBack = incarnation < w.Incarnation
	w.StartedBefore = time.Time{}
	w.Incarnation = incarnation
	w.Contacted, w.Lost, w.RestartSeen = false, false, false
	w.HandledEnd, w.RecordedEnd, w.AcknowledgedEnd = 0, 0, 0
	w.ReportClock, w.LeaseEnd = 0, 0
	w.AnsweredFrom = ""
	w.FailureStreak, w.RefusalStreak = 0, 0
	w.Draining, w.LeavesAt, w.Maintained = false, time.Time{}, false
	for _, r := range w.Runs() {
		r.AfterRestart = false
		w = w.WithRun(r)
	}
	return w
}

// WithMaintenance returns the worker after the maintenance of its machine was ordered, or was not begun.
func (w Worker) WithMaintenance(ordered bool) Worker {
	w.Maintained = ordered
	return w
}

// EndsAsPlanned reports whether its end now is no crash: its machine goes down for maintenance, or it drains and may leave.
func (w Worker) EndsAsPlanned(now time.Time) bool {
	return w.Maintained || w.Draining && !now.Before(w.LeavesAt)
}

// WithUnknownIncarnation returns the worker as an incarnation of it of which nothing else is known.
func (w Worker) WithUnknownIncarnation() Worker {
	w.Incarnation = 0
	return w
}

// WithCrash returns the worker after it was found to have crashed.
func (w Worker) WithCrash(now time.Time) Worker {
	w.CrashedAt = now
	return w
}

// WithRenewalAnswer returns the worker after an answer to a renewal from the incarnation, which is 0 if unknown, with the
// reading of its clock.
func (w Worker) WithRenewalAnswer(incarnation int64, clock time.Duration, now time.Time) Worker {
	if incarnation != 0 {
		w.Incarnation = incarnation
	}
	w.ReportClock = max(w.ReportClock, clock)
	w.Clock = Clock{Reading: clock, ReadAt: now}
	if started := w.Clock.startedBefore(); clock > 0 && (w.StartedBefore.IsZero() || started.Before(w.StartedBefore)) {
		w.StartedBefore = started
	}
	w.MissedRenewals, w.Lost, w.PresumedEnded = 0, false, false
	w.RestartSeen = false
	w.AnsweredAt = now
	w.Contacted = true
	return w
}

// WithRefusal returns the worker after it has refused, for the run's own sake, a start that was ordered at the time.
func (w Worker) WithRefusal(orderedAt, now time.Time) Worker {
	if orderedAt.After(w.RefusedAt) {
		w.RefusalStreak++
		w.RefusedAt = now
	}
	return w
}

// MayBeReplaced reports whether another worker's answer at the address shows that this one has ended. It does not where this one
// was never reached: the entry has changed, or another writer wrote it.
func (w Worker) MayBeReplaced(address string) bool {
	return address == w.Address && (w.AnsweredFrom == "" || address == w.AnsweredFrom)
}

// Usable reports whether new runs may be placed on the worker now.
func (w Worker) Usable(now time.Time) bool {
	return w.Listed && w.Contacted && !w.Draining && w.MissedRenewals == 0 && !now.Before(w.CooldownUntil)
}

// HasLabel reports whether the worker has the label; an empty label matches every worker.
func (w Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}
