package chutestarvation

import (
	"time"

	"monsoonchute.example/monsoonchute/chutecandidate"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteplacement"
)

const (
	// maxStanding is how long a job of which nothing runs stands beside capacity that is kept for others before it may use it.
	maxStanding = 2 * time.Second
	// searchInterval is the shortest time between two searches for such jobs.
	searchInterval = 250 * time.Millisecond
	// maxSteps is the largest number of steps that a search finds.
	maxSteps = 64
)

// State are the steps that would start if nothing were kept for others (reserved for a gang, in a rack, or on workers that are
// emptied), while nothing of their jobs runs or their tasks last. It is immutable.
type State struct {
	foundAt time.Time                       // time of the latest search; zero while nothing is kept
	since   map[chutegraph.StepID]time.Time // since when each has stood; never changed once stored
	missed  map[chutegraph.StepID]bool      // those that the latest search did not find, for the first time; never changed once stored
	anyRack bool                            // the workers are so empty that those which stand may use any rack
}

// Overdue reports whether the step has stood for so long that it may use what is kept for others.
func (s State) Overdue(id chutegraph.StepID, now time.Time) bool {
	since, stands := s.since[id]
	return stands && now.Sub(since) >= maxStanding
}

// AnyRack reports whether the workers are so empty that steps which stand may use any rack.
func (s State) AnyRack() bool {
	return s.anyRack
}

// Next returns the state after a pass, and searches now and then for the steps that stand. Nothing stands while nothing is kept for
// others. The function returns the demands that may stand.
func (s State) Next(t *chuteledger.Transition, kept bool, mayStand func() []chutedemand.Demand) State {
	if !kept {
		return State{}
	}
	if t.Now.Sub(s.foundAt) < searchInterval {
		return s
	}
	workers := chutecandidate.Usable(t, nil)
	next := State{
		foundAt: t.Now, since: make(map[chutegraph.StepID]time.Time), missed: make(map[chutegraph.StepID]bool), anyRack: underHalfUsed(workers),
	}
	view := chuteplacement.View{Workers: workers, Demands: mayStand()}
	for _, id := range chuteplacement.Fitting(view, next.anyRack, maxSteps) {
		next.since[id] = t.Now
		if since, stands := s.since[id]; stands {
			next.since[id] = since
		}
	}
	// A step that one search misses keeps its wait, since runs that start or end take room for a moment.
	for id, since := range s.since {
		if _, again := next.since[id]; !again && !s.missed[id] {
			next.since[id], next.missed[id] = since, true
		}
	}
	return next
}

// underHalfUsed reports whether less than half of each resource of the workers is in use. A gang waits for a rack, in which it
// runs faster, only while others need the rest.
func underHalfUsed(workers []chuteplacement.Worker) bool {
	var free, capacity chutecapacity.Resources
	for _, w := range workers {
		free, capacity = free.Plus(w.Free), capacity.Plus(w.Capacity)
	}
	return capacity.Fits(free.Times(2))
}
