package chuteplanner

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// HandleStepApproved applies the answer of the approval service, or the lack of one.
func (p Planner) HandleStepApproved(t *chuterunner.Transition, e chuteaction.StepApproved) Planner {
	p.approvals = p.approvals.HandleStepApproved(t.Transition, e)
	return p
}

// WithoutStep returns the planner without the approval for the step.
func (p Planner) WithoutStep(id chutegraph.StepID) Planner {
	p.approvals = p.approvals.WithoutStep(id)
	return p
}

// WithoutJob returns the planner without the approvals for the steps of a job that has ended.
func (p Planner) WithoutJob(j chutetask.Job) Planner {
	p.approvals = p.approvals.WithoutJob(j)
	return p
}
