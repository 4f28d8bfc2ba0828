package chuteentry

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteleader"
	"monsoonchute.example/monsoonchute/chuteoperator"
)

// Step handles one event and returns the next state and the effects that the caller must carry out.
func Step(s State, timed chuteaction.TimedEvent) (State, []chuteaction.Effect) {
	t := &transition{Transition: chuteaction.NewTransition(timed.At, s.token), state: s}
	t.start()
	if e, ok := timed.Event.(chuteaction.ExplainRequested); ok {
		t.explain(e) // has no effect but its answer, so that nothing is due after it
		t.state.token = t.LastToken()
		return t.state, t.Effects
	}
	switch e := timed.Event.(type) {
	case chuteaction.Tick:
		t.tick()
	case chuteaction.CallArrived:
		t.state.intake = t.state.intake.HandleCallArrived(t.Transition, t.state.intakeView(t.Now), e)
	case chuteaction.CallAbandoned:
		t.state.intake = t.state.intake.HandleCallAbandoned(e.ID)
	case chuteaction.RowsWritten:
		t.rowsWritten(e)
	case chuteaction.RowsRead:
		t.rowsRead(e)
	case chuteaction.TableChanged:
		t.tableChanged(e)
	case chuteaction.RowsForwarded:
		t.rowsForwarded(e.Rows)
	case chuteaction.TableUnavailable:
		t.Count("feed-silent", e.Table.String())
	case chuteaction.OrderResult:
		t.handleOrderResult(e)
	case chuteaction.ExplainRequested: // handled above
	case chuteaction.StopRequested:
		t.beginStop(e.Timeout)
	}
	t.finish()
	t.state.token = t.LastToken()
	return t.state, t.Effects
}

// transition is the handling of one event: the state as changed so far and the effects.
type transition struct {
	*chuteaction.Transition
	state State
}

// start writes the host's row and subscribes to the tables that every host needs; only the first event does so.
func (t *transition) start() {
	if t.state.started {
		return
	}
	t.state.started = true
	t.writeHostRow()
	t.Emit(chuteaction.WatchTable{Table: chuteaction.TableOperator, PollTimeout: chuteoperator.PollTimeout, ListAfter: listAfter})
	t.watchLeaders()
	t.Emit(chuteaction.WatchTable{Table: chuteaction.TableHosts, MinInterval: minPollInterval, PollTimeout: hostsPollTimeout, ListAfter: listHostsAfter})
}

// watchLeaders subscribes to the leaders' table.
func (t *transition) watchLeaders() {
	t.Emit(chuteaction.WatchTable{
		Table: chuteaction.TableLeaders, MinInterval: minPollInterval, PollTimeout: leaderPollTimeout, ListAfter: listAfter,
	})
}

func (t *transition) tick() {
	if t.state.hostRowRetryAt.Before(t.Now) && !t.state.hostRowRetryAt.IsZero() {
		t.state.hostRowRetryAt = time.Time{}
		t.writeHostRow()
	}
	t.state.intake = t.state.intake.Tick(t.Transition)
	t.state.operators = t.state.operators.Tick(t.Transition)
	if t.state.stopping && t.state.scheduler == nil && t.state.leader.Role() == chuteleader.RoleFollower {
		return
	}
	leader, outcome := t.state.leader.Tick(t.Transition)
	t.state.leader = leader
	t.applyOutcome(outcome)
	if t.state.scheduler != nil {
		t.setScheduler(t.state.scheduler.Tick(t.Transition, t.state.environment(t.Now)))
	}
}

// recordContact updates the contact times after an answer of the store.
func (t *transition) recordContact() {
	if t.Now.Sub(t.state.contactAt) > maxContactGap {
		t.state.contactSince = t.Now
	}
	t.state.contactAt = t.Now
}

func (t *transition) rowsWritten(e chuteaction.RowsWritten) {
	if e.Outcome == chuteaction.StoreDone || e.Outcome == chuteaction.StoreConflict {
		t.recordContact()
	}
	if e.Token == t.state.hostRowWrite {
		t.hostRowWritten(e)
		return
	}
	if t.state.leader.OwnsWrite(e.Token) {
		leader, outcome := t.state.leader.HandleRowsWritten(t.Transition, e)
		t.state.leader = leader
		t.applyOutcome(outcome)
		return
	}
	intake, rows := t.state.intake.HandleRowsWritten(t.Transition, e)
	t.state.intake = intake
	t.forwardToLeader(rows)
}

func (t *transition) rowsRead(e chuteaction.RowsRead) {
	if e.Outcome == chuteaction.StoreDone {
		t.recordContact()
	}
	if t.state.scheduler != nil && t.state.scheduler.Owns(e.Token) {
		t.setScheduler(t.state.scheduler.HandleRowsRead(t.Transition, t.state.environment(t.Now), e))
		return
	}
	t.state.intake = t.state.intake.HandleRowsRead(t.Transition, e)
}

func (t *transition) tableChanged(e chuteaction.TableChanged) {
	t.recordContact()
	t.state.storeClock = t.state.storeClock.WithReading(e.StoreClock, e.SentAt, t.Now)
	t.state.leader = t.state.leader.WithStoreClock(t.state.storeClock)
	switch e.Table {
	case chuteaction.TableOperator:
		t.state.operators = t.state.operators.HandleTableChanged(t.Transition, e)
	case chuteaction.TableLeaders:
		t.state.leaders = t.state.leaders.WithAnswer(e, t.Now)
		t.state.leader = t.state.leader.HandleLeaderRows(t.Transition, e.Rows)
		t.checkLeaderProcess()
	case chuteaction.TableJobs:
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.HandleSubmissions(t.Transition, t.state.environment(t.Now), e))
		}
	case chuteaction.TableWorkers:
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.HandleWorkers(t.Transition, t.state.environment(t.Now), e))
		}
	case chuteaction.TableHosts:
		t.hostsChanged(e)
	case chuteaction.TableProgress, chuteaction.TableWaves:
	}
}

// beginStop begins a planned stop: the host releases the leadership and answers the calls in progress.
func (t *transition) beginStop(timeout time.Duration) {
	if t.state.stopping {
		return
	}
	t.state.stopping = true
	if timeout > 0 {
		t.state.intake = t.state.intake.WithStopDeadline(t.Now.Add(timeout))
	}
	t.Log(component, "planned stop begins", "", "calls", t.state.intake.Len(), "leads", t.state.Leads())
}

// finish emits the effects that are due after every event: writes of the scheduler, the heartbeat and the end of a
// planned stop.
func (t *transition) finish() {
	if t.state.scheduler != nil {
		t.setScheduler(t.state.scheduler.Advance(t.Transition, t.state.environment(t.Now)))
		t.writeRows()
	}
	follows := t.state.scheduler == nil && t.state.leader.Role() == chuteleader.RoleFollower
	if t.state.stopping && !t.state.stopped && follows && t.state.intake.Len() == 0 {
		t.state.stopped = true
		t.Emit(chuteaction.Stopped{})
	}
}
