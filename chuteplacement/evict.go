package chuteplacement

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chutecapacity"
)

// removal is a set of groups whose end makes room for all waiting tasks of a demand.
type removal struct {
	groups []int
	placed []int
	cost   float64
}

// preempt stops the work of lower priority whose end costs least and makes room for the demand, and reports whether
// there is such work.
func (p *pass) preempt(d Demand) bool {
	var best removal
	found := false
	for _, workers := range p.scopes(d) {
		r, ok := p.removalWithin(d, workers)
		if ok && (!found || r.cost < best.cost) {
			best, found = r, true
		}
	}
	if !found {
		return false
	}
	for _, g := range best.groups {
		p.evict(g, d)
	}
	p.reserve(d, best.placed)
	return true
}

func (p *pass) evict(group int, d Demand) {
	p.gone[group] = true
	for _, m := range p.groups[group].Members {
		p.decisions = append(p.decisions, Evict{Run: m.Run, Worker: m.Worker, For: d.ID, Cost: p.groups[group].Cost})
		if w, ok := p.index[m.Worker]; ok {
			p.rooms[w].later = p.rooms[w].later.Plus(m.Reserved)
			p.rooms[w].soon = p.rooms[w].soon.Plus(m.Reserved)
		}
	}
}

// removalWithin adds tasks one by one, each on the worker where making room costs least.
func (p *pass) removalWithin(d Demand, workers []int) (removal, bool) {
	need := d.Step.Reserved()
	trial := &trial{pass: p, freed: make(map[int]chutecapacity.Resources), out: make(map[int]bool)}
	taken := make(map[int]int, len(d.Indexes))
	var r removal
	for range d.Indexes {
		best, bestCost := -1, 0.0
		var bestGroups []int
		for _, w := range workers {
			if !p.affinityAllows(d, w, taken[w]) {
				continue
			}
			groups, cost, ok := trial.cheapest(w, need.Times(taken[w]+1), d.Priority)
			cost += p.rooms[w].Penalty
			if ok && (best < 0 || cost < bestCost) {
				best, bestCost, bestGroups = w, cost, groups
			}
		}
		if best < 0 {
			return removal{}, false
		}
		trial.remove(bestGroups)
		taken[best]++
		r.groups = append(r.groups, bestGroups...)
		r.placed = append(r.placed, best)
		r.cost += bestCost
	}
	return r, true
}

// trial is a removal that is being put together.
type trial struct {
	*pass
	freed map[int]chutecapacity.Resources // by worker
	out   map[int]bool                    // groups
}

// cheapest returns the groups to stop so that the amount fits on the worker, cheapest first.
func (t *trial) cheapest(worker int, amount chutecapacity.Resources, priority int) ([]int, float64, bool) {
	left := t.rooms[worker].later.Plus(t.freed[worker])
	if amount.Fits(left) {
		return nil, 0, true
	}
	candidates := t.candidates(worker, priority)
	var groups []int
	cost := 0.0
	for _, g := range candidates {
		left = left.Plus(t.heldBy(g, worker))
		groups = append(groups, g)
		cost += t.groups[g].Cost
		if amount.Fits(left) {
			groups, cost = t.spareNeedless(groups, cost, worker, amount, left)
			return groups, cost, true
		}
	}
	return nil, 0, false
}

// candidates returns the groups of lower priority on the worker, in the order in which they are stopped.
func (t *trial) candidates(worker, priority int) []int {
	var candidates []int
	for _, g := range t.onWorker[t.rooms[worker].ID] {
		if !t.gone[g] && !t.out[g] && t.groups[g].Priority > priority && !slices.Contains(candidates, g) {
			candidates = append(candidates, g)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(t.worthOf(a, worker), t.worthOf(b, worker)) })
	return candidates
}

// worthOf is the cost of stopping a group for each core that it frees on the worker.
func (t *trial) worthOf(group, worker int) float64 {
	return (t.groups[group].Cost + 1) / max(1, t.heldBy(group, worker).Cores())
}

// spareNeedless leaves out groups without which the amount fits all the same, dearest first.
func (t *trial) spareNeedless(groups []int, cost float64, worker int, amount, left chutecapacity.Resources) ([]int, float64) {
	for i := len(groups) - 2; i >= 0; i-- {
		without := left.Minus(t.heldBy(groups[i], worker))
		if amount.Fits(without) {
			left = without
			cost -= t.groups[groups[i]].Cost
			groups = slices.Delete(groups, i, i+1)
		}
	}
	return groups, cost
}

func (t *trial) heldBy(group, worker int) chutecapacity.Resources {
	held := chutecapacity.Resources{}
	for _, m := range t.groups[group].Members {
		if m.Worker == t.rooms[worker].ID {
			held = held.Plus(m.Reserved)
		}
	}
	return held
}

func (t *trial) remove(groups []int) {
	for _, g := range groups {
		t.out[g] = true
		for _, m := range t.groups[g].Members {
			if w, ok := t.index[m.Worker]; ok {
				t.freed[w] = t.freed[w].Plus(m.Reserved)
			}
		}
	}
}
