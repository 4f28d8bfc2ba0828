package chuteapproval

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutetask"
)

const component = "scheduler" // approvals are logged as part of the scheduler

// State is the immutable state of the approvals of all steps.
type State struct {
	approvals *immutable.SortedMap[chutegraph.StepID, approval]
	service   service
}

// New returns a state without approvals.
func New() State {
	return State{approvals: immutable.NewSortedMap[chutegraph.StepID, approval](chutegraph.StepOrder{})}
}

// Ticket returns the ticket of the worker for the step, and an empty one if there is none.
func (s State) Ticket(id chutegraph.StepID, worker chutetask.WorkerID) string {
	a, _ := s.approvals.Get(id)
	return a.tickets[worker]
}

// Tickets returns the tickets that may be used for the step at the time, none if it must wait for approval.
func (s State) Tickets(id chutegraph.StepID, now time.Time) map[chutetask.WorkerID]string {
	a, _ := s.approvals.Get(id)
	if !a.valid(now) {
		return nil
	}
	return a.tickets
}

// Request returns the state after requests for those demands that lack tickets, as many as the service can take. The demands are
// all that need approval, in the order in which they are served.
func (s State) Request(t *chuteledger.Transition, demands []chutedemand.Demand) State {
	if !s.service.mayRequest(t.Now) {
		return s
	}
	r := &requester{Transition: t, state: s, workers: make(map[string][]candidate), fits: make(map[shape]bool)}
	r.request(demands)
	return r.state
}

// HandleStepApproved applies the answer of the approval service, or the lack of one.
func (s State) HandleStepApproved(t *chuteledger.Transition, e chuteaction.StepApproved) State {
	s.service = s.service.withResult(e, t.Now)
	t.PlanDue = true // another step may ask now
	a, ok := s.approvals.Get(e.Step)
	if e.Outcome != chuteaction.ApprovalAnswered {
		t.Count("approval-missed", e.Outcome.String())
		t.Log(component, "request for approval failed", e.Step.Job, "step", e.Step, "outcome", e.Outcome,
			"workers", len(e.Workers), "in-a-row", s.service.misses, "in-flight", len(s.service.inFlight))
	}
	if !ok {
		return s
	}
	if e.Outcome != chuteaction.ApprovalAnswered {
		s.approvals = s.approvals.Set(e.Step, a.withoutAnswer())
		return s
	}
	t.Log(component, "approval service answered for step", e.Step.Job, "step", e.Step,
		"asked", len(e.Workers), "approved", len(e.Tickets))
	s.approvals = s.approvals.Set(e.Step, a.withAnswer(e, t.Now))
	return s
}

// WithoutStep returns the state without the approval for the step.
func (s State) WithoutStep(id chutegraph.StepID) State {
	s.approvals = s.approvals.Delete(id)
	return s
}

// WithoutJob returns the state without the approvals for the steps of a job that has ended.
func (s State) WithoutJob(j chutetask.Job) State {
	for k, steps := range j.Occurrences {
		for step := range steps {
			s = s.WithoutStep(chutegraph.StepID{Job: j.ID, Occurrence: k, Step: step})
		}
	}
	return s
}
