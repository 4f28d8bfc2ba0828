package chutedaemon

import (
	"context"
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutering"
)

func (d *Daemon) runStore(ctx context.Context, store Store) {
	for {
		effect, ok := d.store.Take(ctx)
		if !ok {
			return
		}
		request, ok := effect.(chuteaction.StoreEffect)
		if !ok {
			d.log.Error("daemon: effect in the store ring is no store effect", "type", fmt.Sprintf("%T", effect))
			continue
		}
		switch f := request.(type) {
		case chuteaction.WriteRows:
			start := time.Now()
			written := store.Write(ctx, f)
			d.metrics.ObserveKind("store-write", outcomeNames[written.Outcome], time.Since(start))
			d.events.Put(ctx, written)
		case chuteaction.ReadRows:
			start := time.Now()
			read := store.Read(ctx, f)
			d.metrics.ObserveKind("store-read", outcomeNames[read.Outcome], time.Since(start))
			d.events.Put(ctx, read)
		}
	}
}

var outcomeNames = map[chuteaction.StoreOutcome]string{
	chuteaction.StoreDone: "done", chuteaction.StoreConflict: "conflict",
	chuteaction.StoreRefused: "refused", chuteaction.StoreUnknown: "no-answer", chuteaction.StoreRejected: "rejected",
}

// startOrderDuties starts the duties that send orders.
func (d *Daemon) startOrderDuties() {
	d.starts = newWaitingStarts()
	d.startRing = chutering.NewEntryEffects("starts", startRingSize)
	d.orders = chutering.NewEntryEffects("orders", orderRingSize)
	d.workerDuties = newWorkerDuties(d.group, d.sendOrder, d.dropOrder)
	for range startDuties {
		d.group.Go("starts", func(ctx context.Context) { d.runOrders(ctx, d.startRing) })
	}
	for range orderDuties {
		d.group.Go("orders", func(ctx context.Context) { d.runOrders(ctx, d.orders) })
	}
}

func (d *Daemon) runOrders(ctx context.Context, ring chutering.EntryEffects) {
	for {
		effect, ok := ring.Take(ctx)
		if !ok {
			return
		}
		order, ok := effect.(chuteaction.OrderEffect)
		if !ok {
			d.log.Error("daemon: effect in a ring of orders is no order", "type", fmt.Sprintf("%T", effect))
			continue
		}
		d.sendOrder(ctx, order)
	}
}

// sendOrder sends an order, waits for its outcome and gives it to the core.
func (d *Daemon) sendOrder(ctx context.Context, order chuteaction.OrderEffect) {
	switch f := order.(type) {
	case chuteaction.StartRun:
		d.events.Put(ctx, d.startRun(ctx, f))
	case chuteaction.StopRun:
		d.events.Put(ctx, d.workers.Stop(ctx, f))
	case chuteaction.RenewLease:
		d.events.Put(ctx, d.workers.Renew(ctx, f))
	case chuteaction.PaceRun:
		if err := d.workers.Pace(ctx, f); err != nil {
			d.metrics.Count("pace-missed", "no-answer")
			d.log.Warn("worker: order to limit the speed of a run failed", "worker", f.Worker, "run", f.Run.String(), "error", err.Error())
		}
	case chuteaction.ListMachines:
		d.events.Put(ctx, d.machines.List(ctx))
	case chuteaction.MaintainMachine:
		d.events.Put(ctx, d.machines.Maintain(ctx, f))
	case chuteaction.RequestApproval:
		start := time.Now()
		approved := d.workers.Approve(ctx, f)
		d.metrics.ObserveKind("approval", approved.Outcome.String(), time.Since(start))
		d.events.Put(ctx, approved)
	}
}

// dropOrder tells the core that an order was not sent, since its worker was disconnected.
func (d *Daemon) dropOrder(ctx context.Context, order chuteaction.OrderEffect) {
	if event := d.giveBack(order, "disconnected"); event != nil {
		d.events.Put(ctx, event)
	}
}
