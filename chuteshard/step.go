package chuteshard

import (
	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chuterecovery"
)

// Outcome is the result of handling one event.
type Outcome struct {
	State    State
	Effects  []chuteevent.Effect
	Fenced   bool // another host has taken the shard; the caller must drop the state
	Outdated bool // the call was refused because of the document, which may have changed; nothing else has happened
}

func (t *transition) outcome() Outcome {
	t.state.gangs = t.State
	return Outcome{State: t.state, Effects: t.Effects, Fenced: t.fenced, Outdated: t.outdated}
}

// Tick does the work that is due by time: polls, deadlines, planning and deletion of old jobs.
func (s State) Tick(environment Environment) Outcome {
	t := newTransition(s, environment)
	t.syncTopology()
	t.syncDocument()
	t.checkWorkers()
	if s.recovered {
		t.advanceJobs()
		t.plan()
		t.deleteOldJobs()
	}
	return t.outcome()
}

// Call handles a call to the shard.
func (s State) Call(environment Environment, origin chuteevent.Origin, call chutecall.ShardCall) Outcome {
	t := newTransition(s, environment)
	t.handleCall(origin, call)
	return t.outcome()
}

// WorkerEvent handles a worker's report or the end of an order. It ignores events of earlier epochs.
func (s State) WorkerEvent(environment Environment, event chuteevent.WorkerEvent) Outcome {
	t := newTransition(s, environment)
	switch e := event.(type) {
	case chuteevent.WorkerPolled:
		if e.Epoch == s.Epoch() && s.recovered {
			t.handlePolled(e)
		}
	case chuteevent.OrderEnded:
		if e.Epoch == s.Epoch() {
			t.HandleOrderEnd(e)
		}
	}
	return t.outcome()
}

// Owns reports whether this owner started the store operation.
func (s State) Owns(token chuteevent.Token) bool {
	_, ok := s.gangs.Pending(token)
	return ok
}

// HandleTableEvent handles the end of a store operation. A refused commit means that another host has taken the shard. An
// operation that had no effect is started again, or the call that waited for it is refused.
func (s State) HandleTableEvent(environment Environment, event chuteevent.TableEvent) Outcome {
	t := newTransition(s, environment)
	p, ok := s.gangs.Pending(event.Operation())
	if !ok {
		return t.outcome()
	}
	t.State = t.State.WithoutPending(event.Operation())
	if write, ok := p.(chutegang.PendingLimitWrite); ok {
		if e, committed := event.(chuteevent.TableCommitted); committed {
			t.state.limits = t.state.limits.HandleCommitted(t.Transition, write, e)
			return t.outcome()
		}
	}
	switch e := event.(type) {
	case chuteevent.TableCommitted:
		if e.Accepted {
			t.handleCommit(p)
		} else {
			t.fenced = true
			t.rejectPending(p)
		}
	case chuteevent.TableRead:
		t.handleRead(p, e)
	case chuteevent.TableFailed:
		t.retryPending(p)
	}
	return t.outcome()
}

// handleRead handles the rows of a read: of the shard's jobs after a takeover, or of a workspace's limit.
func (t *transition) handleRead(p chutegang.Pending, e chuteevent.TableRead) {
	if read, ok := p.(chutegang.PendingLimitRead); ok {
		t.state.limits = t.state.limits.HandleRead(t.Transition, read.Workspace, e.Rows)
		return
	}
	t.state.recovered = true
	chuterecovery.Recover(t.Transition, e.Rows)
}
