package chuteentry_test

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutetask"
)

// sender is the host that sent an order.
type sender struct {
	sentAt  time.Time
	inTouch bool // neither the host nor the store was disturbed for the contact time before
}

const (
	workerDelay  = 3 * time.Millisecond
	orderTimeout = 700 * time.Millisecond
)

func (k *fakeWorker) rejectsEpoch(epoch int64) bool {
	if epoch < k.highestEpoch {
		return true
	}
	k.highestEpoch = epoch
	return false
}

func (k *fakeWorker) extendLease(leaseEnd time.Duration) {
	at := k.startedAt.Add(min(leaseEnd, k.clock()+k.sim.fleet.lease))
	if at.After(k.leaseEnd) {
		k.leaseEnd = at
	}
}

func (k *fakeWorker) handleStart(o chuteaction.StartRun, from sender) chuteaction.Event {
	refuse := func(reason chuteaction.RefusalReason) chuteaction.Event {
		return chuteaction.RunStarted{Epoch: o.Epoch, Worker: o.Worker, Run: o.Run, Outcome: chuteaction.OrderRefused, Reason: reason, Clock: k.clock()}
	}
	accepted := chuteaction.RunStarted{Epoch: o.Epoch, Worker: o.Worker, Run: o.Run, Outcome: chuteaction.OrderAccepted, Clock: k.clock()}
	switch {
	case k.losesStarts:
		return chuteaction.RunStarted{Epoch: o.Epoch, Worker: o.Worker, Run: o.Run, Outcome: chuteaction.OrderUnknown}
	case k.unhealthy:
		return chuteaction.RunStarted{Epoch: o.Epoch, Worker: o.Worker, Run: o.Run, Outcome: chuteaction.OrderUnhealthy}
	case k.rejectsEpoch(o.Epoch):
		return refuse(chuteaction.RefusedFenced)
	case k.runs[o.Run] != nil:
		return accepted
	case o.Run.Number <= k.highestEndedRun[o.Run.Task]:
		return refuse(chuteaction.RefusedStale)
	case o.LeaseEnd <= k.clock():
		return refuse(chuteaction.RefusedExpired)
	}
	k.extendLease(o.LeaseEnd)
	k.startRun(o, from)
	return accepted
}

func (k *fakeWorker) handleStop(o chuteaction.StopRun, sent time.Time) chuteaction.Event {
	stopped := chuteaction.RunStopped{Epoch: o.Epoch, Worker: o.Worker, SentAt: sent, Run: o.Run, Outcome: chuteaction.OrderAccepted}
	if k.rejectsEpoch(o.Epoch) {
		stopped.Outcome, stopped.Reason = chuteaction.OrderRefused, chuteaction.RefusedFenced
		return stopped
	}
	k.highestEndedRun[o.Run.Task] = max(k.highestEndedRun[o.Run.Task], o.Run.Number)
	if r := k.runs[o.Run]; r != nil {
		k.sim.after(k.sim.jittered(stopTimeout/2), func() {
			if !k.dead {
				k.endRun(r, chutetask.EndStopped)
			}
		})
	}
	return stopped
}

func (k *fakeWorker) renewalAnswer(o chuteaction.RenewLease, sent time.Time) chuteaction.LeaseRenewed {
	renewed := chuteaction.LeaseRenewed{
		Epoch: o.Epoch, Worker: o.Worker, Address: o.Address, SentAt: sent, Outcome: chuteaction.OrderAccepted, Clock: k.clock(), Incarnation: k.listing.Incarnation,
	}
	for _, r := range k.sortedRuns() {
		renewed.Running = append(renewed.Running, chutetask.RunReport{Run: r.id, Percent: r.percent(k.sim.now), Usage: k.tailLatency(r)})
	}
	renewed.Ended = slices.Clone(k.ends)
	return renewed
}

// forgetEnds drops the ends that the scheduler has acknowledged. A task must not start again after its end was
// acknowledged; it may start again if the end was lost with the worker's incarnation.
func (k *fakeWorker) forgetEnds(number int64) {
	for _, e := range k.ends {
		if e.Number > number || e.Kind != chutetask.EndDone || k.expiredEnds[e.Number] {
			continue
		}
		job := k.sim.clients.jobs[e.Run.Task.Job]
		if job.spec.Steps[e.Run.Task.Step].LongRunning {
			continue // the scheduler restarts a long-running task after any end
		}
		job.acknowledged[e.Run.Task] = true
		if job.startedAt[e.Run.Task].After(k.endedAt[e.Run]) {
			k.sim.reportViolation("end of %s was acknowledged, but its task had been started again", e.Run)
		}
	}
	k.ends = slices.DeleteFunc(k.ends, func(e chutetask.RunEnd) bool { return e.Number <= number })
}

