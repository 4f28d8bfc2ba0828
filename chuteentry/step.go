package chuteentry

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteleader"
	"monsoonchute.example/monsoonchute/chutescheduler"
)

// Step handles one event: it returns the next state and what is asked of the outside.
func Step(s State, timed chuteaction.TimedEvent) (State, []chuteaction.Effect) {
	t := &turn{Transition: chuteaction.NewTransition(timed.At, s.token), state: s}
	t.start()
	switch e := timed.Event.(type) {
	case chuteaction.Tick:
		t.tick()
	case chuteaction.CallArrived:
		t.state.intake = t.state.intake.HandleCallArrived(t.Transition, t.state.intakeView(t.Now), e)
	case chuteaction.CallAbandoned:
		t.state.intake = t.state.intake.HandleCallAbandoned(e.ID)
	case chuteaction.RowsWritten:
		t.written(e)
	case chuteaction.RowsRead:
		t.read(e)
	case chuteaction.TableChanged:
		t.changed(e)
	case chuteaction.RowsForwarded:
		t.told(e.Rows)
	case chuteaction.TableUnavailable:
		t.Count("feed-silent", e.Table.String())
	case chuteaction.RunStarted:
		t.ordered(func(c chutescheduler.State) (chutescheduler.State, bool) {
			return c.HandleRunStarted(t.Transition, t.state.environment(), e)
		})
	case chuteaction.RunStopped:
		t.ordered(func(c chutescheduler.State) (chutescheduler.State, bool) {
			return c.HandleRunStopped(t.Transition, t.state.environment(), e)
		})
	case chuteaction.LeaseRenewed:
		t.ordered(func(c chutescheduler.State) (chutescheduler.State, bool) {
			return c.HandleLeaseRenewed(t.Transition, t.state.environment(), e)
		})
	case chuteaction.StepApproved:
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.HandleStepApproved(t.Transition, t.state.environment(), e))
		}
	case chuteaction.MachinesListed:
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.HandleMachinesListed(t.Transition, t.state.environment(), e))
		}
	case chuteaction.MachineMaintained:
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.HandleMachineMaintained(t.Transition, t.state.environment(), e))
		}
	case chuteaction.StopRequested:
		t.stop(e.Timeout)
	}
	t.finish()
	t.state.token = t.LastToken()
	return t.state, t.Effects
}

// turn is the handling of one event.
type turn struct {
	*chuteaction.Transition
	state State
}

// start asks for what every host follows, once.
func (t *turn) start() {
	if t.state.started {
		return
	}
	t.state.started = true
	t.announce()
	t.Emit(chuteaction.WatchTable{Table: chuteaction.TableOperator, PollTimeout: operatorWait})
	t.Emit(chuteaction.WatchTable{Table: chuteaction.TableLeaders, MinInterval: leaderPause, PollTimeout: leaderWait})
	t.Emit(chuteaction.WatchTable{Table: chuteaction.TableHosts, MinInterval: leaderPause, PollTimeout: hostsWait})
}

func (t *turn) tick() {
	if t.state.announceAt.Before(t.Now) && !t.state.announceAt.IsZero() {
		t.state.announceAt = time.Time{}
		t.announce()
	}
	t.state.intake = t.state.intake.Tick(t.Transition)
	if t.state.stopping && t.state.scheduler == nil && t.state.leader.Role() == chuteleader.RoleFollower {
		return
	}
	leader, verdict := t.state.leader.Tick(t.Transition)
	t.state.leader = leader
	t.applyVerdict(verdict)
	if t.state.scheduler != nil {
		t.setScheduler(t.state.scheduler.Tick(t.Transition, t.state.environment()))
	}
}

// contact notes an answer of the store.
func (t *turn) contact() {
	if t.Now.Sub(t.state.contactAt) > steadyGap {
		t.state.steadyAt = t.Now
	}
	t.state.contactAt = t.Now
}

func (t *turn) setScheduler(c chutescheduler.State) {
	t.state.scheduler = &c
}

// ordered lets the scheduler handle the end of an order; a worker that has seen a higher epoch deposes this host.
func (t *turn) ordered(handle func(chutescheduler.State) (chutescheduler.State, bool)) {
	if t.state.scheduler == nil {
		return
	}
	next, fenced := handle(*t.state.scheduler)
	t.setScheduler(next)
	if fenced {
		t.Warn(part, "a worker has seen a higher epoch", "", "epoch", next.Epoch())
		t.state.leader = t.state.leader.StepDown(t.Now)
		t.applyVerdict(chuteleader.OutcomeDeposed)
	}
}

func (t *turn) written(e chuteaction.RowsWritten) {
	if e.Outcome == chuteaction.StoreDone || e.Outcome == chuteaction.StoreConflict {
		t.contact()
	}
	if e.Token == t.state.announcement {
		if e.Outcome != chuteaction.StoreDone {
			t.state.announceAt = t.Now.Add(announcePause)
		}
		return
	}
	if t.state.leader.OwnsWrite(e.Token) {
		leader, verdict := t.state.leader.HandleRowsWritten(t.Transition, e)
		t.state.leader = leader
		t.applyVerdict(verdict)
		return
	}
	intake, rows := t.state.intake.HandleRowsWritten(t.Transition, e)
	t.state.intake = intake
	t.tellLeader(rows)
}

