package chutedaemon

import (
	"context"
	"runtime/debug"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteentry"
	"monsoonchute.example/monsoonchute/chutetask"
)

// runCore passes each event to the core and dispatches its effects. If the ring of an effect is full, the core gets the
// effect's failure event at once.
func (d *Daemon) runCore(ctx context.Context, state chuteentry.State) {
	for {
		event, ok := d.events.Take(ctx)
		if !ok {
			return
		}
		state = d.step(state, event)
		for len(d.failures) > 0 {
			next := d.failures[0]
			d.failures = d.failures[1:]
			state = d.step(state, next)
		}
	}
}

func (d *Daemon) step(state chuteentry.State, event chuteaction.Event) chuteentry.State {
	now := time.Now()
	state, effects := chuteentry.Step(state, chuteaction.TimedEvent{At: now, Event: event})
	for _, effect := range effects {
		d.dispatch(effect)
	}
	d.serving.Store(state.Serving(now))
	d.bodyLimit.Store(int64(state.BodyLimit()))
	d.setGCPercent(state.Leads())
	return state
}

// setGCPercent sets the garbage collection target by the host's role. The leader collects less often, because its state is
// large and changes with each event.
func (d *Daemon) setGCPercent(leads bool) {
	if leads == d.leading {
		return
	}
	d.leading = leads
	percent := followerGCPercent
	if leads {
		percent = leaderGCPercent
	}
	previous := debug.SetGCPercent(percent)
	d.log.Info("daemon: garbage collection target changed", "leads", leads, "growth-percent", percent, "former", previous)
}

// dispatch passes an effect to the duty that carries it out.
func (d *Daemon) dispatch(effect chuteaction.Effect) {
	switch f := effect.(type) {
	case chuteaction.AnswerCall:
		if !d.calls.deliver(f) {
			d.metrics.Count("answer-dropped", "nobody-waits")
		}
	case chuteaction.WriteRows:
		d.dispatchToStore(f, chuteaction.RowsWritten{Token: f.Token, Outcome: chuteaction.StoreRefused})
	case chuteaction.ReadRows:
		d.dispatchToStore(f, chuteaction.RowsRead{Token: f.Token, Outcome: chuteaction.StoreRefused})
	case chuteaction.WatchTable:
		d.watchers.Watch(f)
	case chuteaction.UnwatchTable:
		d.watchers.Unwatch(f.Table)
	case chuteaction.SetPeers:
		d.peers.SetPeers(f.Addresses)
	case chuteaction.ForwardRows:
		if !d.forwards.Offer(f) {
			d.metrics.Count("news-dropped", "ring-full")
		}
	case chuteaction.OrderEffect:
		d.dispatchOrder(f)
	case chuteaction.DisconnectWorker:
		d.workerDuties.remove(f.Worker)
		d.workers.Disconnect(f.Worker)
	case chuteaction.Count:
		d.metrics.Count(f.Counter, f.Reason)
	case chuteaction.Observe:
		d.metrics.ObserveKind(f.Histogram, f.Kind, f.Duration)
	case chuteaction.SetGauge:
		d.metrics.SetLabeledGauge(f.Gauge, labelsOf(f.Labels), f.Value)
	case chuteaction.LogLine:
		d.logs.Offer(f)
	case chuteaction.Stopped:
		close(d.stopped)
	}
}

// labelsOf returns the labels by name.
func labelsOf(fields []chuteaction.Field) map[string]string {
	labels := make(map[string]string, len(fields))
	for _, f := range fields {
		labels[f.Name] = f.Value
	}
	return labels
}

func (d *Daemon) dispatchToStore(effect chuteaction.Effect, failure chuteaction.Event) {
	if !d.store.Offer(effect) {
		d.metrics.Count("store-refused", "ring-full")
		d.failures = append(d.failures, failure)
	}
}

// dispatchOrder passes an order to the duties that send its kind.
func (d *Daemon) dispatchOrder(order chuteaction.OrderEffect) {
	switch o := order.(type) {
	case chuteaction.StartRun:
		d.dispatchStart(o)
	case chuteaction.StopRun:
		d.starts.remove(o.Run)
		d.dispatchToWorker(o.Worker, stopDuty, o)
	case chuteaction.RenewLease:
		d.dispatchRenewal(o)
	case chuteaction.PaceRun, chuteaction.RequestApproval, chuteaction.ListMachines, chuteaction.MaintainMachine:
		if !d.orders.Offer(order) {
			d.refuseOrder(order, "ring-full")
		}
	}
}

// dispatchRenewal passes a renewal to the worker's duty for renewals of its kind.
func (d *Daemon) dispatchRenewal(f chuteaction.RenewLease) {
	kind := reportDuty
	if f.PollTimeout > 0 {
		kind = pollDuty
	}
	d.dispatchToWorker(f.Worker, kind, f)
}

func (d *Daemon) dispatchToWorker(worker chutetask.WorkerID, kind workerDutyKind, order chuteaction.OrderEffect) {
	if !d.workerDuties.offer(worker, kind, order) {
		d.refuseOrder(order, workerDutyNames[kind]+"-ring-full")
	}
}

// refuseOrder lets the core handle next that an order was not sent, since its ring is full.
func (d *Daemon) refuseOrder(order chuteaction.OrderEffect, reason string) {
	d.metrics.Count("order-refused", reason)
	if failure := d.giveBack(order, "ring-full"); failure != nil {
		d.failures = append(d.failures, failure)
	}
}
