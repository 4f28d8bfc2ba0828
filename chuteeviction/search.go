package chuteeviction

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Search is the search for groups that make room for several tasks, one after the other.
type Search struct {
	*Groups
	freed    map[chutetask.WorkerID]chutecapacity.Resources // by the selected groups
	selected map[int]bool                                   // indexes of the groups to evict
}

// Search begins a search in which no group is selected yet.
func (g *Groups) Search() *Search {
	return &Search{Groups: g, freed: make(map[chutetask.WorkerID]chutecapacity.Resources), selected: make(map[int]bool)}
}

// Cheapest returns the indexes of the groups to evict so that the resources fit on the worker, which has some free once all runs
// that are being stopped have ended, and their total price. It returns false if they don't fit even without all eligible groups.
func (s *Search) Cheapest(worker chutetask.WorkerID, free, need chutecapacity.Resources, e Eligible) ([]int, float64, bool) {
	free = free.Plus(s.freed[worker])
	if need.Fits(free) {
		return nil, 0, true
	}
	var groups []int
	cost := 0.0
	for _, g := range s.candidates(worker, e) {
		if s.spared(g, groups) {
			continue
		}
		free = free.Plus(s.groups[g].reservedOn(worker))
		groups = append(groups, g)
		cost += e.price(s.groups[g])
		if need.Fits(free) {
			groups, cost = s.dropUnneeded(groups, cost, worker, need, free, e)
			return groups, cost, true
		}
	}
	return nil, 0, false
}

// Select marks the groups as to be evicted and counts what they reserve as free.
func (s *Search) Select(groups []int) {
	for _, g := range groups {
		s.selected[g] = true
		for _, m := range s.groups[g].Members {
			s.freed[m.Worker] = s.freed[m.Worker].Plus(m.Reserved)
		}
	}
}

// candidates returns the eligible groups on the worker, the one with the lowest cost per core first.
func (s *Search) candidates(worker chutetask.WorkerID, e Eligible) []int {
	var candidates []int
	for _, g := range s.onWorker[worker] {
		if !s.evicted[g] && !s.selected[g] && e.allows(s.groups[g]) && !slices.Contains(candidates, g) {
			candidates = append(candidates, g)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int {
		return cmp.Compare(s.costPerCore(a, worker, e), s.costPerCore(b, worker, e))
	})
	return candidates
}

// spared reports whether the group must go on beside the chosen ones, since it lasts and no more of its step may be stopped.
func (s *Search) spared(group int, chosen []int) bool {
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

// costPerCore returns the cost of evicting the group for each core that this frees on the worker.
func (s *Search) costPerCore(group int, worker chutetask.WorkerID, e Eligible) float64 {
	return (e.price(s.groups[group]) + e.leastPrice()) / max(1, s.groups[group].reservedOn(worker).Cores())
}

// dropUnneeded leaves out the groups that need not be evicted for the resources to fit, trying the most expensive
// first.
func (s *Search) dropUnneeded(
	groups []int, cost float64, worker chutetask.WorkerID, need, free chutecapacity.Resources, e Eligible,
) ([]int, float64) {
	for i := len(groups) - 2; i >= 0; i-- {
		without := free.Minus(s.groups[groups[i]].reservedOn(worker))
		if need.Fits(without) {
			free = without
			cost -= e.price(s.groups[groups[i]])
			groups = slices.Delete(groups, i, i+1)
		}
	}
	return groups, cost
}
