package chuteplanner

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteurgency"
)

// minReservationWait is the shortest wait of a gang after which capacity is reserved for it.
const minReservationWait = 4 * time.Second

// reservationWait returns the wait after which capacity or quota is reserved for the demand.
func reservationWait(d chutedemand.Demand) time.Duration {
	return max(minReservationWait, d.Step.Estimate)
}

// updateWaiting records since when each gang waits, and marks the gangs that need a reservation: without one, small tasks would take
// all capacity that becomes free, and a large gang would never start. That is once the latest start of a gang is near or, if its job
// has no objective, once it has waited long. Urgent gangs need none, because they preempt other runs.
func (p *pass) updateWaiting(demands []chutedemand.Demand) {
	usual := make(map[string]time.Duration) // run time by service
	updated := immutable.NewSortedMap[chutegraph.StepID, time.Time](chutegraph.StepOrder{})
	for i, d := range demands {
		if !d.Step.Gang || d.MayPreempt {
			continue
		}
		since, ok := p.waitingSince.Get(d.ID)
		if !ok {
			since = p.Now
		}
		updated = updated.Set(d.ID, since)
		if d.LatestStart.IsZero() {
			demands[i].NeedsReservation = p.Now.Sub(since) >= reservationWait(d)
			demands[i].SharesReserved = true
			continue
		}
		// A job that has aged is ordered as on time after its latest start, too.
		demands[i].SharesReserved = p.Now.Before(d.LatestStart) || d.Class == chuteurgency.OnTime
		if _, known := usual[d.Service]; !known {
			usual[d.Service] = p.UsualRunTime(d.Service)
		}
		demands[i].NeedsReservation = !p.Now.Add(usual[d.Service]).Before(d.LatestStart)
	}
	p.waitingSince = updated
}

// openReservations lets the demands that have stood for long use capacity that is kept for others.
func (p *pass) openReservations(demands []chutedemand.Demand) {
	for i, d := range demands {
		demands[i].MayUseReserved = p.standing.Overdue(d.ID, p.Now) && p.mayStand(d)
		demands[i].MayUseAnyRack = p.standing.AnyRack()
	}
}

// findStanding finds, now and then, the steps that stand after a pass. Capacity may be kept for a gang, in a rack, or on workers that
// are emptied for quarantines.
func (p *pass) findStanding(demands []chutedemand.Demand, emptied bool) {
	kept := emptied || p.quotas.Reserves() || slices.ContainsFunc(demands, keepsOrNeedsRack)
	p.standing = p.standing.Next(p.Transition.Transition, kept, func() []chutedemand.Demand {
		return slices.DeleteFunc(slices.Clone(demands), func(d chutedemand.Demand) bool { return !p.mayStand(d) || p.heldByUse(d) })
	})
}

// keepsOrNeedsRack reports whether capacity is kept for the demand, or it waits for a rack.
func keepsOrNeedsRack(d chutedemand.Demand) bool {
	return d.NeedsReservation || d.Step.SameRack || d.Step.DataRack != ""
}

// mayStand reports whether the demand must not wait beside capacity that is kept for others: nothing of its job runs, or each of its
// tasks counts by itself, since they last.
func (p *pass) mayStand(d chutedemand.Demand) bool {
	return d.Step.LongRunning || p.nothingRuns(d.ID.Job)
}

// nothingRuns reports whether no task of the job has a run.
func (p *pass) nothingRuns(id chutegraph.JobID) bool {
	j, ok := p.Live.Get(id)
	return ok && !j.AnyActive()
}
