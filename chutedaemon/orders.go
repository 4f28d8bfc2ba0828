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
	chuteaction.StoreRefused: "refused", chuteaction.StoreUnknown: "no-answer",
}

// startOrderDuties starts the duties that send orders.
func (d *Daemon) startOrderDuties() {
	d.orders = chutering.NewEntryEffects("orders", orderRingSize)
	d.starts = newWaitingStarts()
	d.renewers = newRenewers(d.group, d.workers, d.events)
	for range orderDuties {
		d.group.Go("orders", d.runOrders)
	}
}

func (d *Daemon) runOrders(ctx context.Context) {
	for {
		effect, ok := d.orders.Take(ctx)
		if !ok {
			return
		}
		order, ok := effect.(chuteaction.OrderEffect)
		if !ok {
			d.log.Error("daemon: effect in the order ring is no order", "type", fmt.Sprintf("%T", effect))
			continue
		}
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
			d.events.Put(ctx, d.workers.Approve(ctx, f))
		}
	}
}
