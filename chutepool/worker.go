package chutepool

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Listing is what the list of workers says of a worker.
type Listing struct {
	ID          chutetask.WorkerID
	Service     string
	Address     string // host:port
	Zone        string
	Rack        string
	Labels      []string
	Capacity    chutecapacity.Resources
	Draining    bool
	TimeToLeave time.Duration // least time until a draining worker leaves
	ColdFor     time.Duration // how much longer it is slow after its start
	Incarnation int64         // start of its process in milliseconds since 1970; differs between incarnations under one id
}

// Worker is the immutable state of one worker.
type Worker struct {
	Listing
	Listed           bool // the list names it
	Contacted        bool // it has answered this scheduler in its present incarnation, so that what it runs is known
	PresumedEnded    bool // the list dropped it so soon after an answer that it must have ended, if it answers no more
	AnsweredAt       time.Time
	ReportClock      time.Duration // reading of its clock in the latest list of what it runs
	Lost             bool          // it did not answer until its lease had run out
	Clock            Clock
	Renewing         bool          // a renewal is on the way
	RenewedAt        time.Time     // when the latest renewal was sent
	ReportDue        bool          // what it runs must be asked at once
	LeavesAt         time.Time     // when a draining worker may leave; zero if it does not drain or has not told
	RenewAfter       time.Time     // no renewal is sent before this moment
	MissedRenewals   int           // renewals without an answer since the latest answer
	LeaseEnd         time.Duration // of the latest lease, on the worker's clock
	LeaseExpiryBound time.Time     // nothing runs there after this moment, unless the lease is renewed
	HandledEnd       int64         // number of the latest end that was handled
	RecordedEnd      int64         // number of the latest end whose consequence is recorded
	AcknowledgedEnd  int64         // number of the latest end that the worker was told to forget
	FailureStreak    int           // runs of different jobs in a row that failed there
	LastFailedJob    chutegraph.JobID
	CooldownUntil    time.Time // nothing is started there before this moment
	ColdUntil        time.Time
	runs             *immutable.SortedMap[chutegraph.RunID, Run]
	reserved         chutecapacity.Resources
	stopping         chutecapacity.Resources // the part of it that is held by runs that are being stopped
}

// Clock relates a worker's clock to this process's.
type Clock struct {
	Reading time.Duration // of the worker's clock
	ReadAt  time.Time     // when the answer with the reading arrived
}

// Now returns the reading of the worker's clock at the moment, at least.
func (c Clock) Now(now time.Time) time.Duration {
	return c.Reading + now.Sub(c.ReadAt)
}

type runOrder struct{}

// Compare orders runs by their ids.
func (runOrder) Compare(a, b chutegraph.RunID) int {
	return a.Compare(b)
}

// NewWorker returns a worker that has not been contacted.
func NewWorker(listing Listing, now time.Time) Worker {
	w := Worker{runs: immutable.NewSortedMap[chutegraph.RunID, Run](runOrder{})}
	return w.WithListing(listing, now)
}

// WithListing returns the worker as the list describes it at the moment.
func (w Worker) WithListing(listing Listing, now time.Time) Worker {
	switch {
	case !listing.Draining || listing.TimeToLeave == 0:
		w.LeavesAt = time.Time{}
	case !w.Draining:
		w.LeavesAt = now.Add(listing.TimeToLeave)
	}
	if listing.Draining && w.Draining {
		listing.TimeToLeave = w.TimeToLeave
	}
	w.Listing = listing
	w.Listed = true
	w.PresumedEnded = false
	if listing.ColdFor > 0 {
		w.ColdUntil = now.Add(listing.ColdFor)
	}
	return w
}

// Differs reports whether the list says anything new of the worker.
func (w Worker) DiffersFrom(l Listing) bool {
	known := w.Listing
	return !w.Listed || known.Service != l.Service || known.Address != l.Address || known.Zone != l.Zone ||
		known.Rack != l.Rack || !slices.Equal(known.Labels, l.Labels) || known.Capacity != l.Capacity ||
		known.Draining != l.Draining || l.ColdFor > 0 || known.Incarnation != l.Incarnation
}

// WithUnlisted returns the worker as one that the list no longer names.
func (w Worker) WithUnlisted() Worker {
	w.Listed = false
	return w
}

// WithIncarnation returns the worker as one that was started anew: nothing is known of what it runs.
func (w Worker) WithIncarnation(incarnation int64) Worker {
	w.Incarnation = incarnation
	w.Contacted, w.Lost = false, false
	w.HandledEnd, w.RecordedEnd, w.AcknowledgedEnd = 0, 0, 0
	w.ReportClock, w.LeaseEnd = 0, 0
	w.FailureStreak = 0
	w.Draining, w.LeavesAt = false, time.Time{}
	return w
}

// Free returns the capacity that no run takes.
func (w Worker) Free() chutecapacity.Resources {
	return w.Capacity.Minus(w.reserved)
}

// Stopping returns the capacity that is held by runs that are being stopped.
func (w Worker) Stopping() chutecapacity.Resources {
	return w.stopping
}

// Run returns the run, and false if the worker has none of the id.
func (w Worker) Run(id chutegraph.RunID) (Run, bool) {
	return w.runs.Get(id)
}

// Runs returns all runs in the order of their ids.
func (w Worker) Runs() []Run {
	runs := make([]Run, 0, w.runs.Len())
	for i := w.runs.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		runs = append(runs, r)
	}
	return runs
}

// RunCount returns how many runs the worker has.
func (w Worker) RunCount() int {
	return w.runs.Len()
}

// WithRun returns the worker with the run added or changed.
func (w Worker) WithRun(run Run) Worker {
	if old, ok := w.runs.Get(run.ID); ok {
		w = w.withoutHeld(old)
	}
	w.reserved = w.reserved.Plus(run.Reserved)
	if run.Phase == RunStopping {
		w.stopping = w.stopping.Plus(run.Reserved)
	}
	w.runs = w.runs.Set(run.ID, run)
	return w
}

// WithoutRun returns the worker without the run.
func (w Worker) WithoutRun(id chutegraph.RunID) Worker {
	old, ok := w.runs.Get(id)
	if !ok {
		return w
	}
	w = w.withoutHeld(old)
	w.runs = w.runs.Delete(id)
	return w
}

// withoutHeld returns the worker without what the run holds.
func (w Worker) withoutHeld(run Run) Worker {
	w.reserved = w.reserved.Minus(run.Reserved)
	if run.Phase == RunStopping {
		w.stopping = w.stopping.Minus(run.Reserved)
	}
	return w
}

// Working reports whether any run may be at work there, so that its lease must be renewed.
func (w Worker) NeedsLease() bool {
	for i := w.runs.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		if r.Phase >= RunOrdered {
			return true
		}
	}
	return false
}

// Usable reports whether new runs may be placed there at the moment.
func (w Worker) Usable(now time.Time) bool {
	return w.Listed && w.Contacted && !w.Draining && w.MissedRenewals == 0 && !now.Before(w.CooldownUntil)
}

// HasLabel reports whether the worker has the label.
func (w Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}
