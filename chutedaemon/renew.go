package chutedaemon

import (
	"context"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutetask"
)

// renewRingSize is the capacity of the ring of renewals for one worker.
const renewRingSize = 4

// renewers are the duties that renew leases, one for each worker. Only the core's duty calls renew and remove.
type renewers struct {
	group   *chuteduty.Group
	workers Workers
	events  chutering.EntryEvents
	active  map[chutetask.WorkerID]renewer
}

type renewer struct {
	ring   chutering.EntryEffects
	cancel context.CancelFunc
}

func newRenewers(group *chuteduty.Group, workers Workers, events chutering.EntryEvents) *renewers {
	return &renewers{group: group, workers: workers, events: events, active: make(map[chutetask.WorkerID]renewer)}
}

func (r *renewers) renew(order chuteaction.RenewLease) bool {
	w, ok := r.active[order.Worker]
	if !ok {
		ctx, cancel := context.WithCancel(r.group.Context())
		w = renewer{ring: chutering.NewEntryEffects("renewals", renewRingSize), cancel: cancel}
		r.active[order.Worker] = w
		r.group.Go("renewals", func(context.Context) { r.run(ctx, w.ring) })
	}
	return w.ring.Offer(order)
}

func (r *renewers) remove(worker chutetask.WorkerID) {
	if w, ok := r.active[worker]; ok {
		w.cancel()
		delete(r.active, worker)
	}
}

func (r *renewers) run(ctx context.Context, ring chutering.EntryEffects) {
	for {
		effect, ok := ring.Take(ctx)
		if !ok {
			return
		}
		if order, ok := effect.(chuteaction.RenewLease); ok {
			r.events.Put(r.group.Context(), r.workers.Renew(ctx, order))
		}
	}
}
