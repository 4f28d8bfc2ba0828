package chutescheduler

import (
	"cmp"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterun"
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
	tickets map[chuterun.WorkerID]string // never changed once stored
	until   time.Time                    // when the tickets end
	asked   map[chuterun.WorkerID]bool   // workers that a question has named
	asking  bool
	again   time.Time // no question is asked before this moment
}

// approved returns the tickets that may be used for the step now. It asks for more if there are none.
func (t *turn) approved(j chuterun.Job, id chutegraph.StepID) map[chuterun.WorkerID]string {
	a, _ := t.approvals.Get(id)
	if len(a.tickets) > 0 && t.Now.Add(approvalMargin).Before(a.until) {
		return a.tickets
	}
	t.askApproval(j, id, a)
	return nil
}

// askApproval asks about workers that have not been named yet, the emptiest first; once all have been, about those that
// were approved before, since what is allowed does not change.
func (t *turn) askApproval(j chuterun.Job, id chutegraph.StepID, a approval) {
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
	asked := make(map[chuterun.WorkerID]bool, len(a.asked)+len(workers))
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
	t.Emit(chuteaction.AskApproval{Step: id, Workers: workers})
}

func (t *turn) unasked(j chuterun.Job, a approval) []chuterun.WorkerID {
	if a.asked == nil && len(a.tickets) > 0 {
		known := make([]chuterun.WorkerID, 0, len(a.tickets))
		for w := range a.tickets {
			known = append(known, w)
		}
		slices.Sort(known)
		return known[:min(len(known), approvalBatch)]
	}
	var free []chutepool.Worker
	for _, w := range t.pool.All() {
		if w.Service == t.service(j) && w.Usable(t.Now) && t.mayStartOn(w) && !a.asked[w.ID] {
			free = append(free, w)
		}
	}
	slices.SortStableFunc(free, func(x, y chutepool.Worker) int {
		return cmp.Compare(y.Free().Cores(), x.Free().Cores())
	})
	var ids []chuterun.WorkerID
	for _, w := range free[:min(len(free), approvalBatch)] {
		ids = append(ids, w.ID)
	}
	return ids
}

// Approved takes the answer of the approval service.
func (s State) Approved(t *chuteaction.Turn, environment Environment, e chuteaction.StepApproved) State {
	u := s.turn(t, environment)
	a, ok := u.approvals.Get(e.Step)
	u.questions = max(0, u.questions-1)
	if !ok {
		return u.State
	}
	a.asking = false
	if !e.Answered {
		t.Count("approval-missed", "no-answer")
		a.again = t.Now.Add(approvalPause)
		a.asked = nil
		u.approvals = u.approvals.Set(e.Step, a)
		return u.State
	}
	t.Log(part, "approval given", e.Step.Job, "step", e.Step, "asked", len(e.Asked), "approved", len(e.Tickets))
	a.tickets = e.Tickets
	a.until = t.Now.Add(e.Validity)
	u.approvals = u.approvals.Set(e.Step, a)
	u.planDue = true
	return u.State
}
