package chuteplacement

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
)

// nominate reserves the capacity of the workers for the waiting tasks of the demand, in this pass and the next.
func (p *pass) nominate(d chutedemand.Demand, placed []int) {
	for i, w := range placed {
		p.decisions = append(p.decisions, Nominate{Task: d.Task(i), Worker: p.workers[w].ID})
	}
	p.reserve(d, placed)
	p.useQuota(d)
}

// startOrKeep starts the demand on the workers that it has claimed if all their capacity is free now, and keeps the claim
// otherwise. A demand that a guarantee covers may have claimed workers of several racks.
func (p *pass) startOrKeep(d chutedemand.Demand, claim []int) {
	p.reserve(d, claim)
	none := chutecapacity.Resources{}
	free := !slices.ContainsFunc(claim, func(w int) bool { return !none.Fits(p.workers[w].free) })
	p.unreserve(d, claim)
	if free {
		p.start(d, claim)
		return
	}
	p.nominate(d, claim)
}

// claimNominated reserves the capacity that an earlier pass nominated for the demands, where it is still about to become
// free. A gang gets it for all of its members or for none.
func (p *pass) claimNominated(demands []chutedemand.Demand) {
	for _, d := range demands {
		if !d.MayPreempt || len(d.Nominated) == 0 {
			continue
		}
		d, _ = d.SplitByQuota(p.quotas.Quotas)
		if d.Step.Gang {
			p.claim(d)
			continue
		}
		for i := range d.Indexes {
			p.claim(d.Single(i))
		}
	}
}

// claim reserves the nominated capacity for all waiting tasks of the demand, unless it won't be there for one of them.
func (p *pass) claim(d chutedemand.Demand) {
	var placed []int
	for _, index := range d.Indexes {
		w, ok := p.index[d.Nominated[index]]
		if !ok || !d.Step.Reserved().Fits(p.workers[w].freeAt(freeAfterEnds)) || !p.antiAffinityAllows(d, w, 0) {
			p.unreserve(d, placed)
			return
		}
		p.reserve(d, []int{w})
		placed = append(placed, w)
	}
	for i, w := range placed {
		p.claims[d.Task(i)] = w
	}
}

// claimed reports whether nominated capacity is kept for all waiting tasks of the demand.
func (p *pass) claimed(d chutedemand.Demand) bool {
	for i := range d.Indexes {
		if _, ok := p.claims[d.Task(i)]; !ok {
			return false
		}
	}
	return true
}

// anyClaimed reports whether nominated capacity is kept for a waiting task of the demand.
func (p *pass) anyClaimed(d chutedemand.Demand) bool {
	return slices.ContainsFunc(d.Indexes, func(i int) bool {
		_, ok := p.claims[chutegraph.TaskID{StepID: d.ID, Index: i}]
		return ok
	})
}

// releaseClaim gives up the claims of the demand's waiting tasks, and returns their workers, or nil if there are none.
func (p *pass) releaseClaim(d chutedemand.Demand) []int {
	if !p.claimed(d) {
		return nil
	}
	placed := make([]int, len(d.Indexes))
	for i := range d.Indexes {
		placed[i] = p.claims[d.Task(i)]
		delete(p.claims, d.Task(i))
	}
	p.unreserve(d, placed)
	return placed
}
