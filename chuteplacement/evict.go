package chuteplacement

import (
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chuteeviction"
)

// evictionPlan is a set of run groups whose eviction frees enough capacity for all waiting tasks of a demand.
type evictionPlan struct {
	groups []int   // indexes of the run groups to evict
	placed []int   // index of the worker for each waiting task
	cost   float64 // sum of the groups' costs and of the workers' penalties
}

// preempt evicts the cheapest run groups that free enough capacity for the demand, and reports whether there are such groups. They
// have a lower priority, are not long-running and, if the demand is weighed, lose no more value than it gains. A demand that a
// guarantee covers may also evict long-running ones if nothing else makes room.
func (p *pass) preempt(d chutedemand.Demand) bool {
	plan, ok := p.cheapestScope(d, p.scopes(d), chuteeviction.Eligible{Above: d.Priority, Weighed: d.Weighed, Gain: d.Gain})
	if !ok && d.Guaranteed {
		plan, ok = p.cheapestScope(d, p.scopes(d), chuteeviction.Eligible{Above: d.Priority, Lasting: true})
	}
	if !ok && d.Guaranteed {
		plan, ok = p.cheapestScope(d, p.scopes(d), chuteeviction.Eligible{Above: d.Priority - 1, Lasting: true})
	}
	if !ok {
		return false
	}
	for _, g := range plan.groups {
		p.evict(g, d)
	}
	p.nominate(d, plan.placed)
	return true
}

// cheapestScope returns the cheapest plan for any of the sets of workers that evicts eligible groups alone, and false if there
// is none.
func (p *pass) cheapestScope(d chutedemand.Demand, scopes [][]int, e chuteeviction.Eligible) (evictionPlan, bool) {
	var best evictionPlan
	found := false
	for _, workers := range scopes {
		plan, ok := p.cheapestEvictions(d, workers, e)
		if ok && e.Weighed && p.groups.Loss(plan.groups) > e.Gain {
			continue
		}
		if ok && (!found || plan.cost < best.cost) {
			best, found = plan, true
		}
	}
	return best, found
}

// evict decides to stop all runs of the group, and counts what they reserve as free once they have stopped.
func (p *pass) evict(group int, d chutedemand.Demand) {
	evicted := p.groups.Evict(group)
	p.quotas.Stop(evicted.Workspace, evicted.Requested)
	for _, m := range evicted.Members {
		p.decisions = append(p.decisions, Evict{Run: m.Run, Worker: m.Worker, For: d.ID, Cost: evicted.Cost})
		if w, ok := p.index[m.Worker]; ok {
			p.workers[w].afterStops = p.workers[w].afterStops.Plus(m.Reserved)
			p.workers[w].afterEnds = p.workers[w].afterEnds.Plus(m.Reserved)
		}
	}
}

// cheapestEvictions places the waiting tasks one by one, each on the worker where freeing capacity for it costs least.
// It returns false if the workers can't hold all of them.
func (p *pass) cheapestEvictions(d chutedemand.Demand, workers []int, e chuteeviction.Eligible) (evictionPlan, bool) {
	need := d.Step.Reserved()
	search := p.groups.Search()
	taken := make(map[int]int, len(d.Indexes))
	var plan evictionPlan
	for range d.Indexes {
		best, bestCost := -1, 0.0
		var bestGroups []int
		for _, w := range workers {
			if !p.antiAffinityAllows(d, w, taken[w]) {
				continue
			}
			groups, cost, ok := search.Cheapest(p.workers[w].ID, p.workers[w].afterStops, need.Times(taken[w]+1), e)
			cost += p.workers[w].Penalty * e.PenaltyPrice()
			if ok && (best < 0 || cost < bestCost) {
				best, bestCost, bestGroups = w, cost, groups
			}
		}
		if best < 0 {
			return evictionPlan{}, false
		}
		search.Select(bestGroups)
		taken[best]++
		plan.groups = append(plan.groups, bestGroups...)
		plan.placed = append(plan.placed, best)
		plan.cost += bestCost
	}
	return plan, true
}
