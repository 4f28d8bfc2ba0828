package chuteplanner

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteplacement"
)

// minReservationWait is the shortest wait of a gang after which capacity is reserved for it.
const minReservationWait = 4 * time.Second

const (
	// reservationHold is how long a job of which nothing runs stands beside reserved capacity before it may use it.
	reservationHold = 2 * time.Second
	// standingInterval is the shortest time between two searches for such jobs.
	standingInterval = 250 * time.Millisecond
)

// standing are the steps of jobs of which nothing runs that wait while capacity is reserved for others.
type standing struct {
	foundAt time.Time                       // time of the latest search; zero while no capacity is reserved
	since   map[chutegraph.StepID]time.Time // never changed once stored
}

// updateWaiting records since when each gang waits, and marks the gangs that have waited long enough for a reservation:
// without one, small tasks would take all capacity that becomes free, and a large gang would never start. Urgent gangs
// need none, because they preempt other runs.
func (p *pass) updateWaiting(demands []chuteplacement.Demand) {
	updated := immutable.NewSortedMap[chutegraph.StepID, time.Time](chutegraph.StepOrder{})
	for i, d := range demands {
		if !d.Step.Gang || d.MayPreempt {
			continue
		}
		since, ok := p.waitingSince.Get(d.ID)
		if !ok {
			since = p.Now
		}
		updated = updated.Set(d.ID, since)
		demands[i].NeedsReservation = p.Now.Sub(since) >= max(minReservationWait, d.Step.Estimate)
	}
	p.waitingSince = updated
}

// openReservations lets the demands of jobs that have stood for long use capacity that is reserved for gangs, or on workers that
// are emptied for quarantines.
func (p *pass) openReservations(demands []chuteplacement.Demand, emptied bool) {
	if !emptied && !slices.ContainsFunc(demands, func(d chuteplacement.Demand) bool { return d.NeedsReservation }) {
		p.standing = standing{}
		return
	}
	if p.Now.Sub(p.standing.foundAt) >= standingInterval {
		p.findStanding(demands)
	}
	for i, d := range demands {
		since, stands := p.standing.since[d.ID]
		demands[i].MayUseReserved = stands && p.Now.Sub(since) >= reservationHold && p.nothingRuns(d.ID.Job)
	}
}

// findStanding notes since when each job of which nothing runs has stood.
func (p *pass) findStanding(demands []chuteplacement.Demand) {
	found := make(map[chutegraph.StepID]time.Time)
	for _, d := range demands {
		if !p.nothingRuns(d.ID.Job) {
			continue
		}
		found[d.ID] = p.Now
		if since, stands := p.standing.since[d.ID]; stands {
			found[d.ID] = since
		}
	}
	p.standing = standing{foundAt: p.Now, since: found}
}

// nothingRuns reports whether no task of the job has a run.
func (p *pass) nothingRuns(id chutegraph.JobID) bool {
	j, ok := p.Live.Get(id)
	return ok && !j.AnyActive()
}
