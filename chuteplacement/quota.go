package chuteplacement

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutedemand"
)

// holdBack gives up the capacity that is kept for tasks which the quota of their workspace holds back. For a demand that a guarantee
// covers, it evicts runs of lower priority of the same workspace, unless it fits nowhere: then it would evict runs in pass after pass.
func (p *pass) holdBack(d chutedemand.Demand) {
	for i := range d.Indexes {
		p.releaseClaim(d.Single(i))
	}
	if d.Guaranteed && p.startFitsEmpty(d) {
		p.evictOwn(d)
	}
}

// startFitsEmpty reports whether the workers could hold the gang, or one task of a demand without a gang, if nothing ran there.
func (p *pass) startFitsEmpty(d chutedemand.Demand) bool {
	d.Tickets = nil // may be outstanding until the quota allows a start
	if !d.Step.Gang {
		d = d.Single(0)
	}
	return p.fitsEmpty(d)
}

// evictOwn evicts the cheapest runs of lower priority of the demand's workspace whose end lets its tasks start, all of a gang or as
// many as possible otherwise. What becomes free of the quota is kept for them in this pass.
func (p *pass) evictOwn(d chutedemand.Demand) {
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
