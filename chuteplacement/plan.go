package chuteplacement

import (
	"monsoonchute.example/monsoonchute/chutegraph"
)

// Plan decides on each demand in turn: it starts what fits, and makes room for what may preempt. Room that a
// preempting demand waits for is not given to later ones.
func Plan(view View) []Decision {
	p := newPass(view)
	for _, d := range view.Demands {
		p.serve(d)
	}
	return p.decisions
}

func (p *pass) serve(d Demand) {
	if d.Step.Gang {
		p.serveWhole(d)
		return
	}
	for _, index := range d.Indexes {
		if p.cannotFit(d) {
			return
		}
		single := d
		single.Indexes = []int{index}
		p.serveWhole(single)
		p.remember(d, single)
	}
}

// serveWhole starts all waiting tasks of the demand at once, or none of them.
func (p *pass) serveWhole(d Demand) {
	if placed, ok := p.place(d, roomNow); ok {
		p.start(d, placed)
		return
	}
	if !d.Preempts {
		p.noteFull(d)
		return
	}
	if placed, ok := p.place(d, roomLater); ok {
		p.reserve(d, placed)
		return
	}
	p.preempt(d)
}

func (p *pass) start(d Demand, placed []int) {
	for i, w := range placed {
		id := chutegraph.TaskID{StepID: d.ID, Index: d.Indexes[i]}
		p.decisions = append(p.decisions, Start{Task: id, Worker: p.rooms[w].ID})
		p.placedOn[d.ID] = append(p.placedOn[d.ID], w)
	}
	p.reserve(d, placed)
}

// reserve keeps room for the demand until the end of the pass.
func (p *pass) reserve(d Demand, placed []int) {
	need := d.Step.Reserved()
	for _, w := range placed {
		p.rooms[w].now = p.rooms[w].now.Minus(need)
		p.rooms[w].later = p.rooms[w].later.Minus(need)
	}
}

// noteFull remembers that nothing of this request fits any more, so that later demands of the kind are not tried.
func (p *pass) noteFull(d Demand) {
	if !d.Step.Gang && !constrained(d) {
		p.full = append(p.full, fullRequest{service: d.Service, request: d.Step.Reserved()})
	}
}

func (p *pass) cannotFit(d Demand) bool {
	if d.Preempts {
		return false
	}
	need := d.Step.Reserved()
	for _, f := range p.full {
		if f.service == d.Service && f.request.Fits(need) {
			return true
		}
	}
	return false
}

func constrained(d Demand) bool {
	return d.Step.Label != "" || d.Step.DataRack != "" || d.Step.AntiAffinity > 0 || len(d.Avoid) > 0 || d.Tickets != nil
}

// remember carries what a single task of a step added to the load of workers over to the rest of the step.
func (p *pass) remember(d, single Demand) {
	if d.Step.AntiAffinity == 0 {
		return
	}
	for _, w := range p.placedOn[single.ID] {
		d.Present[p.rooms[w].ID]++
	}
	delete(p.placedOn, single.ID)
}
