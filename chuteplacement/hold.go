package chuteplacement

import (
	"cmp"
	"slices"
)

// hold keeps the room for all waiting tasks of the demand from later ones, on the workers that have the least left to end
// before it fits.
func (p *pass) hold(d Demand) {
	var best []int
	for _, workers := range p.scopes(d) {
		chosen, ok := p.nearest(d, workers)
		if ok && (best == nil || p.missing(d, chosen) < p.missing(d, best)) {
			best = chosen
		}
	}
	p.reserve(d, best)
}

// nearest returns a worker for each waiting task, those with the most room first, as if all of them were empty.
func (p *pass) nearest(d Demand, workers []int) ([]int, bool) {
	need := d.Step.Reserved()
	order := slices.Clone(workers)
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(p.rooms[b].later.Accelerators, p.rooms[a].later.Accelerators)
	})
	var chosen []int
	for _, w := range order {
		copies := need.Copies(p.rooms[w].Capacity, len(d.Indexes)-len(chosen))
		if d.Step.AntiAffinity > 0 {
			copies = min(copies, max(0, d.Step.AntiAffinity-d.TasksByWorker[p.rooms[w].ID]))
		}
		for range copies {
			chosen = append(chosen, w)
		}
	}
	return chosen, len(chosen) == len(d.Indexes)
}

// missing returns how many accelerators must still become free on the workers before the demand fits.
func (p *pass) missing(d Demand, chosen []int) int {
	need := make(map[int]int)
	for _, w := range chosen {
		need[w] += d.Step.Request.Accelerators
	}
	missing := 0
	for w, n := range need {
		missing += max(0, n-p.rooms[w].later.Accelerators)
	}
	return missing
}
