package chuteshard

import (
	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chutetable"
)

// Outcome is what a step tells its caller beside the new state.
type Outcome struct {
	State   State
	Effects []chuteevent.Effect
	Fenced  bool // another owner has taken the shard; the state must be dropped
}

func (t *turn) outcome() Outcome {
	t.state.gangs = t.State
	return Outcome{State: t.state, Effects: t.Effects, Fenced: t.fenced}
}

// Tick lets time pass: polls, deadlines and planning.
func (s State) Tick(environment Environment) Outcome {
	t := newTurn(s, environment)
	t.followTopology()
	t.followDocument()
	t.visitWorkers()
	if s.recovered {
		t.advanceJobs()
		t.plan()
		t.retire()
	}
	return t.outcome()
}

// Call handles a call to the shard.
func (s State) Call(environment Environment, id chuteevent.CallID, from chutetable.HostID, call chutecall.ShardCall) Outcome {
	t := newTurn(s, environment)
	t.call(chutegang.Origin{ID: id, From: from}, call)
	return t.outcome()
}

// Worker handles a worker's report or the end of an order.
func (s State) WorkerEvent(environment Environment, event chuteevent.WorkerEvent) Outcome {
	t := newTurn(s, environment)
	switch e := event.(type) {
	case chuteevent.WorkerPolled:
		if e.Epoch == s.Epoch() && s.recovered {
			t.polled(e)
		}
	case chuteevent.OrderEnded:
		if e.Epoch == s.Epoch() {
			t.HandleOrderEnd(e)
		}
	}
	return t.outcome()
}

// Owns reports whether the token belongs to a store operation of this owner.
func (s State) Owns(token chuteevent.Token) bool {
	_, ok := s.gangs.Pending(token)
	return ok
}

// Committed handles the certain end of a commit.
func (s State) Committed(environment Environment, event chuteevent.TableCommitted) Outcome {
	t := newTurn(s, environment)
	p, ok := s.gangs.Pending(event.Token)
	if !ok {
		return t.outcome()
	}
	t.State = t.State.WithoutPending(event.Token)
	if !event.Accepted {
		t.fenced = true
		t.refusePending(p)
		return t.outcome()
	}
	t.committed(p)
	return t.outcome()
}

// Read handles the rows of the recovery's read.
func (s State) Read(environment Environment, event chuteevent.TableRead) Outcome {
	t := newTurn(s, environment)
	t.State = t.State.WithoutPending(event.Token)
	t.recover(event.Rows)
	return t.outcome()
}

// Failed handles a store operation that certainly did not take effect: it is tried again.
func (s State) Failed(environment Environment, token chuteevent.Token) Outcome {
	t := newTurn(s, environment)
	p, ok := s.gangs.Pending(token)
	if !ok {
		return t.outcome()
	}
	t.State = t.State.WithoutPending(token)
	t.retryPending(p)
	return t.outcome()
}
