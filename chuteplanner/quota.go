package chuteplanner

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutefit"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutequota"
)

// countUse counts what the runs of each workspace request, if the configuration has quotas or weights.
func (p *pass) countUse() {
	p.weights = chutequota.Weights(p.Environment.Catalog)
	limited := chutequota.AnyLimit(p.Environment.Catalog)
	p.quotas = chutequota.Quotas{}.Draft()
	if p.weights == nil && !limited {
		return
	}
	p.use = chutequota.NewLedger(p.Pool.All(), p.weights != nil || p.usage.Due(p.Now))
	if limited {
		p.quotas = chutequota.New(p.Environment.Catalog, p.use).Draft()
	}
}

// reserveQuotas reserves the free part of each workspace's quota for the first of its demands that has waited for it for long: a gang
// as a whole, or one task. Without that, small tasks would take each part of the quota that becomes free. A gang for which capacity is
// reserved keeps its part of the quota meanwhile.
func (p *pass) reserveQuotas(quarantined, demands []chutedemand.Demand) {
	held := p.heldBeforeApproval()
	checker := chutefit.NewChecker(p.Transition.Transition, p.fitChecks)
	for _, list := range [][]chutedemand.Demand{quarantined, demands} {
		for _, d := range list {
			if !p.quotas.Limited(d.Workspace) {
				continue
			}
			since, known := p.heldSince[d.ID]
			if !known && !p.heldByQuota(d) {
				continue
			}
			if !known {
				since = p.Now
			}
			held[d.ID] = since
			due := d.NeedsReservation || p.heldByQuota(d) && p.Now.Sub(since) >= reservationWait(d)
			if request := d.StartRequest(); due && p.quotas.MayReserve(request) && checker.Fits(d) {
				p.quotas.Reserve(request)
			}
		}
	}
	p.heldSince, p.fitChecks = held, checker.Finish(held)
	p.logReservations()
}

// heldBeforeApproval returns since when a quota had held back the steps of which only the approval is outstanding now.
func (p *pass) heldBeforeApproval() map[chutegraph.StepID]time.Time {
	held := make(map[chutegraph.StepID]time.Time)
	for _, id := range p.awaitingApproval {
		if since, known := p.heldSince[id]; known {
			held[id] = since
		}
	}
	return held
}

// logReservations logs for which steps the quotas begin to be reserved.
func (p *pass) logReservations() {
	reserved := p.quotas.Reservations()
	for workspace, r := range reserved {
		if p.reservedFor[workspace] != r {
			p.Count("quota-reserved", "long-wait")
			p.Log(component, "quota is reserved for step", r.Job, "step", r, "workspace", workspace, "waited", p.Now.Sub(p.heldSince[r]))
		}
	}
	p.reservedFor = reserved
}

// heldByQuota reports whether the quota of its workspace keeps the demand from starting any task.
func (p *pass) heldByQuota(d chutedemand.Demand) bool {
	return !p.quotas.Allows(d.StartRequest())
}

// heldByUse reports whether the quota of its workspace would keep the demand from starting any task even if it might use what is
// reserved for others.
func (p *pass) heldByUse(d chutedemand.Demand) bool {
	r := d.StartRequest()
	r.MayUseReserved = true
	return !p.quotas.Allows(r)
}

// reportUse reports what the workspaces use, and how many tasks of the demands go on waiting.
func (p *pass) reportUse(lists ...[]chutedemand.Demand) {
	if !p.use.Counted() || !p.usage.Due(p.Now) {
		return
	}
	waiting := make(map[string]int)
	for _, demands := range lists {
		for _, d := range demands {
			waiting[d.Workspace] += len(p.stillWaiting(d))
		}
	}
	p.usage = p.usage.Next(p.Transition.Transition.Transition, p.Environment.Catalog, p.use, p.quotas.Quotas, waiting)
}

// End ends the reports of what the workspaces use.
func (p Planner) End(t *chuteaction.Transition) {
	p.usage.End(t)
}
