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

// Crowded reports whether a demand that may preempt might not find room at once, so that Plan should know the work in
// the way.
func NeedsRunGroups(view View) bool {
	p := newPass(view)
	for _, d := range view.Demands {
		if !d.MayPreempt {
			continue
		}
		placed, ok := p.place(d, roomNow)
		if !ok || d.Step.AntiAffinity > 0 {
			return true
		}
		p.reserve(d, placed)
	}
	return false
}

// maxPreemptTries bounds how many demands of one pass may look for work to stop.
const maxPreemptTries = 24

func (p *pass) serve(d Demand) {
	if !d.NeedsReservation && p.cannotFit(d) {
		return
	}
	if d.Step.Gang {
		p.serveWhole(d)
		return
	}
	p.serveEach(d)
}

// serveEach starts as many of the waiting tasks as there is room for, one by one.
func (p *pass) serveEach(d Demand) {
	single := d
	for i := range d.Indexes {
		single.Indexes = d.Indexes[i : i+1]
		if !p.serveWhole(single) {
			return
		}
	}
}

// serveWhole starts all waiting tasks of the demand at once, or none of them, and reports whether it has found room,
// be it now or once other work has stopped.
func (p *pass) serveWhole(d Demand) bool {
	if placed, ok := p.place(d, roomNow); ok {
		p.start(d, placed)
		return true
	}
	if d.MayPreempt && p.preemptTries < maxPreemptTries {
		for _, h := range []horizon{roomLater, roomSoon} {
			if placed, ok := p.place(d, h); ok {
				p.reserve(d, placed)
				return true
			}
		}
		p.preemptTries++
		if p.preempt(d) {
			return true
		}
	}
	p.failures = append(p.failures, d)
	if d.NeedsReservation && !p.holds {
		p.holds = true
		p.hold(d)
	}
	return false
}

func (p *pass) start(d Demand, placed []int) {
	for i, w := range placed {
		id := chutegraph.TaskID{StepID: d.ID, Index: d.Indexes[i]}
		p.decisions = append(p.decisions, Start{Task: id, Worker: p.rooms[w].ID})
		if d.Step.AntiAffinity > 0 {
			d.TasksByWorker[p.rooms[w].ID]++
		}
	}
	p.reserve(d, placed)
}

// reserve keeps room for the demand until the end of the pass.
func (p *pass) reserve(d Demand, placed []int) {
	need := d.Step.Reserved()
	for _, w := range placed {
		p.rooms[w].now = p.rooms[w].now.Minus(need)
		p.rooms[w].later = p.rooms[w].later.Minus(need)
		p.rooms[w].soon = p.rooms[w].soon.Minus(need)
	}
}

// cannotFit reports whether a demand that asked for no more, and had no fewer rights, has failed in this pass. Room only
// shrinks during a pass.
func (p *pass) cannotFit(d Demand) bool {
	for _, f := range p.failures {
		if dominates(f, d) {
			return true
		}
	}
	return false
}

// dominates reports whether whatever has no room for the failed demand has none for the other.
func dominates(failed, d Demand) bool {
	switch {
	case failed.Service != d.Service:
		return false
	case failed.Step.SameRack && len(failed.Indexes) > 1 && !sameShape(failed, d):
		return false // one that is too large for any rack may be spread
	case constrained(failed) || failed.Priority > d.Priority || d.MayPreempt && !failed.MayPreempt:
		return false
	case failed.Step.Gang && (!d.Step.Gang || len(failed.Indexes) > len(d.Indexes)):
		return false
	}
	return failed.Step.Reserved().Fits(d.Step.Reserved())
}

func sameShape(a, b Demand) bool {
	return b.Step.SameRack && len(a.Indexes) == len(b.Indexes) && a.Step.Reserved() == b.Step.Reserved()
}

func constrained(d Demand) bool {
	return d.Step.Label != "" || d.Step.DataRack != "" || d.Step.AntiAffinity > 0 || len(d.Avoid) > 0 || d.Tickets != nil
}
