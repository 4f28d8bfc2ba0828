package chuteplacement

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutequota"
)

// QuotaRequest returns what all waiting tasks of the demand ask of the quota of their workspace.
func (d Demand) QuotaRequest() chutequota.Request {
	return chutequota.Request{
		Workspace: d.Workspace, Step: d.ID, Priority: d.Priority, Guaranteed: d.Guaranteed, Each: d.Step.Request, Tasks: len(d.Indexes),
		MayUseReserved: d.MayUseReserved && (d.MayUseAnyRack || d.Step.LongRunning), // for tasks that last however full the service is
	}
}

// StartRequest returns what the gang, or one task of a demand without a gang, asks of the quota of its workspace.
func (d Demand) StartRequest() chutequota.Request {
	r := d.QuotaRequest()
	if !d.Step.Gang {
		r.Tasks = 1
	}
	return r
}

// SplitByQuota returns the part of the demand that the quotas allow to start, and the part that they hold back. A gang is allowed
// whole or not at all.
func (d Demand) SplitByQuota(quotas chutequota.Quotas) (allowed, held Demand) {
	if !quotas.Limited(d.Workspace) {
		return d, d.part(0, 0)
	}
	request, n := d.QuotaRequest(), 0
	switch {
	case d.Step.Gang && quotas.Allows(request):
		n = len(d.Indexes)
	case d.Step.Gang:
	case request.MayUseReserved && !d.Step.LongRunning:
		first := request
		request.MayUseReserved, first.Tasks = false, 1
		n = max(quotas.Copies(request), quotas.Copies(first)) // what is reserved is open to one task
	default:
		n = quotas.Copies(request)
	}
	return d.part(0, n), d.part(n, len(d.Indexes))
}

// part returns the demand of some of its waiting tasks.
func (d Demand) part(from, to int) Demand {
	d.Indexes = d.Indexes[from:to]
	return d
}

// holdBack gives up the capacity that is kept for tasks which the quota of their workspace holds back. For a demand that a guarantee
// covers, it evicts runs of lower priority of the same workspace, unless it fits nowhere: then it would evict runs in pass after pass.
func (p *pass) holdBack(d Demand) {
	for i := range d.Indexes {
		p.releaseClaim(d.single(i))
	}
	if d.Guaranteed && p.startFitsEmpty(d) {
		p.evictOwn(d)
	}
}

// startFitsEmpty reports whether the workers could hold the gang, or one task of a demand without a gang, if nothing ran there.
func (p *pass) startFitsEmpty(d Demand) bool {
	d.Tickets = nil // may be outstanding until the quota allows a start
	if !d.Step.Gang {
		d = d.single(0)
	}
	return p.fitsEmpty(d)
}

// evictOwn evicts the cheapest runs of lower priority of the demand's workspace whose end lets its tasks start, all of a gang or as
// many as possible otherwise. What becomes free of the quota is kept for them in this pass.
func (p *pass) evictOwn(d Demand) {
	request := d.QuotaRequest()
	groups, requested := p.groups.OfWorkspace(d.Workspace, d.Priority)
	count := p.quotas.CopiesAfter(request, requested)
	if count == 0 || d.Step.Gang && count < len(d.Indexes) {
		return
	}
	request.Tasks = count
	enough := func(ended chutecapacity.Resources) bool { return p.quotas.CopiesAfter(request, ended) == count }
	chosen := 0
	var ended chutecapacity.Resources
	for chosen < len(groups) && !enough(ended) {
		ended = ended.Plus(p.groups.Requested(groups[chosen]))
		chosen++
	}
	groups = groups[:chosen]
	for i := len(groups) - 2; i >= 0; i-- { // leave out those that need not be evicted, the most expensive first
		if without := ended.Minus(p.groups.Requested(groups[i])); enough(without) {
			ended = without
			groups = slices.Delete(groups, i, i+1)
		}
	}
	for _, g := range groups {
		p.evict(g, d)
	}
	p.quotas.Use(d.Workspace, d.ID, d.Step.Request.Times(count))
}
