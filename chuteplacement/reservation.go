package chuteplacement

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutedemand"
)

// mayReserve reports whether capacity may be reserved for the demand if it finds none: the first of its service that needs it, and
// further ones while a part of the capacity holds all.
func (p *pass) mayReserve(d chutedemand.Demand) bool {
	if !d.NeedsReservation {
		return false
	}
	r := p.reserved[d.Service]
	return r.None() || d.SharesReserved && r.With(d).Within(p.capacityOf(d.Service))
}

// capacityOf returns the capacity of the service's workers.
func (p *pass) capacityOf(service string) chutecapacity.Resources {
	if capacity, known := p.capacity[service]; known {
		return capacity
	}
	var capacity chutecapacity.Resources
	for _, w := range p.workers {
		if w.Service == service {
			capacity = capacity.Plus(w.Capacity)
		}
	}
	p.capacity[service] = capacity
	return capacity
}

// reserveWhileWaiting reserves capacity for all waiting tasks of the demand, so that later demands can't take it, unless they may
// use what is reserved. It takes the set of workers that can start the most tasks at once. It returns false if no set
// could hold the demand when empty.
func (p *pass) reserveWhileWaiting(d chutedemand.Demand) bool {
	var best []int
	for _, workers := range p.scopes(d) {
		chosen, ok := p.emptiestWorkers(d, workers)
		if ok && (best == nil || p.missing(d, chosen) < p.missing(d, best)) {
			best = chosen
		}
	}
	p.reserve(d, best)
	for _, w := range best {
		p.workers[w].reservation = p.workers[w].reservation.Plus(d.Step.Reserved())
	}
	return best != nil
}

// emptiestWorkers returns a worker for each waiting task, the workers with the largest free share first. It fills
// their whole capacity as if nothing ran there, and returns false if this doesn't hold all tasks.
func (p *pass) emptiestWorkers(d chutedemand.Demand, workers []int) ([]int, bool) {
	need := d.Step.Reserved()
	order := slices.Clone(workers)
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := p.workers[a], p.workers[b]
		return cmp.Compare(need.ScarcestShare(y.afterStops, y.Capacity), need.ScarcestShare(x.afterStops, x.Capacity))
	})
	var chosen []int
	for _, w := range order {
		copies := need.Copies(p.workers[w].Capacity, len(d.Indexes)-len(chosen))
		if d.Step.AntiAffinity > 0 {
			copies = min(copies, max(0, d.Step.AntiAffinity-d.TasksByWorker[p.workers[w].ID]))
		}
		for range copies {
			chosen = append(chosen, w)
		}
	}
	return chosen, len(chosen) == len(d.Indexes)
}

// missing returns the number of tasks for which capacity must still become free on the workers.
func (p *pass) missing(d chutedemand.Demand, chosen []int) int {
	tasks := make(map[int]int)
	for _, w := range chosen {
		tasks[w]++
	}
	missing := 0
	for w, n := range tasks {
		missing += n - d.Step.Reserved().Copies(p.workers[w].afterStops, n)
	}
	return missing
}
