package chuteplanner

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteplacement"
)

// leastPatience is the shortest wait of a gang after which room is kept free for it.
const leastPatience = 4 * time.Second

// noteWaiting remembers since when gangs wait, and marks those for which room is kept free from now on: without that,
// small tasks would take whatever becomes free, and a large gang would never start. Urgent work makes room by stopping
// other work instead.
func (t *turn) noteWaiting(demands []chuteplacement.Demand) {
	waiting := immutable.NewSortedMap[chutegraph.StepID, time.Time](chutegraph.StepOrder{})
	for i, d := range demands {
		if !d.Step.Gang || d.MayPreempt {
			continue
		}
		since, ok := t.waiting.Get(d.ID)
		if !ok {
			since = t.Now
		}
		waiting = waiting.Set(d.ID, since)
		demands[i].NeedsReservation = t.Now.Sub(since) >= max(leastPatience, d.Step.Estimate)
	}
	t.waiting = waiting
}
