package chuteplacement

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chutedemand"
)

// place returns a worker for each waiting task of the demand, and false if not all of them fit.
func (p *pass) place(d chutedemand.Demand, a availability) ([]int, bool) {
	for _, workers := range p.scopes(d) {
		if placed, ok := p.placeOn(d, workers, a); ok {
			return placed, true
		}
	}
	return nil, false
}

// scopes returns the sets of workers to try for the demand, the best set first. Tasks that should share a rack, or run
// in the rack of their data, may go to other workers only if no such rack could hold them even when empty.
func (p *pass) scopes(d chutedemand.Demand) [][]int {
	all := p.eligible(d, nil)
	switch {
	case d.Step.DataRack != "":
		return p.withFallback(d, p.rackScopes(d, d.Step.DataRack), all)
	case d.Step.SameRack && len(d.Indexes) > 1:
		return p.withFallback(d, p.rackScopes(d, ""), all)
	}
	return [][]int{all}
}

// withFallback returns the racks, and as the last set all workers if none of the racks could hold the demand when
// empty.
func (p *pass) withFallback(d chutedemand.Demand, racks [][]int, all []int) [][]int {
	for _, workers := range racks {
		if _, ok := p.placeOn(d, workers, wholeCapacity); ok {
			return racks
		}
	}
	return append(racks, all)
}

// rackScopes returns the eligible workers of each rack, the rack with the fewest free accelerators first. A name that
// is not empty selects a single rack.
func (p *pass) rackScopes(d chutedemand.Demand, name string) [][]int {
	type scope struct {
		workers []int
		free    int
	}
	var scopes []scope
	for _, r := range p.racks {
		if name != "" && r.name != name {
			continue
		}
		s := scope{workers: p.eligible(d, r.workers)}
		for _, w := range s.workers {
			s.free += p.workers[w].free.Accelerators
		}
		if len(s.workers) > 0 {
			scopes = append(scopes, s)
		}
	}
	slices.SortStableFunc(scopes, func(a, b scope) int { return cmp.Compare(a.free, b.free) })
	sets := make([][]int, len(scopes))
	for i, s := range scopes {
		sets[i] = s.workers
	}
	return sets
}

// eligible returns the workers that may run the demand, among those given or, for nil, among all.
func (p *pass) eligible(d chutedemand.Demand, among []int) []int {
	var workers []int
	appendIfEligible := func(i int) {
		w := p.workers[i]
		_, allowed := d.Tickets[w.ID]
		allowed = allowed || d.Tickets == nil
		if allowed && w.Service == d.Service && !d.Excluded[w.ID] && (d.Step.Label == "" || slices.Contains(w.Labels, d.Step.Label)) {
			workers = append(workers, i)
		}
	}
	if among != nil {
		for _, i := range among {
			appendIfEligible(i)
		}
		return workers
	}
	for i := range p.workers {
		appendIfEligible(i)
	}
	return workers
}

// placeOn returns one of the workers for each waiting task, and false if not all of them fit. Each task goes where it
// leaves the least capacity unused.
func (p *pass) placeOn(d chutedemand.Demand, workers []int, a availability) ([]int, bool) {
	need := d.Step.Reserved()
	if !p.haveCapacity(d, workers, a) {
		return nil, false
	}
	taken := make(map[int]int, len(d.Indexes))
	placed := make([]int, 0, len(d.Indexes))
	for range d.Indexes {
		best, bestScore := -1, 0.0
		for _, i := range workers {
			left := p.workers[i].freeAt(a).Minus(need.Times(taken[i]))
			if !need.Fits(left) || !p.antiAffinityAllows(d, i, taken[i]) {
				continue
			}
			score := left.Minus(need).UnusedShare(p.workers[i].Capacity) + p.workers[i].Penalty
			if best < 0 || score < bestScore {
				best, bestScore = i, score
			}
		}
		if best < 0 {
			return nil, false
		}
		taken[best]++
		placed = append(placed, best)
	}
	return placed, true
}

// haveCapacity reports whether the workers have capacity for as many tasks as wait. It is a quick check before the
// placement, which also looks at anti-affinity.
func (p *pass) haveCapacity(d chutedemand.Demand, workers []int, a availability) bool {
	need := d.Step.Reserved()
	missing := len(d.Indexes)
	for _, i := range workers {
		missing -= need.Copies(p.workers[i].freeAt(a), missing)
		if missing <= 0 {
			return true
		}
	}
	return false
}

// antiAffinityAllows reports whether the worker may get one more task of the step, beside those taken in this
// placement.
func (p *pass) antiAffinityAllows(d chutedemand.Demand, worker, taken int) bool {
	if d.Step.AntiAffinity == 0 {
		return true
	}
	there := d.TasksByWorker[p.workers[worker].ID] + p.waiting[waitingTask{step: d.ID, worker: worker}]
	return there+taken < d.Step.AntiAffinity
}
