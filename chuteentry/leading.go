package chuteentry

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteleader"
	"monsoonchute.example/monsoonchute/chutescheduler"
)

func (t *transition) setScheduler(s chutescheduler.State) {
	t.state.scheduler = &s
}

// handleOrderResult passes the result of an order to the scheduler, if any, and to the election whether a worker
// has seen a higher epoch.
func (t *transition) handleOrderResult(result chuteaction.OrderResult) {
	if t.state.scheduler == nil {
		return
	}
	next, environment := *t.state.scheduler, t.state.environment(t.Now)
	fenced := false
	switch e := result.(type) {
	case chuteaction.RunStarted:
		next, fenced = next.HandleRunStarted(t.Transition, environment, e)
	case chuteaction.RunStopped:
		next, fenced = next.HandleRunStopped(t.Transition, environment, e)
	case chuteaction.LeaseRenewed:
		next, fenced = next.HandleLeaseRenewed(t.Transition, environment, e)
	case chuteaction.StepApproved:
		next = next.HandleStepApproved(t.Transition, environment, e)
	case chuteaction.MachinesListed:
		next = next.HandleMachinesListed(t.Transition, environment, e)
	case chuteaction.MachineMaintained:
		next = next.HandleMachineMaintained(t.Transition, environment, e)
	}
	t.setScheduler(next)
	if fenced {
		t.state.leader = t.state.leader.HandleFenced(t.Transition)
	}
}

// forwardToLeader passes rows about jobs to the scheduler on this or another host, because the scheduler's own watch of
// the store may lag.
func (t *transition) forwardToLeader(rows []chuteaction.Row) {
	switch address, known := t.state.peerAddresses.Get(t.state.leader.Row().Host); {
	case len(rows) == 0:
	case t.state.scheduler != nil:
		t.rowsForwarded(rows)
	case known:
		t.Emit(chuteaction.ForwardRows{Address: address, Rows: rows, RecordedAt: t.Now})
	}
}

// rowsForwarded passes rows about jobs to the scheduler of this host, or drops them if this host does not lead.
func (t *transition) rowsForwarded(rows []chuteaction.Row) {
	if t.state.scheduler == nil {
		t.Count("news-dropped", "not-leading")
		return
	}
	t.setScheduler(t.state.scheduler.HandleForwarded(t.Transition, t.state.environment(t.Now), rows))
}

// applyOutcome applies the outcome of an election event: it starts the scheduler, passes a confirmed write to it, or
// stops it.
func (t *transition) applyOutcome(outcome chuteleader.Outcome) {
	switch outcome {
	case chuteleader.OutcomeNone:
	case chuteleader.OutcomeElected:
		t.setScheduler(chutescheduler.New(t.Transition, t.state.leader.Row(), t.state.leader.Predecessor(), t.state.settings.Bounds))
		t.Emit(chuteaction.UnwatchTable{Table: chuteaction.TableLeaders})
	case chuteleader.OutcomeCommitted:
		if t.state.leader.Row().Released {
			t.stopScheduler()
			return
		}
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.HandleCommit(t.Transition, t.state.environment(t.Now)))
		}
	case chuteleader.OutcomeRejected:
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.HandleRejection(t.Transition, t.state.environment(t.Now)))
		}
	case chuteleader.OutcomeDeposed:
		t.stopScheduler()
	}
}

// stopScheduler ends the scheduler, if any, and makes this host a follower.
func (t *transition) stopScheduler() {
	t.endScheduler()
	t.state.leader = t.state.leader.StepDown(t.Now)
	t.watchLeaders()
}

// endScheduler ends the scheduler, so that this host sends no more orders and renews no leases.
func (t *transition) endScheduler() {
	if t.state.scheduler == nil {
		return
	}
	t.Log(component, "this host no longer leads", "", "epoch", t.state.scheduler.Epoch())
	t.state.scheduler.End(t.Transition)
	t.state.scheduler = nil
}

// writeRows writes the pending rows of the scheduler, the release of the leadership, or a heartbeat if one is due.
func (t *transition) writeRows() {
	if !t.state.leader.MayWrite(t.Now) {
		return
	}
	scheduler, rows := t.state.scheduler.Flush(maxBatchRows)
	t.setScheduler(scheduler)
	silent := t.Now.Sub(t.state.leader.ConfirmedAt()) >= chuteleader.HeartbeatInterval
	switch {
	case len(rows) > 0:
		t.write(rows)
	case t.state.stopping:
		t.release()
	case silent || scheduler.HandoverOutdated():
		t.write(nil)
	}
}

// write writes the rows with the leader's row.
func (t *transition) write(rows []chuteaction.Row) {
	report := chuteleader.Report{
		Pending: t.state.scheduler.Pending(), CountedAt: t.state.storeClock.Reading(t.state.scheduler.CountedAt()),
		Backlog: t.state.scheduler.Backlog(), Handover: t.state.scheduler.Handover(),
	}
	t.state.leader = t.state.leader.Write(t.Transition, rows, report)
	t.setScheduler(t.state.scheduler.WithHandoverWritten(report.Handover))
}

// release writes that any host may take over. The scheduler ends at once, since a successor takes it as ended although the
// answer to the write may be lost.
func (t *transition) release() {
	t.state.leader = t.state.leader.Release(t.Transition)
	t.endScheduler()
}