// sendOrder sends a start or stop order; some orders get no answer and are executed late.
func (sm *simulation) sendOrder(h *fakeHost, target chuteaction.WorkerTarget, carryOut func(*fakeWorker) chuteaction.Event, unknown chuteaction.Event) {
	k := sm.workers[string(target.Worker)]
	if k == nil || k.dead || k.unreachableFrom(h) {
		unreached := sm.unreached(unknown)
		sm.after(orderTimeout, func() { h.deliver(unreached) })
		return
	}
	if sm.chance(k.lostOrderRate) {
		incarnation := k.startedAt
		sm.after(2*time.Second+sm.jittered(5*time.Second), func() {
			if !k.dead && k.startedAt.Equal(incarnation) {
				carryOut(k)
			}
		})
		sm.after(orderTimeout, func() { h.deliver(unknown) })
		return
	}
	sm.after(sm.jittered(workerDelay), func() {
		if k.dead {
			sm.after(orderTimeout, func() { h.deliver(unknown) })
			return
		}
		answer, incarnation := carryOut(k), k.startedAt
		sm.after(sm.jittered(workerDelay), func() {
			if k.dead || !k.startedAt.Equal(incarnation) {
				sm.after(orderTimeout, func() { h.deliver(unknown) })
				return
			}
			h.deliver(answer)
		})
	})
}

func (sm *simulation) sendRenewal(h *fakeHost, o chuteaction.RenewLease) {
	sent := sm.now
	k := sm.workers[string(o.Worker)]
	unknown := chuteaction.LeaseRenewed{Epoch: o.Epoch, Worker: o.Worker, SentAt: sent, Outcome: chuteaction.OrderUnknown}
	if k == nil || k.dead || k.unreachableFrom(h) {
		unreached := sm.unreached(unknown)
		sm.after(o.PollTimeout+orderTimeout, func() { h.deliver(unreached) })
		return
	}
	sm.after(sm.jittered(workerDelay), func() {
		if k.dead || k.unreachableFrom(h) {
			sm.after(o.PollTimeout+orderTimeout, func() { h.deliver(unknown) })
			return
		}
		if k.rejectsEpoch(o.Epoch) {
			refused := unknown
			refused.Outcome, refused.Reason = chuteaction.OrderRefused, chuteaction.RefusedFenced
			h.deliver(refused)
			return
		}
		if o.LeaseEnd > 0 {
			k.extendLease(o.LeaseEnd)
		}
		k.forgetEnds(o.AcknowledgedEnd)
		k.answerRenewal(h, o, sent, len(k.ends))
	})
}

// answerRenewal answers a renewal once the worker has an unacknowledged end or the renewal's poll timeout has passed.
func (k *fakeWorker) answerRenewal(h *fakeHost, o chuteaction.RenewLease, sent time.Time, known int) {
	sm := k.sim
	if k.dead || k.unreachableFrom(h) {
		unknown := chuteaction.LeaseRenewed{Epoch: o.Epoch, Worker: o.Worker, SentAt: sent, Outcome: chuteaction.OrderUnknown}
		sm.after(orderTimeout, func() { h.deliver(unknown) })
		return
	}
	if len(k.ends) > 0 || sm.now.Sub(sent) >= o.PollTimeout {
		answer := k.renewalAnswer(o, sent)
		sm.after(sm.jittered(workerDelay), func() { h.deliver(answer) })
		return
	}
	sm.after(10*time.Millisecond, func() { k.answerRenewal(h, o, sent, known) })
}

// unreached returns the event of an order to a worker that cannot be reached: no answer, or no connection.
func (sm *simulation) unreached(unknown chuteaction.Event) chuteaction.Event {
	if sm.unreachableRate == 0 || !sm.chance(sm.unreachableRate) {
		return unknown
	}
	switch e := unknown.(type) {
	case chuteaction.RunStarted:
		e.Outcome = chuteaction.OrderUnreachable
		return e
	case chuteaction.RunStopped:
		e.Outcome = chuteaction.OrderUnreachable
		return e
	case chuteaction.LeaseRenewed:
		e.Outcome = chuteaction.OrderUnreachable
		return e
	}
	return unknown
}