// tellLeader hands rows about jobs to the scheduler, wherever it is: its own reading of the store may lag.
func (t *turn) tellLeader(rows []chuteaction.Row) {
	switch address, known := t.state.peers.Get(t.state.leader.Row().Host); {
	case len(rows) == 0:
	case t.state.scheduler != nil:
		t.told(rows)
	case known:
		t.Emit(chuteaction.ForwardRows{Address: address, Rows: rows, RecordedAt: t.Now})
	}
}

// told hands rows about jobs to the scheduler of this host, if it has one.
func (t *turn) told(rows []chuteaction.Row) {
	if t.state.scheduler == nil {
		t.Count("news-dropped", "not-leading")
		return
	}
	t.setScheduler(t.state.scheduler.HandleSubmissions(t.Transition, t.state.environment(), chuteaction.TableChanged{
		Table: chuteaction.TableJobs, Rows: rows,
	}))
}

// applyVerdict draws the consequence of a leader's write.
func (t *turn) applyVerdict(verdict chuteleader.Outcome) {
	switch verdict {
	case chuteleader.OutcomeNone:
	case chuteleader.OutcomeElected:
		t.setScheduler(chutescheduler.New(t.Transition, t.state.leader.Epoch(), t.state.leader.Predecessor(), t.state.settings.Bounds))
		t.Emit(chuteaction.UnwatchTable{Table: chuteaction.TableLeaders})
	case chuteleader.OutcomeCommitted:
		if t.state.leader.Row().Released {
			t.endScheduler()
			return
		}
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.HandleCommit(t.Transition, t.state.environment()))
		}
	case chuteleader.OutcomeDeposed:
		t.endScheduler()
	}
}

func (t *turn) endScheduler() {
	if t.state.scheduler == nil {
		return
	}
	t.Log(part, "this host leads no longer", "", "epoch", t.state.scheduler.Epoch())
	t.state.scheduler.End(t.Transition)
	t.state.scheduler = nil
	t.state.leader = t.state.leader.StepDown(t.Now)
	t.Emit(chuteaction.WatchTable{Table: chuteaction.TableLeaders, MinInterval: leaderPause, PollTimeout: leaderWait})
}

func (t *turn) read(e chuteaction.RowsRead) {
	if e.Outcome == chuteaction.StoreDone {
		t.contact()
	}
	if t.state.scheduler != nil && t.state.scheduler.Owns(e.Token) {
		t.setScheduler(t.state.scheduler.HandleRowsRead(t.Transition, t.state.environment(), e))
		return
	}
	t.state.intake = t.state.intake.HandleRowsRead(t.Transition, e)
}

func (t *turn) changed(e chuteaction.TableChanged) {
	t.contact()
	switch e.Table {
	case chuteaction.TableOperator:
		t.operatorChanged(e)
	case chuteaction.TableLeaders:
		t.state.leader = t.state.leader.HandleLeaderRows(t.Transition, e.Rows)
		t.judgeLeader()
	case chuteaction.TableJobs:
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.HandleSubmissions(t.Transition, t.state.environment(), e))
		}
	case chuteaction.TableWorkers:
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.HandleWorkers(t.Transition, t.state.environment(), e))
		}
	case chuteaction.TableHosts:
		t.hostsChanged(e)
	case chuteaction.TableProgress, chuteaction.TableWaves:
	}
}

// stop begins a planned stop: the leadership is given up and calls in progress are answered.
func (t *turn) stop(within time.Duration) {
	if t.state.stopping {
		return
	}
	t.state.stopping = true
	if within > 0 {
		t.state.intake = t.state.intake.WithStopDeadline(t.Now.Add(within))
	}
	t.Log(part, "planned stop", "", "calls", t.state.intake.Len(), "leads", t.state.Leads())
}

// finish sends what has become due by the event: records, the heartbeat, the end of a planned stop.
func (t *turn) finish() {
	if t.state.scheduler != nil {
		t.setScheduler(t.state.scheduler.Advance(t.Transition, t.state.environment()))
		t.record()
	}
	if t.state.stopping && !t.state.stopped && t.state.scheduler == nil && t.state.intake.Len() == 0 {
		t.state.stopped = true
		t.Emit(chuteaction.Stopped{})
	}
}

// record writes what the scheduler must record, or a heartbeat if one is due.
func (t *turn) record() {
	if t.state.leader.WriteInFlight() || t.state.releasing {
		return
	}
	scheduler, rows := t.state.scheduler.Flush(maxBatchRows)
	t.setScheduler(scheduler)
	switch {
	case len(rows) > 0:
		t.state.leader = t.state.leader.Write(t.Transition, rows, nil, scheduler.Pending())
	case t.state.stopping:
		t.state.releasing = true
		t.state.leader = t.state.leader.Release(t.Transition)
	case t.Now.Sub(t.state.leader.ConfirmedAt()) >= chuteleader.HeartbeatInterval:
		t.state.leader = t.state.leader.Write(t.Transition, nil, nil, scheduler.Pending())
	}
}
