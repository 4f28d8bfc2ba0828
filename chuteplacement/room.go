package chuteplacement

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutetask"
)

// pass is the working state of one planning pass.
type pass struct {
	rooms     []room
	index     map[chutetask.WorkerID]int
	racks     []rack
	groups    []RunGroup
	gone      []bool // by group: it is being stopped by this pass
	onWorker  map[chutetask.WorkerID][]int
	failures  []Demand // that found no room
	decisions []Decision
	// preemptTries is the number of demands that looked for work to stop.
	preemptTries int
	holds        bool // room is kept for a demand
}

// room is what a worker has left during the pass.
type room struct {
	Worker
	now   chutecapacity.Resources // free at this moment
	later chutecapacity.Resources // free once all that is being stopped has ended
	soon  chutecapacity.Resources // free once all that is expected to end soon has ended as well
}

type rack struct {
	name    string
	workers []int
}

// horizon tells which room counts.
type horizon int

const (
	roomNow horizon = iota
	roomLater
	roomSoon
	roomEmpty // as if nothing ran
)

func newPass(view View) *pass {
	p := &pass{
		index: make(map[chutetask.WorkerID]int), groups: view.RunGroups, gone: make([]bool, len(view.RunGroups)),
		onWorker: make(map[chutetask.WorkerID][]int),
	}
	byRack := make(map[string]int)
	for i, w := range view.Workers {
		p.rooms = append(p.rooms, room{
			Worker: w, now: w.Free, later: w.Free.Plus(w.Stopping), soon: w.Free.Plus(w.Stopping).Plus(w.Ending),
		})
		p.index[w.ID] = i
		at, ok := byRack[w.Rack]
		if !ok {
			at = len(p.racks)
			byRack[w.Rack] = at
			p.racks = append(p.racks, rack{name: w.Rack})
		}
		p.racks[at].workers = append(p.racks[at].workers, i)
	}
	for i, g := range view.RunGroups {
		for _, m := range g.Members {
			p.onWorker[m.Worker] = append(p.onWorker[m.Worker], i)
		}
	}
	return p
}

func (r room) at(h horizon) chutecapacity.Resources {
	switch h {
	case roomNow:
		return r.now
	case roomLater:
		return r.later
	case roomSoon:
		return r.soon
	case roomEmpty:
		return r.Capacity
	}
	return chutecapacity.Resources{}
}

// place returns a worker for each waiting task of the demand, and false if not all of them fit.
func (p *pass) place(d Demand, h horizon) ([]int, bool) {
	for _, workers := range p.scopes(d) {
		if placed, ok := p.placeWithin(d, workers, h); ok {
			return placed, true
		}
	}
	return nil, false
}

// scopes returns the sets of workers to try for the demand, best first. Tasks that must share a rack, and those whose
// data lies in one, are only tried elsewhere if the rack could not hold them even when empty.
func (p *pass) scopes(d Demand) [][]int {
	all := p.eligible(d, nil)
	switch {
	case d.Step.DataRack != "":
		return p.orElsewhere(d, p.rackScopes(d, d.Step.DataRack), all)
	case d.Step.SameRack && len(d.Indexes) > 1:
		return p.orElsewhere(d, p.rackScopes(d, ""), all)
	}
	return [][]int{all}
}

func (p *pass) orElsewhere(d Demand, racks [][]int, all []int) [][]int {
	for _, workers := range racks {
		if _, ok := p.placeWithin(d, workers, roomEmpty); ok {
			return racks
		}
	}
	return append(racks, all)
}

// rackScopes returns the eligible workers by rack, the rack with the least free accelerators first; a name selects one.
func (p *pass) rackScopes(d Demand, name string) [][]int {
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
			s.free += p.rooms[w].now.Accelerators
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

// eligible returns the workers, of those given or of all, that may run the demand at all.
func (p *pass) eligible(d Demand, of []int) []int {
	var workers []int
	consider := func(i int) {
		w := p.rooms[i]
		_, allowed := d.Tickets[w.ID]
		allowed = allowed || d.Tickets == nil
		if allowed && w.Service == d.Service && !d.Avoid[w.ID] && (d.Step.Label == "" || slices.Contains(w.Labels, d.Step.Label)) {
			workers = append(workers, i)
		}
	}
	if of != nil {
		for _, i := range of {
			consider(i)
		}
		return workers
	}
	for i := range p.rooms {
		consider(i)
	}
	return workers
}

// placeWithin finds room for all waiting tasks among the workers; each task goes where the least is left over.
func (p *pass) placeWithin(d Demand, workers []int, h horizon) ([]int, bool) {
	need := d.Step.Reserved()
	if !p.enough(d, workers, h) {
		return nil, false
	}
	taken := make(map[int]int, len(d.Indexes))
	placed := make([]int, 0, len(d.Indexes))
	for range d.Indexes {
		best, bestScore := -1, 0.0
		for _, i := range workers {
			left := p.rooms[i].at(h).Minus(need.Times(taken[i]))
			if !need.Fits(left) || !p.affinityAllows(d, i, taken[i]) {
				continue
			}
			score := leftover(left.Minus(need), p.rooms[i].Capacity) + p.rooms[i].Penalty
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

// enough reports whether the workers have room for as many tasks as wait, without looking at where each one goes.
func (p *pass) enough(d Demand, workers []int, h horizon) bool {
	need := d.Step.Reserved()
	missing := len(d.Indexes)
	for _, i := range workers {
		missing -= need.Copies(p.rooms[i].at(h), missing)
		if missing <= 0 {
			return true
		}
	}
	return false
}

func (p *pass) affinityAllows(d Demand, worker, taken int) bool {
	return d.Step.AntiAffinity == 0 || d.TasksByWorker[p.rooms[worker].ID]+taken < d.Step.AntiAffinity
}

// processorShare weighs the processor beside the accelerators when leftovers are compared.
const processorShare = 0.1

// leftover tells how much of a worker stays unused, from 0 to about 1.
func leftover(left, capacity chutecapacity.Resources) float64 {
	return share(left.Accelerators, capacity.Accelerators) + processorShare*share(left.Processor, capacity.Processor)
}

func share(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
