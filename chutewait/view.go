package chutewait

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"monsoonchute.example/monsoonchute/chutecandidate"
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutequota"
)

const component = "scheduler" // these lines are logged as part of the scheduler

// minUnconfirmedAge is the time from which a run counts as unconfirmed that its worker has not confirmed, or not ended.
const minUnconfirmedAge = time.Second

// View is the capacity that is looked at to find out why steps wait.
type View struct {
	usable      []chuteplacement.Worker // with the capacity that is free on them
	confirmed   []chuteplacement.Worker // the same without what unconfirmed runs reserve
	listed      []chuteplacement.Worker // all workers in the list
	unconfirmed int                     // number of unconfirmed runs on usable workers
	unusable    map[string]int          // number of listed workers that can't be used, by the obstacle
	quotas      chutequota.Quotas       // what the workspaces may still start
}

// NewView returns the view after a planning pass that has left the quotas. It serves all steps that wait after the pass.
func NewView(t *chuteledger.Transition, quotas chutequota.Quotas) *View {
	v := &View{quotas: quotas, unusable: make(map[string]int)}
	for _, w := range t.Pool.All() {
		if !w.Listed {
			continue
		}
		worker := chutecandidate.Worker(t, w)
		v.listed = append(v.listed, worker)
		if obstacle := chutecandidate.Obstacle(t, w); obstacle != "" {
			v.unusable[obstacle]++
			continue
		}
		v.usable = append(v.usable, worker)
		for _, r := range w.Runs() {
			if r.Phase != chutepool.RunStarted && t.Now.Sub(r.PhaseSince) >= minUnconfirmedAge {
				v.unconfirmed++
				worker.Free = worker.Free.Plus(r.Reserved)
			}
		}
		v.confirmed = append(v.confirmed, worker)
	}
	return v
}

// Reason returns why the demand waits, in kebab case.
func (v *View) Reason(d chutedemand.Demand) string {
	switch {
	case !v.quotas.Allows(d.StartRequest()):
		return "limit"
	case chuteplacement.Fits(v.usable, d):
		return "kept-for-others"
	case fitsInAnyRack(v.usable, d):
		return "rack"
	case chuteplacement.Fits(v.confirmed, d):
		return "unconfirmed-runs"
	case chuteplacement.Fits(v.listed, d):
		return "unusable-workers"
	case !chuteplacement.Fits(emptied(v.usable), d):
		return "too-large"
	}
	return "no-room"
}

// log logs why the demand waits.
func (v *View) log(t *chuteledger.Transition, d chutedemand.Demand, waited time.Duration) {
	reason := v.Reason(d)
	t.Count("step-waits", reason)
	t.Log(component, "step waits for capacity", d.ID.Job, "step", d.ID, "reason", reason, "waited", waited, "priority", d.Priority,
		"workspace", d.Workspace, "quota", v.quotas.Describe(d.StartRequest()),
		"tasks", len(d.Indexes), "accelerators", d.Step.Request.Accelerators, "gang", d.Step.Gang, "same-rack", d.Step.SameRack,
		"usable", len(v.usable), "unusable", v.obstacles(), "unconfirmed-runs", v.unconfirmed,
		"fits-twice", fitsTwice(v.usable, d))
}

// obstacles returns the numbers of workers that can't be used, by the obstacle.
func (v *View) obstacles() string {
	var counts []string
	for _, obstacle := range slices.Sorted(maps.Keys(v.unusable)) {
		counts = append(counts, fmt.Sprintf("%s=%d", obstacle, v.unusable[obstacle]))
	}
	return strings.Join(counts, " ")
}

// fitsInAnyRack reports whether the demand would start if it could use any rack.
func fitsInAnyRack(workers []chuteplacement.Worker, d chutedemand.Demand) bool {
	d.Step.SameRack, d.Step.DataRack = false, ""
	return chuteplacement.Fits(workers, d)
}

// fitsTwice reports whether two tasks of the demand, or its gang twice, would start if they could use any rack.
func fitsTwice(workers []chuteplacement.Worker, d chutedemand.Demand) bool {
	if !d.Step.Gang {
		d.Indexes = d.Indexes[:1]
	}
	d.Step.Gang = true
	d.Indexes = append(slices.Clone(d.Indexes), d.Indexes...)
	return fitsInAnyRack(workers, d)
}

// emptied returns the workers as if nothing ran on them.
func emptied(workers []chuteplacement.Worker) []chuteplacement.Worker {
	empty := slices.Clone(workers)
	for i := range empty {
		empty[i].Free = empty[i].Capacity
	}
	return empty
}
