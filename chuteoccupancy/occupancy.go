package chuteoccupancy

import (
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chuteeviction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// endingSoonLimit is the expected remaining time up to which a run counts as ending soon.
	endingSoonLimit = 500 * time.Millisecond
	// maxOverdue is the time after its expected end for which a run still counts as ending soon.
	maxOverdue = 300 * time.Millisecond
)

// Occupancy is the immutable view of what runs on all workers at the beginning of a planning pass.
type Occupancy struct {
	ledger     *chuteledger.Transition
	runs       []placedRun
	guaranteed map[chutegraph.JobID]bool // jobs whose runs are never evicted
	appraisal  appraisal
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
	remaining time.Duration // expected time until its end, or that of its gang; negative if it is overdue
}

// New returns the runs on all workers. Those of the guaranteed jobs are never evicted.
func New(t *chuteledger.Transition, guaranteed map[chutegraph.JobID]bool) Occupancy {
	o := Occupancy{ledger: t, guaranteed: guaranteed, appraisal: newAppraisal(t)}
	traits := make(map[chutegraph.StepID]stepTraits)
	for _, w := range t.Pool.All() {
		for _, r := range w.Runs() {
			id := r.ID.Task.StepID
			s, seen := traits[id]
			if !seen {
				s = o.traits(id)
				traits[id] = s
			}
			o.runs = append(o.runs, placedRun{Run: r, stepTraits: s, worker: w.ID, remaining: t.Remaining(w.ID, r, s.longRunning)})
		}
	}
	o.endGangsTogether()
	return o
}

// endGangsTogether gives each member of a gang the expected end of its last one.
func (o Occupancy) endGangsTogether() {
	last := make(map[chutegraph.StepID]time.Duration)
	for _, r := range o.runs {
		if latest, seen := last[r.ID.Task.StepID]; r.gang && (!seen || r.remaining > latest) {
			last[r.ID.Task.StepID] = r.remaining
		}
	}
	for i, r := range o.runs {
		if r.gang {
			o.runs[i].remaining = last[r.ID.Task.StepID]
		}
	}
}

// traits returns the properties of a step; they are zero if its job is unknown.
func (o Occupancy) traits(id chutegraph.StepID) stepTraits {
	j, ok := o.ledger.Job(id.Job)
	if !ok {
		return stepTraits{}
	}
	step := j.Step(id)
	traits := stepTraits{known: true, gang: step.Gang, longRunning: step.LongRunning}
	if step.LongRunning {
		traits.spare = o.ledger.SpareTasks(j, id)
	}
	return traits
}

// EndingSoon returns, by worker, the resources reserved by runs that are expected to end soon. A gang ends when its
// last member does.
func (o Occupancy) EndingSoon() map[chutetask.WorkerID]chutecapacity.Resources {
	reserved := make(map[chutetask.WorkerID]chutecapacity.Resources)
	for _, r := range o.runs {
		if r.Phase == chutepool.RunStarted && r.remaining <= endingSoonLimit && r.remaining >= -maxOverdue {
			reserved[r.worker] = reserved[r.worker].Plus(r.Reserved)
		}
	}
	return reserved
}

// RunGroups returns the runs that may be evicted for urgent tasks. Runs that a guarantee covers, quarantined ones, and those that
// are being recorded or stopped already are never evicted, and long-running ones only as many as may be unavailable.
func (o Occupancy) RunGroups() []chuteeviction.Group {
	var groups []chuteeviction.Group
	gangs := make(map[chutegraph.StepID]int)
	for _, r := range o.runs {
		if o.guaranteed[r.ID.Task.Job] || r.Quarantined || r.Phase == chutepool.RunStopping || r.Phase == chutepool.RunRecording {
			continue
		}
		if r.longRunning && (r.gang || r.spare <= 0) {
			continue
		}
		i, known := gangs[r.ID.Task.StepID]
		if !r.gang || !known {
			i = len(groups)
			groups = append(groups, chuteeviction.Group{Priority: r.Priority, Lasting: r.longRunning, Spare: r.spare, Workspace: r.Workspace})
		}
		if r.gang {
			gangs[r.ID.Task.StepID] = i
		}
		if r.known {
			cost := o.ledger.UnsavedWork(r.Run)
			loss := o.appraisal.lossOf(r, cost)
			groups[i].Cost += cost
			groups[i].Wasted += loss.wasted
			groups[i].Missed = max(groups[i].Missed, loss.missed)
		}
		groups[i].Requested = groups[i].Requested.Plus(r.Request)
		groups[i].Members = append(groups[i].Members, chuteeviction.Member{Run: r.ID, Worker: r.worker, Reserved: r.Reserved})
	}
	return groups
}
