package chuteplanner

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// waitReportInterval is the time between two reports on steps that wait.
	waitReportInterval = 500 * time.Millisecond
	// maxStanding is the longest time for which a step of a job of which nothing runs waits beside capacity that is kept for
	// others, less the time between two reports.
	maxStanding = 2 * time.Second
	// minReportedWait is how long a step has waited when it is reported first.
	minReportedWait = time.Second
	// waitRepeatInterval is the time after which a step that goes on waiting is reported again.
	waitRepeatInterval = 3 * time.Second
	// maxWaitsReported is the number of steps in a report.
	maxWaitsReported = 8
	// minUnconfirmedAge is the time from which a run counts as unconfirmed that its worker has not confirmed, or not ended.
	minUnconfirmedAge = time.Second
)

// waitReport is the latest report on the steps that wait for capacity while nothing of their jobs runs.
type waitReport struct {
	at    time.Time
	steps map[chutegraph.StepID]stepWait // never changed once stored
}

// stepWait is the wait of a step.
type stepWait struct {
	since      time.Time // time of the first report that found the step waiting
	reportedAt time.Time // when it was last logged; zero before
}

// reportDue reports whether the step is to be logged.
func (w stepWait) reportDue(now time.Time) bool {
	return now.Sub(w.since) >= minReportedWait && now.Sub(w.reportedAt) >= waitRepeatInterval
}

// reportWaits notes which steps wait of whose jobs nothing runs, and logs why they do.
func (p *pass) reportWaits(demands []chuteplacement.Demand) {
	if p.Now.Sub(p.waits.at) < waitReportInterval {
		return
	}
	var view *waitView
	steps := make(map[chutegraph.StepID]stepWait)
	reported := 0
	for _, d := range demands {
		if !p.nothingRuns(d.ID.Job) {
			continue
		}
		wait, known := p.waits.steps[d.ID]
		if !known {
			wait.since = p.Now
		}
		if reported < maxWaitsReported && wait.reportDue(p.Now) {
			if view == nil {
				view = p.newWaitView()
			}
			wait.reportedAt = p.Now
			reported++
			p.logWait(d, wait, view)
		}
		steps[d.ID] = wait
	}
	p.waits = waitReport{at: p.Now, steps: steps}
}

// markStanding marks the demands of jobs of which nothing has run for so long that they may use capacity that is kept for others.
func (p *pass) markStanding(demands []chuteplacement.Demand) {
	for i, d := range demands {
		wait, known := p.waits.steps[d.ID]
		demands[i].Stands = known && p.Now.Sub(wait.since) >= maxStanding && p.nothingRuns(d.ID.Job)
	}
}

// nothingRuns reports whether no task of the job has a run.
func (p *pass) nothingRuns(id chutegraph.JobID) bool {
	j, ok := p.Live.Get(id)
	active := false
	j.ForEachTask(func(_ chutegraph.TaskID, task chutetask.Task) {
		active = active || task.Phase == chutetask.TaskActive
	})
	return ok && !active
}

func (p *pass) logWait(d chuteplacement.Demand, wait stepWait, view *waitView) {
	reason := view.reason(d)
	p.Count("step-waits", reason)
	p.Log(component, "step waits for capacity", d.ID.Job, "step", d.ID, "reason", reason, "waited", p.Now.Sub(wait.since), "priority", d.Priority,
		"tasks", len(d.Indexes), "accelerators", d.Step.Request.Accelerators, "gang", d.Step.Gang, "same-rack", d.Step.SameRack,
		"usable", len(view.usable), "unusable", view.obstacles(), "unconfirmed-runs", view.unconfirmed,
		"fits-twice", chuteplacement.FitsTwice(view.usable, d))
}

// waitView is the capacity that is looked at to find out why steps wait.
type waitView struct {
	usable      []chuteplacement.Worker // with the capacity that is free on them
	confirmed   []chuteplacement.Worker // the same without what unconfirmed runs reserve
	listed      []chuteplacement.Worker // all workers in the list
	unconfirmed int                     // number of unconfirmed runs on usable workers
	unusable    map[string]int          // number of listed workers that can't be used, by the obstacle
}

func (p *pass) newWaitView() *waitView {
	view := &waitView{unusable: make(map[string]int)}
	for _, w := range p.Pool.All() {
		if !w.Listed {
			continue
		}
		worker := p.placementWorker(w)
		view.listed = append(view.listed, worker)
		if obstacle := p.obstacle(w); obstacle != "" {
			view.unusable[obstacle]++
			continue
		}
		view.usable = append(view.usable, worker)
		for _, r := range w.Runs() {
			if r.Phase != chutepool.RunStarted && p.Now.Sub(r.PhaseSince) >= minUnconfirmedAge {
				view.unconfirmed++
				worker.Free = worker.Free.Plus(r.Reserved)
			}
		}
		view.confirmed = append(view.confirmed, worker)
	}
	return view
}

// reason returns why the demand waits, in kebab case.
func (v *waitView) reason(d chuteplacement.Demand) string {
	switch {
	case chuteplacement.Fits(v.usable, d):
		return "kept-for-others"
	case chuteplacement.FitsAcrossRacks(v.usable, d):
		return "rack"
	case chuteplacement.Fits(v.confirmed, d):
		return "unconfirmed-runs"
	case chuteplacement.Fits(v.listed, d):
		return "unusable-workers"
	case !chuteplacement.FitsEmpty(v.usable, d):
		return "too-large"
	}
	return "no-room"
}

// obstacles returns the numbers of workers that can't be used, by the obstacle.
func (v *waitView) obstacles() string {
	var counts []string
	for _, obstacle := range slices.Sorted(maps.Keys(v.unusable)) {
		counts = append(counts, fmt.Sprintf("%s=%d", obstacle, v.unusable[obstacle]))
	}
	return strings.Join(counts, " ")
}
