package chutedaemon

import (
	"context"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// renewRingSize is the capacity of a ring of renewals for one worker.
	renewRingSize = 4
	// stopRingSize is the capacity of the ring of stop orders for one worker.
	stopRingSize = 64
)

// workerDutyKind is the kind of orders that a duty sends to its worker.
type workerDutyKind int

const (
	stopDuty   workerDutyKind = iota // stop orders
	reportDuty                       // renewals that the worker answers at once
	pollDuty                         // renewals that the worker may hold until a run ends
	workerDutyKinds
)

var workerDutyNames = []string{"stop", "report", "renewal"}

func (k workerDutyKind) ringSize() int {
	if k == stopDuty {
		return stopRingSize
	}
	return renewRingSize
}

// workerDuties are the duties that send stop orders and renewals, for each worker its own, so that a worker that does not
// answer delays only its own orders. Only the core's duty calls offer and remove.
type workerDuties struct {
	group  *chuteduty.Group
	send   func(context.Context, chuteaction.OrderEffect) // sends an order and gives the core its outcome
	drop   func(context.Context, chuteaction.OrderEffect) // tells the core that an order was not sent
	active map[workerDutyKey]workerDuty
}

type workerDutyKey struct {
	worker chutetask.WorkerID
	kind   workerDutyKind
}

type workerDuty struct {
	ring   chutering.EntryEffects
	cancel context.CancelFunc
}

func newWorkerDuties(group *chuteduty.Group, send, drop func(context.Context, chuteaction.OrderEffect)) *workerDuties {
	return &workerDuties{group: group, send: send, drop: drop, active: make(map[workerDutyKey]workerDuty)}
}

// offer passes an order to the worker's duty of the kind, and reports whether its ring had space for it.
func (w *workerDuties) offer(worker chutetask.WorkerID, kind workerDutyKind, order chuteaction.OrderEffect) bool {
	key := workerDutyKey{worker: worker, kind: kind}
	duty, ok := w.active[key]
	if !ok {
		ctx, cancel := context.WithCancel(w.group.Context())
		name := workerDutyNames[kind]
		duty = workerDuty{ring: chutering.NewEntryEffects(name, kind.ringSize()), cancel: cancel}
		w.active[key] = duty
		w.group.Go(name, func(groupContext context.Context) { w.run(ctx, groupContext, duty.ring) })
	}
	return duty.ring.Offer(order)
}

// remove ends the duties of a worker. The orders that they have not sent by then are not sent.
func (w *workerDuties) remove(worker chutetask.WorkerID) {
	for kind := range workerDutyKinds {
		key := workerDutyKey{worker: worker, kind: kind}
		if duty, ok := w.active[key]; ok {
			duty.cancel()
			delete(w.active, key)
		}
	}
}

func (w *workerDuties) run(ctx, groupContext context.Context, ring chutering.EntryEffects) {
	for {
		effect, ok := ring.Take(ctx)
		if !ok {
			w.dropAll(groupContext, ring)
			return
		}
		if order, ok := effect.(chuteaction.OrderEffect); ok {
			w.send(groupContext, order)
		}
	}
}

// dropAll tells the core that the orders in the ring were not sent.
func (w *workerDuties) dropAll(ctx context.Context, ring chutering.EntryEffects) {
	for {
		effect, ok := ring.TryTake()
		if !ok {
			return
		}
		if order, ok := effect.(chuteaction.OrderEffect); ok {
			w.drop(ctx, order)
		}
	}
}
