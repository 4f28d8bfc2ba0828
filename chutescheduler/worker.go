package chutescheduler

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterun"
	"monsoonchute.example/monsoonchute/chuterunner"
)

// Workers takes news of the list of workers.
func (s State) Workers(t *chuteaction.Turn, environment chuterunner.Environment, e chuteaction.TableChanged) State {
	u := s.turn(t, environment)
	present := make(map[chuterun.WorkerID]bool)
	for _, r := range e.Rows {
		id := chuterun.WorkerID(r.Key)
		row, ok := r.Value.(chuteaction.WorkerRow)
		if !ok {
			u.unlisted(id, "entry-gone")
			continue
		}
		present[id] = true
		u.listed(row.Listing)
	}
	if !e.Whole {
		return u.state()
	}
	for _, w := range u.Pool.All() {
		if w.Listed && !present[w.ID] {
			u.unlisted(w.ID, "not-in-list")
		}
	}
	if !u.hasPool {
		u.hasPool = true
		u.planner = u.planner.WithWorkersListed(t.Now)
		u.PlanDue = true
		u.Log(part, "workers read", "", "workers", len(present))
	}
	return u.state()
}

func (t *turn) listed(listing chutepool.Listing) {
	w, known := t.Pool.Get(listing.ID)
	if !known {
		w = chutepool.NewWorker(listing, t.Now)
		t.PutWorker(w)
		t.Log(part, "worker listed", "", "worker", w.ID, "zone", w.Zone, "rack", w.Rack, "draining", w.Draining)
		return
	}
	if w.Life != 0 && listing.Life < w.Life {
		return // news of an earlier life
	}
	if w.Life != 0 && listing.Life > w.Life {
		t.LifeBegan(w, listing.Life)
		w, _ = t.Pool.Get(listing.ID)
	}
	drains := listing.Draining && !w.Draining
	moved := w.Address != "" && w.Address != listing.Address
	if moved {
		t.Emit(chuteaction.ForgetWorker{Worker: w.ID})
	}
	if !w.Differs(listing) {
		return
	}
	w = w.WithListing(listing, t.Now)
	t.PutWorker(w)
	if drains {
		t.Count("worker-draining", "listed")
		t.Log(part, "worker is draining", "", "worker", w.ID, "remains", listing.Remains, "runs", w.RunCount())
	}
}

func (t *turn) unlisted(id chuterun.WorkerID, reason string) {
	w, ok := t.Pool.Get(id)
	if !ok || !w.Listed {
		return
	}
	t.Log(part, "worker is listed no longer", "", "worker", id, "reason", reason, "runs", w.RunCount())
	w = w.WithUnlisted()
	w.HoldAfter = t.Now
	w.Left = w.Greeted && t.Now.Sub(w.AnsweredAt) < leftLimit && t.Now.Sub(t.Environment.SteadyAt) > lapseTime
	t.PutWorker(w)
}

// lapseTime is how long after a gap of the store entries of workers that live may be missing.
const lapseTime = 4 * time.Second

// leftLimit is the age of a worker's latest answer under which its entry cannot have lapsed by silence: a worker that
// vanishes from the list so soon, and answers no more, has left.
const leftLimit = 3 * time.Second
