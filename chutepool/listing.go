package chutepool

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Listing is the entry of a worker in the list of workers.
type Listing struct {
	ID          chutetask.WorkerID
	Service     string
	Address     string // host:port
	Zone        string
	Rack        string
	Labels      []string
	Capacity    chutecapacity.Resources
	Draining    bool
	TimeToLeave time.Duration // shortest time until a draining worker leaves; 0 if unknown
	ColdFor     time.Duration // remaining time for which it is slow after its start
	Incarnation int64         // start of its process in milliseconds since 1970; tells processes with the same id apart; 0 if unknown
}

// WithListing returns the worker with its present entry in the list of workers. The time until a draining worker leaves
// counts from the first entry that says so.
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

// WithHeartbeat returns the worker after a heartbeat, which wrote the version of its entry after the given time on the
// store's clock.
func (w Worker) WithHeartbeat(version int64, writtenAfter time.Duration) Worker {
	w.ListingVersion = version
	w.HeartbeatAfter = writtenAfter
	return w
}

// DiffersFrom reports whether the entry in the list says anything new about the worker.
func (w Worker) DiffersFrom(l Listing) bool {
	known := w.Listing
	return !w.Listed || known.Service != l.Service || known.Address != l.Address || known.Zone != l.Zone ||
		known.Rack != l.Rack || !slices.Equal(known.Labels, l.Labels) || known.Capacity != l.Capacity ||
		known.Draining != l.Draining || l.ColdFor > 0 || known.Incarnation != l.Incarnation
}

// WithUnlisted returns the worker as one without an entry in the list of workers.
func (w Worker) WithUnlisted() Worker {
	w.Listed = false
	return w
}
