package chuteapproval

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutetask"
)

// stepsAhead is the number of steps for which approval is requested although they do not fit on the workers at present.
const stepsAhead = 4

// requester is the working copy of the state while approvals are requested.
type requester struct {
	*chuteledger.Transition
	state   State
	workers map[string][]candidate // usable workers by service, the one with the most free capacity first
	fits    map[shape]bool         // whether demands of a shape fit on them
}

// request requests approval for the demands: first for those that could start at once, so that they do not wait for the
// requests of others, whose tickets may expire unused.
func (r *requester) request(demands []chutedemand.Demand) {
	due := slices.DeleteFunc(slices.Clone(demands), func(d chutedemand.Demand) bool { return !r.lacksTickets(d) })
	slices.SortStableFunc(due, func(x, y chutedemand.Demand) int {
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(r.approval(x.ID).fruitless, r.approval(y.ID).fruitless))
	})
	contested := len(due) > 1
	for _, d := range due {
		if !r.state.service.mayRequest(r.Now) {
			return
		}
		if d.MayPreempt || d.Guaranteed || r.hasRoom(d) {
			r.requestFor(d, contested)
		}
	}
	for _, d := range demands[:min(len(demands), stepsAhead)] {
		if len(r.state.service.inFlight) > 0 {
			return
		}
		if r.lacksTickets(d) {
			r.requestFor(d, contested)
		}
	}
}

func (r *requester) approval(id chutegraph.StepID) approval {
	a, _ := r.state.approvals.Get(id)
	return a
}

// lacksTickets reports whether a request for the demand is due: it has no tickets, or their workers cannot hold it.
func (r *requester) lacksTickets(d chutedemand.Demand) bool {
	a := r.approval(d.ID)
	if r.state.service.awaits(d.ID) || r.Now.Before(a.retryAt) {
		return false
	}
	return !a.valid(r.Now) || !r.holdStep(a.tickets, d.Step)
}

// holdStep reports whether the workers with a ticket can hold a task of the step, or its whole gang, if nothing else runs
// there.
func (r *requester) holdStep(tickets map[chutetask.WorkerID]string, step chutegraph.Step) bool {
	missing := tasksToStart(step)
	for id := range tickets {
		w, ok := r.Pool.Get(id)
		if !ok || !r.MayStartOn(w) || !w.HasLabel(step.Label) {
			continue
		}
		missing -= copies(step, w.Capacity, missing)
	}
	return missing <= 0
}

// requestFor requests approval for workers that no request for the step has named yet. Once all have been named, it requests it
// again for those that were approved before, since the rules of the approval service don't change. If none were, other steps
// ask first.
func (r *requester) requestFor(d chutedemand.Demand, contested bool) {
	a := r.approval(d.ID)
	workers := r.workersToName(d, a, contested)
	if len(workers) == 0 && !a.valid(r.Now) {
		refused := len(a.requested) > 0 && len(a.tickets) == 0
		a.requested = nil
		if refused {
			a.retryAt = r.Now.Add(allRefusedDelay)
			r.state.approvals = r.state.approvals.Set(d.ID, a)
			return
		}
		workers = r.workersToName(d, a, contested)
	}
	if len(workers) == 0 {
		return
	}
	request := chuteaction.RequestApproval{Step: d.ID, Workers: workers}
	r.state.service, request.Timeout = r.state.service.withRequest(d.ID, len(workers), r.figures(d.ID.Job), r.Now)
	r.state.approvals = r.state.approvals.Set(d.ID, a.withRequest(workers))
	r.Log(component, "approval of workers requested for step", d.ID.Job, "step", d.ID, "workers", len(workers),
		"timeout", request.Timeout, "in-flight", len(r.state.service.inFlight))
	r.Emit(request)
}

// figures returns what the configuration states of the approval service for the job's queue.
func (r *requester) figures(id chutegraph.JobID) chutecatalog.Approval {
	j, _ := r.Job(id)
	if q, ok := r.Environment.Catalog.Queue(j.Queue); ok && q.Approval != nil {
		return *q.Approval
	}
	return chutecatalog.Approval{}
}
