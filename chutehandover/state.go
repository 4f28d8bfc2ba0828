package chutehandover

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutemembership"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

const component = "scheduler"

// Delay is how long after its takeover a scheduler hears of workers before the leader's row tells what it has heard.
const Delay = time.Second

// State is what the leader's row tells a successor of the workers. It is immutable.
type State struct {
	takeover    chuteaction.Handover // as the takeover wrote it
	complete    bool                 // what follows holds all workers that a successor must know of
	finalLeases finalLeases
	unlisted    []chuteaction.UnlistedWorker // never modified
}

// New returns the state after a takeover that wrote the handover.
func New(takeover chuteaction.Handover) State {
	return State{takeover: takeover, finalLeases: finalLeases{declared: takeover.FinalLeases}}
}

// Concerns reports whether a successor must be told of the worker, or has to find out whether it has ended.
func Concerns(t *chuterunner.Transition, w chutepool.Worker) bool {
	return w.RunCount() > 0 && (!w.Listed || leaseIsFinal(w) || chutemembership.Silent(t, w))
}

// Tick finds, among the workers that concern a successor, what the next write of the leader's row tells of them.
func (s State) Tick(t *chuterunner.Transition, workers []chutepool.Worker) State {
	if t.Now.Sub(t.LeaderSince) < Delay || !t.Environment.StoreClock.Known() {
		return s
	}
	s.complete = true
	s.finalLeases.due, s.unlisted = nil, nil
	for _, former := range workers {
		w, ok := t.Pool.Get(former.ID)
		if !ok || w.RunCount() == 0 {
			continue
		}
		if leaseIsFinal(w) && t.Environment.StoreClock.ReadSince(w.LeaseExtendedAt) {
			s.finalLeases.due = append(s.finalLeases.due, s.finalLeases.leaseOf(t, w))
		}
		if !w.Listed && w.Address != "" && w.AnsweredFrom == w.Address {
			s.unlisted = append(s.unlisted, chuteaction.UnlistedWorker{Worker: w.ID, Address: w.Address})
		}
	}
	return s
}

// NotExtended returns the workers whose leases must not be extended, or nil for none.
func (s State) NotExtended() map[chutetask.WorkerID]bool {
	return s.finalLeases.workers()
}

// Next returns what the next write of the leader's row tells a successor.
func (s State) Next() chuteaction.Handover {
	if !s.complete {
		return s.takeover
	}
	return bounded(chuteaction.Handover{FinalLeases: s.finalLeases.due, Unlisted: s.unlisted})
}

// WithWritten returns the state after the start of a write of the leader's row that tells the handover.
func (s State) WithWritten(written chuteaction.Handover) State {
	s.finalLeases.written = written.FinalLeases
	return s
}

// WithRecorded returns the state after the success of that write.
func (s State) WithRecorded() State {
	s.finalLeases.declared = s.finalLeases.written
	return s
}

// Outdated reports whether the leader's row declares the lease of a worker final that answers again.
func (s State) Outdated(pool chutepool.Pool) bool {
	for _, l := range s.finalLeases.declared {
		w, ok := pool.Get(l.Worker)
		if _, due := chuteaction.FinalLeaseOf(s.finalLeases.due, l.Worker); ok && w.Contacted && w.RunCount() > 0 && !due {
			return true
		}
	}
	return false
}
