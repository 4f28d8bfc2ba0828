package chutescheduler

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutemembership"
	"monsoonchute.example/monsoonchute/chutepool"
)

// handoverDelay is how long after its takeover a scheduler hears of workers before the leader's row tells what it has heard.
const handoverDelay = time.Second

// handover is what the leader's row tells a successor of the workers.
type handover struct {
	takeover    chuteaction.Handover // as the takeover wrote it
	complete    bool                 // what follows holds all workers that a successor must know of
	finalLeases finalLeases
	unlisted    []chuteaction.UnlistedWorker // never modified
}

// concernsSuccessor reports whether a successor must be told of the worker, or has to find out whether it has ended.
func (t *transition) concernsSuccessor(w chutepool.Worker) bool {
	return w.RunCount() > 0 && (!w.Listed || leaseIsFinal(w) || chutemembership.Silent(t.Transition, w))
}

// updateHandover finds, among the workers that concern a successor, what the next write of the leader's row tells of them.
func (t *transition) updateHandover(workers []chutepool.Worker) {
	if t.Now.Sub(t.LeaderSince) < handoverDelay || !t.Environment.StoreClock.Known() {
		return
	}
	t.handover.complete = true
	t.handover.finalLeases.due, t.handover.unlisted = nil, nil
	for _, former := range workers {
		w, ok := t.Pool.Get(former.ID)
		if !ok || w.RunCount() == 0 {
			continue
		}
		if leaseIsFinal(w) && t.Environment.StoreClock.ReadSince(w.LeaseExtendedAt) {
			t.handover.finalLeases.due = append(t.handover.finalLeases.due, t.finalLease(w))
		}
		if !w.Listed && w.Address != "" && w.AnsweredFrom == w.Address {
			t.handover.unlisted = append(t.handover.unlisted, chuteaction.UnlistedWorker{Worker: w.ID, Address: w.Address})
		}
	}
	t.FinalLeases = t.handover.finalLeases.workers()
}

// Handover returns what the next write of the leader's row tells a successor.
func (s State) Handover() chuteaction.Handover {
	if !s.handover.complete {
		return s.handover.takeover
	}
	return chuteaction.Handover{FinalLeases: s.handover.finalLeases.due, Unlisted: s.handover.unlisted}
}

// WithHandoverWritten returns the state after a write of the leader's row that tells the handover.
func (s State) WithHandoverWritten(written chuteaction.Handover) State {
	s.handover.finalLeases.written = written.FinalLeases
	s.runner.FinalLeases = s.handover.finalLeases.workers()
	return s
}

// handleHandoverRecorded applies the success of that write.
func (t *transition) handleHandoverRecorded() {
	t.handover.finalLeases.declared = t.handover.finalLeases.written
	t.FinalLeases = t.handover.finalLeases.workers()
}
