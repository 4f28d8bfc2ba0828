package chuteplanner

import (
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutequota"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Trial is the outcome of a planning pass whose effects are not carried out.
type Trial struct {
	Demands     []chutedemand.Demand // steps whose tasks may run beside others, in the order in which they were served
	Quarantined []chutedemand.Demand // steps with tasks that wait for quarantine
	Decisions   []chuteplacement.Decision
	Nominated   map[chutegraph.StepID]map[int]chutetask.WorkerID // workers on which capacity is kept for tasks
	Quotas      chutequota.Quotas                                // what the workspaces may still start after the pass
}

// Try runs a planning pass on the transition, which the caller must discard with its effects. It returns false if no pass may
// run yet, since not all workers have reported what they run.
func (p Planner) Try(t *chuterunner.Transition) (Trial, bool) {
	if !p.WorkersContacted(t) {
		return Trial{}, false
	}
	current := newPass(p, t)
	current.plan()
	trial := current.trial
	trial.Nominated, trial.Quotas = current.nominated, current.quotas.Quotas
	return trial, true
}
