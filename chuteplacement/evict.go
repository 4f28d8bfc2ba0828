package chuteplacement

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
)

// evictionPlan is a set of run groups whose eviction frees enough capacity for all waiting tasks of a demand.
type evictionPlan struct {
	groups []int   // indexes of the run groups to evict
	placed []int   // index of the worker for each waiting task
	cost   float64 // sum of the groups' costs and of the workers' penalties
}

// preempt evicts the cheapest run groups that free enough capacity for the demand, and reports whether there are such
// groups. They have a lower priority and don't last, unless only others make room for a demand that a guarantee covers.
func (p *pass) preempt(d Demand) bool {
	plan, ok := p.cheapestScope(d, p.scopes(d), eligible{above: d.Priority})
	if !ok && d.Guaranteed {
		plan, ok = p.cheapestScope(d, p.scopes(d), eligible{above: d.Priority, lasting: true})
	}
	if !ok && d.Guaranteed {
		plan, ok = p.cheapestScope(d, p.scopes(d), eligible{above: d.Priority - 1, lasting: true})
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

// eligible says which run groups may be evicted.
type eligible struct {
	above   int  // those whose priority number is above this one
	lasting bool // those of steps that last as well
}

// cheapestScope returns the cheapest plan for any of the sets of workers that evicts eligible groups alone, and false if there
// is none.
func (p *pass) cheapestScope(d Demand, scopes [][]int, e eligible) (evictionPlan, bool) {
	var best evictionPlan
	found := false
	for _, workers := range scopes {
		plan, ok := p.cheapestEvictions(d, workers, e)
		if ok && (!found || plan.cost < best.cost) {
			best, found = plan, true
		}
	}
	return best, found
}

// evict decides to stop all runs of the group, and counts what they reserve as free once they have stopped.
func (p *pass) evict(group int, d Demand) {
	p.evicted[group] = true
	for _, m := range p.groups[group].Members {
		p.decisions = append(p.decisions, Evict{Run: m.Run, Worker: m.Worker, For: d.ID, Cost: p.groups[group].Cost})
		if w, ok := p.index[m.Worker]; ok {
			p.workers[w].afterStops = p.workers[w].afterStops.Plus(m.Reserved)
			p.workers[w].afterEnds = p.workers[w].afterEnds.Plus(m.Reserved)
		}
	}
}

// cheapestEvictions places the waiting tasks one by one, each on the worker where freeing capacity for it costs least.
// It returns false if the workers can't hold all of them.
func (p *pass) cheapestEvictions(d Demand, workers []int, e eligible) (evictionPlan, bool) {
	need := d.Step.Reserved()
	search := &evictionSearch{pass: p, freed: make(map[int]chutecapacity.Resources), selected: make(map[int]bool)}
	taken := make(map[int]int, len(d.Indexes))
	var plan evictionPlan
	for range d.Indexes {
		best, bestCost := -1, 0.0
		var bestGroups []int
		for _, w := range workers {
			if !p.antiAffinityAllows(d, w, taken[w]) {
				continue
			}
			groups, cost, ok := search.cheapestGroups(w, need.Times(taken[w]+1), e)
			cost += p.workers[w].Penalty
			if ok && (best < 0 || cost < bestCost) {
				best, bestCost, bestGroups = w, cost, groups
			}
		}
		if best < 0 {
			return evictionPlan{}, false
		}
		search.selectGroups(bestGroups)
		taken[best]++
		plan.groups = append(plan.groups, bestGroups...)
		plan.placed = append(plan.placed, best)
		plan.cost += bestCost
	}
	return plan, true
}

// evictionSearch is the state of the search for one eviction plan.
type evictionSearch struct {
	*pass
	freed    map[int]chutecapacity.Resources // by index of the worker
	selected map[int]bool                    // indexes of the groups to evict
}

// cheapestGroups returns the groups to evict so that the resources fit on the worker, cheapest first, and their total
// cost. It returns false if they don't fit even without all eligible groups.
func (s *evictionSearch) cheapestGroups(worker int, need chutecapacity.Resources, e eligible) ([]int, float64, bool) {
	free := s.workers[worker].afterStops.Plus(s.freed[worker])
	if need.Fits(free) {
		return nil, 0, true
	}
	candidates := s.candidates(worker, e)
	var groups []int
	cost := 0.0
	for _, g := range candidates {
		if s.spared(g, groups) {
			continue
		}
		free = free.Plus(s.reservedBy(g, worker))
		groups = append(groups, g)
		cost += s.groups[g].Cost
		if need.Fits(free) {
			groups, cost = s.dropUnneeded(groups, cost, worker, need, free)
			return groups, cost, true
		}
	}
	return nil, 0, false
}

// candidates returns the eligible groups on the worker, the one with the lowest cost per core first.
func (s *evictionSearch) candidates(worker int, e eligible) []int {
	var candidates []int
	for _, g := range s.onWorker[s.workers[worker].ID] {
		if s.evicted[g] || s.selected[g] || s.groups[g].Lasting && !e.lasting {
			continue
		}
		if s.groups[g].Priority > e.above && !slices.Contains(candidates, g) {
			candidates = append(candidates, g)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int {
		return cmp.Compare(s.costPerCore(a, worker), s.costPerCore(b, worker))
	})
	return candidates
}

// spared reports whether the group must go on beside the chosen ones, since it lasts and no more of its step may be stopped.
func (s *evictionSearch) spared(group int, chosen []int) bool {
	if !s.groups[group].Lasting {
		return false
	}
	stopped := 0
	for i, g := range s.groups {
		if g.Lasting && g.step() == s.groups[group].step() && (s.evicted[i] || s.selected[i] || slices.Contains(chosen, i)) {
			stopped++
		}
	}
	return stopped >= s.groups[group].Spare
}

// step returns the step of the runs.
func (g RunGroup) step() chutegraph.StepID {
	return g.Members[0].Run.Task.StepID
}

// costPerCore returns the cost of evicting the group for each core that this frees on the worker.
func (s *evictionSearch) costPerCore(group, worker int) float64 {
	return (s.groups[group].Cost + 1) / max(1, s.reservedBy(group, worker).Cores())
}

// dropUnneeded leaves out the groups that need not be evicted for the resources to fit, trying the most expensive
// first.
func (s *evictionSearch) dropUnneeded(
	groups []int, cost float64, worker int, need, free chutecapacity.Resources,
) ([]int, float64) {
	for i := len(groups) - 2; i >= 0; i-- {
		without := free.Minus(s.reservedBy(groups[i], worker))
		if need.Fits(without) {
			free = without
			cost -= s.groups[groups[i]].Cost
			groups = slices.Delete(groups, i, i+1)
		}
	}
	return groups, cost
}

// reservedBy returns the resources that the group's runs reserve on the worker.
func (s *evictionSearch) reservedBy(group, worker int) chutecapacity.Resources {
	reserved := chutecapacity.Resources{}
	for _, m := range s.groups[group].Members {
		if m.Worker == s.workers[worker].ID {
			reserved = reserved.Plus(m.Reserved)
		}
	}
	return reserved
}

// selectGroups marks the groups as to be evicted and counts what they reserve as free.
func (s *evictionSearch) selectGroups(groups []int) {
	for _, g := range groups {
		s.selected[g] = true
		for _, m := range s.groups[g].Members {
			if w, ok := s.index[m.Worker]; ok {
				s.freed[w] = s.freed[w].Plus(m.Reserved)
			}
		}
	}
}
