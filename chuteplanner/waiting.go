package chuteplanner

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteplacement"
)

// minReservationWait is the shortest wait of a gang after which capacity is reserved for it.
const minReservationWait = 4 * time.Second

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
