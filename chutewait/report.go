package chutewait

import (
	"time"

	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutequota"
)

const (
	// reportInterval is the time between two reports on steps that wait.
	reportInterval = 500 * time.Millisecond
	// minLoggedWait is how long a step has waited when it is logged first.
	minLoggedWait = time.Second
	// repeatInterval is the time after which a step that goes on waiting is logged again.
	repeatInterval = 3 * time.Second
	// maxStepsLogged is the largest number of steps that a report logs.
	maxStepsLogged = 8
)

// Report is the latest report on the steps that wait for capacity while nothing of their jobs runs. It is immutable.
type Report struct {
	at    time.Time
	steps map[chutegraph.StepID]stepWait // never changed once stored
}

// stepWait is the wait of a step.
type stepWait struct {
	since    time.Time // time of the first report that found the step waiting
	loggedAt time.Time // when it was last logged; zero before
}

// logDue reports whether the step is to be logged.
func (w stepWait) logDue(now time.Time) bool {
	return now.Sub(w.since) >= minLoggedWait && now.Sub(w.loggedAt) >= repeatInterval
}

// Next returns the report after a planning pass that had the demands and has left the quotas, or the same if none is due. It logs why
// steps go on waiting.
func (r Report) Next(t *chuteledger.Transition, demands []chutedemand.Demand, quotas chutequota.Quotas) Report {
	if t.Now.Sub(r.at) < reportInterval {
		return r
	}
	var fleet *View
	steps := make(map[chutegraph.StepID]stepWait)
	logged := 0
	for _, d := range demands {
		if j, ok := t.Live.Get(d.ID.Job); !ok || j.AnyActive() {
			continue
		}
		wait, known := r.steps[d.ID]
		if !known {
			wait.since = t.Now
		}
		if logged < maxStepsLogged && wait.logDue(t.Now) {
			if fleet == nil {
				fleet = NewView(t, quotas)
			}
			wait.loggedAt = t.Now
			logged++
			fleet.log(t, d, t.Now.Sub(wait.since))
		}
		steps[d.ID] = wait
	}
	return Report{at: t.Now, steps: steps}
}
