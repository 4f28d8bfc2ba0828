package chutemembership

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

const component = "scheduler"

// ApplyListing applies the entry of a worker in the list of workers. The worker wrote the entry's version after the given
// time on the store's clock, which is 0 if nothing is known of it.
func ApplyListing(t *chuterunner.Transition, listing chutepool.Listing, version chuteaction.RowVersion, writtenAfter time.Duration) {
	w, known := t.Pool.Get(listing.ID)
	if known && w.Lost && w.RunCount() == 0 && listing.Incarnation < w.Incarnation && int64(version) > w.ListingVersion {
		w = w.WithIncarnation(0) // a later process after its clock was set back, as the former one is lost
		t.PutWorker(w)
	}
	if w.Incarnation == 0 {
		listing.Incarnation = 0 // unknown until the worker answers, since another writer may have written the entry
	}
	if !known {
		w = chutepool.NewWorker(listing, t.Now).WithHeartbeat(int64(version), writtenAfter)
		t.PutWorker(leavingEarlier(t, w, writtenAfter))
		t.Log(component, "worker listed", "", "worker", w.ID, "zone", w.Zone, "rack", w.Rack, "draining", w.Draining)
		return
	}
	if !applyIncarnation(t, w, listing.Incarnation) {
		return
	}
	w, _ = t.Pool.Get(listing.ID)
	if int64(version) > w.ListingVersion {
		w = w.WithHeartbeat(int64(version), writtenAfter)
		t.PutWorker(w)
	}
	startsDraining := listing.Draining && !w.Draining
	if w.Address != "" && w.Address != listing.Address {
		t.Emit(chuteaction.DisconnectWorker{Worker: w.ID})
	}
	if !w.DiffersFrom(listing) {
		return
	}
	w = w.WithListing(listing, t.Now)
	if startsDraining {
		w = leavingEarlier(t, w, writtenAfter)
	}
	t.PutWorker(w)
	if startsDraining {
		t.Count("worker-draining", "listed")
		t.Log(component, "worker is draining", "", "worker", w.ID, "remains", listing.TimeToLeave, "runs", w.RunCount())
	}
}

// leavingEarlier returns a worker whose entry says for the first time when it may leave. Of an entry of unknown age, that time has
// passed in part: a draining worker writes with each heartbeat how much is left.
func leavingEarlier(t *chuterunner.Transition, w chutepool.Worker, writtenAfter time.Duration) chutepool.Worker {
	if writtenAfter == 0 && !w.LeavesAt.IsZero() {
		w.LeavesAt = w.LeavesAt.Add(-t.Bounds.HeartbeatInterval)
	}
	return w
}

// applyIncarnation applies the incarnation in the entry of a worker, which may show a restart. It reports whether the entry is
// that of the worker's present incarnation.
func applyIncarnation(t *chuterunner.Transition, w chutepool.Worker, incarnation int64) bool {
	switch {
	case incarnation < w.Incarnation: // written before a restart
		return false
	case incarnation > w.Incarnation && w.SetBack: // or that, since the clock was set back; the worker's answers tell
		return false
	case incarnation > w.Incarnation && !mayHaveRestartedAt(w, incarnation, t.Now):
		MarkUnlisted(t, w.ID, RemovalMalformed)
		return false
	case incarnation > w.Incarnation:
		t.ApplyIncarnation(w, incarnation)
	}
	return true
}

// maxStartDeviation is how much later than by its steady clock a worker may say that it has restarted: its clock for the time
// of day may have been set meanwhile.
const maxStartDeviation = 24 * time.Hour

// mayHaveRestartedAt reports whether the present incarnation of a worker, by its steady clock, has lasted long enough for a
// restart at the time. It is true if the worker has not answered yet.
func mayHaveRestartedAt(w chutepool.Worker, incarnation int64, now time.Time) bool {
	if w.Clock.ReadAt.IsZero() {
		return true
	}
	return incarnation-w.Incarnation <= (w.Clock.Now(now) + maxStartDeviation).Milliseconds()
}

// Removal is the way in which a worker's entry disappeared from the list of workers.
type Removal int

// The ways in which an entry disappears.
const (
	RemovalDeleted   Removal = iota // the entry was deleted
	RemovalMissing                  // a complete list does not have the entry
	RemovalMalformed                // the entry names no worker any more, as another writer has changed it
)

var removalNames = []string{"entry-gone", "not-in-list", "malformed"}

// String returns the kebab-case name of the removal.
func (r Removal) String() string {
	if r < RemovalDeleted || r > RemovalMalformed {
		return "invalid"
	}
	return removalNames[r]
}

// MarkUnlisted records that the list of workers no longer names the worker.
func MarkUnlisted(t *chuterunner.Transition, id chutetask.WorkerID, removal Removal) {
	w, ok := t.Pool.Get(id)
	if !ok || !w.Listed {
		return
	}
	w = w.WithUnlisted()
	w.UnlistedAt = t.Now
	w.RenewAfter = t.Now
	w.ReportDue = true
	w.PresumedEnded = removal != RemovalMalformed && hasLeft(t, w)
	t.Log(component, "worker is no longer listed", "", "worker", id, "reason", removal, "runs", w.RunCount(),
		"heartbeat", t.List.StoreClock()-w.HeartbeatAfter, "answered", t.Now.Sub(w.AnsweredAt), "presumed-ended", w.PresumedEnded)
	t.PutWorker(w)
}

// hasLeft reports whether a worker whose entry has disappeared has removed the entry itself at its end. An entry also
// expires after several heartbeats that do not reach the store, while the worker goes on running and may answer orders.
func hasLeft(t *chuterunner.Transition, w chutepool.Worker) bool {
	if w.HeartbeatAfter == 0 || t.List.StoreClock() < w.HeartbeatAfter {
		return false
	}
	silence := t.List.StoreClock() - w.HeartbeatAfter // by the clock of the store, since answers may be late
	return w.Contacted && silence < maxHeartbeatsBeforeLeave*t.Bounds.HeartbeatInterval &&
		t.Now.Sub(t.Environment.ContactSince) > reregistrationTime
}

// reregistrationTime is how long after an outage of the store the entries of live workers may be missing.
const reregistrationTime = 4 * time.Second

// maxHeartbeatsBeforeLeave is the number of heartbeat intervals since a worker's latest heartbeat within which its entry
// cannot have expired. Entries expire after three.
const maxHeartbeatsBeforeLeave = 2
