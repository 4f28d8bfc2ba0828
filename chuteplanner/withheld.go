package chuteplanner

import (
	"monsoonchute.example/monsoonchute/chutecandidate"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutetask"
)

// startOnWithheld starts steps that have waited for long while nothing of their jobs runs on workers from which new runs are withheld
// otherwise: a job with room must not stand for 3 s, and a run on a doubtful worker may succeed.
func (p *pass) startOnWithheld(demands []chuteplacement.Demand, taken map[chutetask.WorkerID]bool) {
	var waiting []chuteplacement.Demand
	for _, d := range demands {
		if p.waits.WaitedFor(d.ID, p.Now) < maxStanding || !p.nothingRuns(d.ID.Job) {
			continue
		}
		d.MayPreempt, d.NeedsReservation, d.Excluded, d.Nominated = false, false, nil, nil
		if !d.Step.Gang {
			d.Indexes = d.Indexes[:1]
		}
		waiting = append(waiting, d)
	}
	if len(waiting) == 0 {
		return
	}
	workers := chutecandidate.WithWithheld(p.Transition.Transition, taken)
	if len(workers) == 0 {
		return
	}
	view := chuteplacement.View{Now: p.Now, Workers: workers, Demands: waiting, Quotas: p.quotas.Snapshot()}
	for _, decision := range chuteplacement.Plan(view) {
		switch d := decision.(type) {
		case chuteplacement.Start:
			p.Count("start-withheld", "waited")
			p.assign(d, false)
		case chuteplacement.Evict, chuteplacement.Nominate:
		}
	}
}
