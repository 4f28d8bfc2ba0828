package chuterunner

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// WorkerListed enters what the list says of a worker.
func (t *Transition) ApplyListing(listing chutepool.Listing) {
	w, known := t.Pool.Get(listing.ID)
	if !known {
		w = chutepool.NewWorker(listing, t.Now)
		t.PutWorker(w)
		t.Log(part, "worker listed", "", "worker", w.ID, "zone", w.Zone, "rack", w.Rack, "draining", w.Draining)
		return
	}
	if w.Incarnation != 0 && listing.Incarnation < w.Incarnation {
		return // news of an earlier incarnation
	}
	if w.Incarnation != 0 && listing.Incarnation > w.Incarnation {
		t.IncarnationChanged(w, listing.Incarnation)
		w, _ = t.Pool.Get(listing.ID)
	}
	drains := listing.Draining && !w.Draining
	moved := w.Address != "" && w.Address != listing.Address
	if moved {
		t.Emit(chuteaction.DisconnectWorker{Worker: w.ID})
	}
	if !w.DiffersFrom(listing) {
		return
	}
	w = w.WithListing(listing, t.Now)
	t.PutWorker(w)
	if drains {
		t.Count("worker-draining", "listed")
		t.Log(part, "worker is draining", "", "worker", w.ID, "remains", listing.TimeToLeave, "runs", w.RunCount())
	}
}

// Unlisted enters that the list no longer names a worker.
func (t *Transition) MarkUnlisted(id chutetask.WorkerID, reason string) {
	w, ok := t.Pool.Get(id)
	if !ok || !w.Listed {
		return
	}
	t.Log(part, "worker is listed no longer", "", "worker", id, "reason", reason, "runs", w.RunCount())
	w = w.WithUnlisted()
	w.RenewAfter = t.Now
	w.PresumedEnded = w.Contacted && t.Now.Sub(w.AnsweredAt) < leftLimit && t.Now.Sub(t.Environment.ContactSince) > lapseTime
	t.PutWorker(w)
}

// lapseTime is how long after a gap of the store entries of workers that live may be missing.
const lapseTime = 4 * time.Second

// leftLimit is the age of a worker's latest answer under which its entry cannot have lapsed by silence: a worker that
// vanishes from the list so soon, and answers no more, has left.
const leftLimit = 3 * time.Second
