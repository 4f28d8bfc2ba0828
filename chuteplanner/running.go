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
	// endingSoonLimit is the expected remaining time up to which a run counts as ending soon.
	endingSoonLimit = 500 * time.Millisecond
	// maxOverdue is the time after its expected end for which a run still counts as ending soon.
	maxOverdue = 300 * time.Millisecond
)

// withRunGroups returns the view with the runs that demands may wait for or evict.
func (p *pass) withRunGroups(view chuteplacement.View) chuteplacement.View {
	runs := p.placedRuns()
	ending := endingSoon(runs)
	for i, w := range view.Workers {
		view.Workers[i].Ending = ending[w.ID]
	}
	view.RunGroups = p.runGroups(runs)
	return view
}

// stepTraits are the properties of a step that matter for the eviction of its runs.
type stepTraits struct {
	known       bool // the scheduler knows the step's job
	gang        bool
	longRunning bool
	spare       int // how many more tasks of a long-running step may be stopped
}

// placedRun is a run on a worker with the properties of its step.
type placedRun struct {
	chutepool.Run
	stepTraits
	worker    chutetask.WorkerID
	remaining time.Duration // expected time until its end; negative if it is overdue
}

// placedRuns returns the runs on all workers.
func (p *pass) placedRuns() []placedRun {
	var runs []placedRun
	traits := make(map[chutegraph.StepID]stepTraits)
	for _, w := range p.Pool.All() {
		for _, r := range w.Runs() {
			id := r.ID.Task.StepID
			s, seen := traits[id]
			if !seen {
				s = p.traits(id)
				traits[id] = s
			}
			runs = append(runs, placedRun{Run: r, stepTraits: s, worker: w.ID, remaining: p.Remaining(w.ID, r, s.longRunning)})
		}
	}
	return runs
}

// traits returns the properties of a step; they are zero if its job is unknown.
func (p *pass) traits(id chutegraph.StepID) stepTraits {
	j, ok := p.Job(id.Job)
	if !ok {
		return stepTraits{}
	}
	step := j.Step(id)
	return stepTraits{known: true, gang: step.Gang, longRunning: step.LongRunning, spare: p.SpareTasks(j, id)}
}

// endingSoon returns, by worker, the resources reserved by runs that are expected to end soon. A gang ends when its
// last member does.
func endingSoon(runs []placedRun) map[chutetask.WorkerID]chutecapacity.Resources {
	last := make(map[chutegraph.StepID]time.Duration)
	for _, r := range runs {
		if latest, seen := last[r.ID.Task.StepID]; r.gang && (!seen || r.remaining > latest) {
			last[r.ID.Task.StepID] = r.remaining
		}
	}
	reserved := make(map[chutetask.WorkerID]chutecapacity.Resources)
	for _, r := range runs {
		remaining := r.remaining
		if r.gang {
			remaining = last[r.ID.Task.StepID]
		}
		if r.Phase == chutepool.RunStarted && remaining <= endingSoonLimit && remaining >= -maxOverdue {
			reserved[r.worker] = reserved[r.worker].Plus(r.Reserved)
		}
	}
	return reserved
}

// runGroups returns the runs that may be evicted for urgent tasks. Runs that a guarantee covers, quarantined ones, and those that
// are being recorded or stopped already are never evicted, and long-running ones only as many as may be unavailable.
func (p *pass) runGroups(runs []placedRun) []chuteplacement.RunGroup {
	var groups []chuteplacement.RunGroup
	gangs := make(map[chutegraph.StepID]int)
	for _, r := range runs {
		if p.guaranteed[r.ID.Task.Job] || r.Quarantined || r.Phase == chutepool.RunStopping || r.Phase == chutepool.RunRecording {
			continue
		}
		if r.longRunning && (r.gang || r.spare <= 0) {
			continue
		}
		i, known := gangs[r.ID.Task.StepID]
		if !r.gang || !known {
			i = len(groups)
			groups = append(groups, chuteplacement.RunGroup{Priority: r.Priority, Lasting: r.longRunning, Spare: r.spare})
		}
		if r.gang {
			gangs[r.ID.Task.StepID] = i
		}
		if r.known {
			groups[i].Cost += p.UnsavedWork(r.Run)
		}
		groups[i].Members = append(groups[i].Members, chuteplacement.Member{Run: r.ID, Worker: r.worker, Reserved: r.Reserved})
	}
	return groups
}
