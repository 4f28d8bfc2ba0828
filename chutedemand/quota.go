package chutedemand

import "monsoonchute.example/monsoonchute/chutequota"

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
