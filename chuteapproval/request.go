package chuteapproval

import (
	"cmp"
	"maps"
	"slices"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// lookup is the working copy of the state while the tickets of a step are looked up.
type lookup struct {
	*chuteledger.Transition
	state State
}

// tickets returns the tickets that may be used for the step now. If there are none, it requests approval and returns
// nil. If their workers cannot hold the step, it also requests approval for workers that no request has named.
func (l *lookup) tickets(j chutetask.Job, id chutegraph.StepID) map[chutetask.WorkerID]string {
	a, _ := l.state.approvals.Get(id)
	if !a.valid(l.Now) {
		l.requestApproval(j, id, a)
		return nil
	}
	if l.mayRequest(a) && !l.holdStep(a.tickets, j.Step(id)) {
		l.sendRequest(id, a, l.unnamedWorkers(j, a))
	}
	return a.tickets
}

// holdStep reports whether the workers with a ticket can hold a task of the step, or its whole gang, if nothing else runs
// there.
func (l *lookup) holdStep(tickets map[chutetask.WorkerID]string, step chutegraph.Step) bool {
	missing := 1
	if step.Gang {
		missing = step.Count
	}
	for id := range tickets {
		w, ok := l.Pool.Get(id)
		if !ok || !l.MayStartOn(w) || !w.HasLabel(step.Label) {
			continue
		}
		limit := missing
		if step.AntiAffinity > 0 {
			limit = min(limit, step.AntiAffinity)
		}
		missing -= step.Reserved().Copies(w.Capacity, limit)
	}
	return missing <= 0
}

// mayRequest reports whether a request for the step may be sent now.
func (l *lookup) mayRequest(a approval) bool {
	return !a.pending && !l.Now.Before(a.retryAt) && l.state.pendingRequests < maxPendingRequests
}

// requestApproval requests approval for workers that no request has named yet, the one with the most free capacity
// first. Once all have been named, it requests it again for those that were approved before, since the rules of the
// approval service don't change. If none were, other steps ask first.
func (l *lookup) requestApproval(j chutetask.Job, id chutegraph.StepID, a approval) {
	if !l.mayRequest(a) {
		return
	}
	workers := l.workersToRequest(j, a)
	if len(workers) == 0 {
		refused := len(a.requested) > 0 && len(a.tickets) == 0
		a.requested = nil
		if refused {
			a.retryAt = l.Now.Add(allRefusedDelay)
			l.state.approvals = l.state.approvals.Set(id, a)
			return
		}
		workers = l.workersToRequest(j, a)
	}
	l.sendRequest(id, a, workers)
}

// sendRequest requests approval for the workers, if there are any.
func (l *lookup) sendRequest(id chutegraph.StepID, a approval, workers []chutetask.WorkerID) {
	if len(workers) == 0 {
		return
	}
	requested := make(map[chutetask.WorkerID]bool, len(a.requested)+len(workers))
	for w := range a.requested {
		requested[w] = true
	}
	for _, w := range workers {
		requested[w] = true
	}
	a.requested, a.pending = requested, true
	l.state.approvals = l.state.approvals.Set(id, a)
	l.state.pendingRequests++
	l.Log(component, "approval of workers requested for step", id.Job, "step", id, "workers", len(workers))
	l.Emit(chuteaction.RequestApproval{Step: id, Workers: workers})
}

// workersToRequest returns the workers that the next request for the step names. With none named so far, these are the
// approved ones if there are any.
func (l *lookup) workersToRequest(j chutetask.Job, a approval) []chutetask.WorkerID {
	if a.requested == nil && len(a.tickets) > 0 {
		approved := slices.Sorted(maps.Keys(a.tickets))
		return approved[:min(len(approved), approvalBatch)]
	}
	return l.unnamedWorkers(j, a)
}

// unnamedWorkers returns workers that no request for the step has named yet, as many as a request may name.
func (l *lookup) unnamedWorkers(j chutetask.Job, a approval) []chutetask.WorkerID {
	var free []chutepool.Worker
	for _, w := range l.Pool.All() {
		if w.Service == l.Service(j) && w.Usable(l.Now) && l.MayStartOn(w) && !a.requested[w.ID] {
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
