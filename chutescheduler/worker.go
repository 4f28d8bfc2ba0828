package chutescheduler

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutemembership"
	"monsoonchute.example/monsoonchute/chutetask"
)

// HandleWorkers handles a change of the table of workers. It ignores events of earlier watches.
func (s State) HandleWorkers(t *chuteaction.Transition, environment chuteledger.Environment, e chuteaction.TableChanged) State {
	if s.workersWatch == 0 || e.Watch != s.workersWatch {
		t.Count("watch-event-dropped", e.Table.String())
		return s
	}
	u := s.transition(t, environment)
	writtenAfter := u.List.StoreClock() // changes have been written since the former answer
	if e.Complete {
		writtenAfter = 0
	}
	u.List = u.List.WithAnswer(e, t.Now)
	listed := u.applyWorkerRows(e.Rows, writtenAfter)
	if !e.Complete {
		return u.state()
	}
	u.unlistOthers(listed)
	if !u.hasWorkers {
		u.hasWorkers = true
		u.planner = u.planner.WithWorkersListed(t.Now)
		u.PlanDue = true
		u.Log(component, "worker table read", "", "workers", len(listed))
	}
	return u.state()
}

// applyWorkerRows applies changed rows of the table of workers, which were written after the given time on the store's
// clock, and returns the workers that they list.
func (t *transition) applyWorkerRows(rows []chuteaction.Row, writtenAfter time.Duration) map[chutetask.WorkerID]bool {
	listed := make(map[chutetask.WorkerID]bool)
	for _, r := range rows {
		id := chutetask.WorkerID(r.Key)
		row, ok := r.Value.(chuteaction.WorkerRow)
		t.trackMalformed(id, !ok && !r.Deleted, r.Version)
		if !ok {
			chutemembership.MarkUnlisted(t.Transition, id, removalOf(r))
			continue
		}
		listed[id] = true
		chutemembership.ApplyListing(t.Transition, row.Listing, r.Version, writtenAfter)
	}
	return listed
}

// maxMalformedEntries is the number of entries that are logged as malformed until they change.
const maxMalformedEntries = 1000

// trackMalformed logs an entry that names no worker when it begins to, and not with each of its later versions.
func (t *transition) trackMalformed(id chutetask.WorkerID, malformed bool, version chuteaction.RowVersion) {
	_, known := t.malformed.Get(id)
	switch {
	case !malformed:
		t.malformed = t.malformed.Delete(id)
	case !known && t.malformed.Len() < maxMalformedEntries:
		t.malformed = t.malformed.Set(id, true)
		t.Count("entry-malformed", "worker")
		t.Warn(component, "entry names no worker", "", "key", id, "version", version)
	}
}

// unlistOthers marks all workers as unlisted that a complete answer does not list.
func (t *transition) unlistOthers(listed map[chutetask.WorkerID]bool) {
	for _, w := range t.Pool.All() {
		if w.Listed && !listed[w.ID] {
			chutemembership.MarkUnlisted(t.Transition, w.ID, chutemembership.RemovalMissing)
		}
	}
}

// removalOf returns how a row that names no worker has removed the worker's entry.
func removalOf(r chuteaction.Row) chutemembership.Removal {
	if r.Deleted {
		return chutemembership.RemovalDeleted
	}
	return chutemembership.RemovalMalformed
}
