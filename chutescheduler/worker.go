package chutescheduler

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// HandleWorkers handles a change of the table of workers.
func (s State) HandleWorkers(t *chuteaction.Transition, environment chuterunner.Environment, e chuteaction.TableChanged) State {
	u := s.transition(t, environment)
	present := make(map[chutetask.WorkerID]bool)
	for _, r := range e.Rows {
		id := chutetask.WorkerID(r.Key)
		row, ok := r.Value.(chuteaction.WorkerRow)
		if !ok {
			u.MarkUnlisted(id, "entry-gone")
			continue
		}
		present[id] = true
		u.ApplyListing(row.Listing)
	}
	if !e.Complete {
		return u.state()
	}
	for _, w := range u.Pool.All() {
		if w.Listed && !present[w.ID] {
			u.MarkUnlisted(w.ID, "not-in-list")
		}
	}
	if !u.hasWorkers {
		u.hasWorkers = true
		u.planner = u.planner.WithWorkersListed(t.Now)
		u.PlanDue = true
		u.Log(component, "worker table read", "", "workers", len(present))
	}
	return u.state()
}
