package chuterunner

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// ApplyListing applies the entry of a worker in the list of workers.
func (t *Transition) ApplyListing(listing chutepool.Listing) {
	w, known := t.Pool.Get(listing.ID)
	if !known {
		w = chutepool.NewWorker(listing, t.Now)
		t.PutWorker(w)
		t.Log(component, "worker listed", "", "worker", w.ID, "zone", w.Zone, "rack", w.Rack, "draining", w.Draining)
		return
	}
	if w.Incarnation != 0 && listing.Incarnation < w.Incarnation {
		return // entry of an earlier incarnation
	}
	if w.Incarnation != 0 && listing.Incarnation > w.Incarnation {
		t.ApplyIncarnation(w, listing.Incarnation)
		w, _ = t.Pool.Get(listing.ID)
	}
	startsDraining := listing.Draining && !w.Draining
	addressChanged := w.Address != "" && w.Address != listing.Address
	if addressChanged {
		t.Emit(chuteaction.DisconnectWorker{Worker: w.ID})
	}
	if !w.DiffersFrom(listing) {
		return
	}
	w = w.WithListing(listing, t.Now)
	t.PutWorker(w)
	if startsDraining {
		t.Count("worker-draining", "listed")
		t.Log(component, "worker is draining", "", "worker", w.ID, "remains", listing.TimeToLeave, "runs", w.RunCount())
	}
}

// MarkUnlisted records that the list of workers no longer names the worker.
func (t *Transition) MarkUnlisted(id chutetask.WorkerID, reason string) {
	w, ok := t.Pool.Get(id)
	if !ok || !w.Listed {
		return
	}
	w = w.WithUnlisted()
	w.RenewAfter = t.Now
	w.PresumedEnded = w.Contacted && t.Now.Sub(w.AnsweredAt) < recentAnswerAge && t.Now.Sub(t.Environment.ContactSince) > reregistrationTime
	t.Log(component, "worker is no longer listed", "", "worker", id, "reason", reason, "runs", w.RunCount(),
		"answered", t.Now.Sub(w.AnsweredAt), "presumed-ended", w.PresumedEnded)
	t.PutWorker(w)
}

// reregistrationTime is how long after an outage of the store the entries of live workers may be missing.
const reregistrationTime = 4 * time.Second

// recentAnswerAge is the age of a worker's latest answer below which its entry cannot have expired for lack of
// heartbeats. A worker that disappears from the list sooner and does not answer again has ended.
const recentAnswerAge = 3 * time.Second
