package chuteplanner

import (
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// soon is the time within which work counts as ending soon.
	soon = 500 * time.Millisecond
	// overdue is how long after its expected end work still counts as ending soon.
	overdue = 300 * time.Millisecond
)

// withWorkInTheWay returns the view with the running work that demands may wait for or stop.
func (t *turn) withWorkInTheWay(view chuteplacement.View) chuteplacement.View {
	runs := t.census()
	ending := endingAmounts(runs)
	for i, w := range view.Workers {
		view.Workers[i].Ending = ending[w.ID]
	}
	view.RunGroups = t.groups(runs)
	return view
}

// stepTraits is what a step tells of its runs.
type stepTraits struct {
	known   bool // the step's job is known
	gang    bool
	lasting bool
}

// running is a run of the census.
type running struct {
	chutepool.Run
	stepTraits
	worker    chutetask.WorkerID
	remaining time.Duration // expected until its end, negative if that has passed
}

// census returns all runs on workers, each with what its step tells.
func (t *turn) census() []running {
	var runs []running
	traits := make(map[chutegraph.StepID]stepTraits)
	for _, w := range t.Pool.All() {
		for _, r := range w.Runs() {
			id := r.ID.Task.StepID
			s, seen := traits[id]
			if !seen {
				s = t.traits(id)
				traits[id] = s
			}
			runs = append(runs, running{Run: r, stepTraits: s, worker: w.ID, remaining: t.Remaining(w.ID, r, s.lasting)})
		}
	}
	return runs
}

func (t *turn) traits(id chutegraph.StepID) stepTraits {
	j, ok := t.Job(id.Job)
	if !ok {
		return stepTraits{}
	}
	step := j.Step(id)
	return stepTraits{known: true, gang: step.Gang, lasting: step.LongRunning}
}

// endingAmounts returns by worker what is held by runs that are expected to end soon. A gang ends when its last member
// does.
func endingAmounts(runs []running) map[chutetask.WorkerID]chutecapacity.Resources {
	last := make(map[chutegraph.StepID]time.Duration)
	for _, r := range runs {
		if known, seen := last[r.ID.Task.StepID]; r.gang && (!seen || r.remaining > known) {
			last[r.ID.Task.StepID] = r.remaining
		}
	}
	held := make(map[chutetask.WorkerID]chutecapacity.Resources)
	for _, r := range runs {
		remaining := r.remaining
		if r.gang {
			remaining = last[r.ID.Task.StepID]
		}
		if r.Phase == chutepool.RunStarted && remaining <= soon && remaining >= -overdue {
			held[r.worker] = held[r.worker].Plus(r.Reserved)
		}
	}
	return held
}

// groups returns the work that may be stopped for more urgent work.
func (t *turn) groups(runs []running) []chuteplacement.RunGroup {
	var groups []chuteplacement.RunGroup
	gangs := make(map[chutegraph.StepID]int)
	for _, r := range runs {
		if r.Priority == 0 || r.Phase == chutepool.RunStopping || r.Phase == chutepool.RunRecording || r.lasting {
			continue
		}
		at, known := gangs[r.ID.Task.StepID]
		if !r.gang || !known {
			at = len(groups)
			groups = append(groups, chuteplacement.RunGroup{Priority: r.Priority})
		}
		if r.gang {
			gangs[r.ID.Task.StepID] = at
		}
		if r.known {
			groups[at].Cost += t.Unsaved(r.Run)
		}
		groups[at].Members = append(groups[at].Members, chuteplacement.Member{Run: r.ID, Worker: r.worker, Reserved: r.Reserved})
	}
	return groups
}
