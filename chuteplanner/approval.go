package chuteplanner

import (
	"cmp"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// approvalBatch is the number of workers that one question names.
	approvalBatch = 30
	// approvalMargin is the time before its end at which a ticket is no longer used.
	approvalMargin = 500 * time.Millisecond
	// maxQuestions is the number of questions that may be on the way at once.
	maxQuestions = 4
	// approvalPause is the wait after a question without an answer.
	approvalPause = 300 * time.Millisecond
)

// approval is what is known of the workers that may run a step.
type approval struct {
	tickets map[chutetask.WorkerID]string // never changed once stored
	until   time.Time                     // when the tickets end
	asked   map[chutetask.WorkerID]bool   // workers that a question has named
	asking  bool
	again   time.Time // no question is asked before this moment
}

// approved returns the tickets that may be used for the step now. It asks for more if there are none.
func (t *turn) approved(j chutetask.Job, id chutegraph.StepID) map[chutetask.WorkerID]string {
	a, _ := t.approvals.Get(id)
	if len(a.tickets) > 0 && t.Now.Add(approvalMargin).Before(a.until) {
		return a.tickets
	}
	t.askApproval(j, id, a)
	return nil
}

// askApproval asks about workers that have not been named yet, the emptiest first; once all have been, about those that
// were approved before, since what is allowed does not change.
func (t *turn) askApproval(j chutetask.Job, id chutegraph.StepID, a approval) {
	if a.asking || t.Now.Before(a.again) || t.questions >= maxQuestions {
		return
	}
	workers := t.unasked(j, a)
	if len(workers) == 0 {
		a.asked = nil
		workers = t.unasked(j, a)
	}
	if len(workers) == 0 {
		return
	}
	asked := make(map[chutetask.WorkerID]bool, len(a.asked)+len(workers))
	for w := range a.asked {
		asked[w] = true
	}
	for _, w := range workers {
		asked[w] = true
	}
	a.asked, a.asking = asked, true
	t.approvals = t.approvals.Set(id, a)
	t.questions++
	t.Log(part, "approval asked for", id.Job, "step", id, "workers", len(workers))
	t.Emit(chuteaction.RequestApproval{Step: id, Workers: workers})
}

func (t *turn) unasked(j chutetask.Job, a approval) []chutetask.WorkerID {
	if a.asked == nil && len(a.tickets) > 0 {
		known := make([]chutetask.WorkerID, 0, len(a.tickets))
		for w := range a.tickets {
			known = append(known, w)
		}
		slices.Sort(known)
		return known[:min(len(known), approvalBatch)]
	}
	var free []chutepool.Worker
	for _, w := range t.Pool.All() {
		if w.Service == t.Service(j) && w.Usable(t.Now) && t.MayStartOn(w) && !a.asked[w.ID] {
			free = append(free, w)
		}
	}
	slices.SortStableFunc(free, func(x, y chutepool.Worker) int {
		return cmp.Compare(y.Free().Cores(), x.Free().Cores())
	})
	var ids []chutetask.WorkerID
	for _, w := range free[:min(len(free), approvalBatch)] {
		ids = append(ids, w.ID)
	}
	return ids
}

// Approved takes the answer of the approval service.
func (m Planner) HandleStepApproved(r *chuterunner.Transition, e chuteaction.StepApproved) Planner {
	a, ok := m.approvals.Get(e.Step)
	m.questions = max(0, m.questions-1)
	if !ok {
		return m
	}
	a.asking = false
	if !e.Answered {
		r.Count("approval-missed", "no-answer")
		a.again = r.Now.Add(approvalPause)
		a.asked = nil
		m.approvals = m.approvals.Set(e.Step, a)
		return m
	}
	r.Log(part, "approval given", e.Step.Job, "step", e.Step, "asked", len(e.Workers), "approved", len(e.Tickets))
	a.tickets = e.Tickets
	a.until = r.Now.Add(e.Validity)
	m.approvals = m.approvals.Set(e.Step, a)
	r.PlanDue = true
	return m
}

// WithoutStep returns the memory without the approvals for the step.
func (m Planner) WithoutStep(id chutegraph.StepID) Planner {
	m.approvals = m.approvals.Delete(id)
	return m
}

// WithoutJob returns the memory without the approvals for the steps of a job that has ended.
func (m Planner) WithoutJob(j chutetask.Job) Planner {
	for k, steps := range j.Occurrences {
		for step := range steps {
			m = m.WithoutStep(chutegraph.StepID{Job: j.ID, Occurrence: k, Step: step})
		}
	}
	return m
}
