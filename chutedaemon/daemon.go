package chutedaemon

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chuteentry"
	"monsoonchute.example/monsoonchute/chutelog"
	"monsoonchute.example/monsoonchute/chutemetric"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutewatch"
)

const (
	// followerGCPercent is the garbage collection target (GOGC) of a host that does not lead, in percent.
	followerGCPercent = 100
	// leaderGCPercent is the garbage collection target of the leader, in percent.
	leaderGCPercent = 400
	// tickInterval is the time between two tick events for the core.
	tickInterval = 50 * time.Millisecond
	// eventRingSize is the capacity of the ring of events for the core.
	eventRingSize = 4096
	// storeRingSize is the capacity of the ring of store requests.
	storeRingSize = 1024
	// storeDuties is the number of duties that send store requests, one request at a time each.
	storeDuties = 16
	// startRingSize is the capacity of the ring of start orders.
	startRingSize = 8192
	// startDuties is the number of duties that send start orders, one order at a time each.
	startDuties = 192
	// orderRingSize is the capacity of the ring of orders that limit the speed of runs or go to other services.
	orderRingSize = 1024
	// forwardRingSize is the capacity of the ring of notices to the leader.
	forwardRingSize = 256
	// forwardDuties is the number of duties that send notices to the leader, one notice at a time each.
	forwardDuties = 2
	// orderDuties is the number of duties that send the orders of that ring, one order at a time each.
	orderDuties = 32
)

// Daemon is a running entry host.
type Daemon struct {
	events       chutering.EntryEvents
	calls        *pendingCalls
	store        chutering.EntryEffects
	orders       chutering.EntryEffects
	forwards     chutering.EntryEffects
	starts       *waitingStarts
	startRing    chutering.EntryEffects
	watchers     *chutewatch.Watchers
	workerDuties *workerDuties
	workers      Workers
	machines     Machines
	peers        Peers
	metrics      *chutemetric.Metrics
	log          *slog.Logger
	logs         *chutelog.Writer
	group        *chuteduty.Group
	failures     []chuteaction.Event // failure events of effects whose ring was full; the core handles them before the next event
	leading      bool                // whether this host was the leader after the latest event
	serving      atomic.Bool
	bodyLimit    atomic.Int64 // bytes; 0 if unknown
	stopped      chan struct{}
}

// New starts the duties of an entry host. The clean-up function begins a planned stop, waits up to stopTimeout for its end,
// and stops the duties.
func New(settings chuteentry.Settings, dependencies Dependencies, metrics *chutemetric.Metrics, log *slog.Logger, stopTimeout time.Duration) (*Daemon, func()) {
	group, endDuties := chuteduty.New(log)
	context.AfterFunc(group.Context(), dependencies.Store.Interrupt)
	d := &Daemon{
		events: chutering.NewEntryEvents("core", eventRingSize), calls: newPendingCalls(),
		store:    chutering.NewEntryEffects("store", storeRingSize),
		forwards: chutering.NewEntryEffects("news", forwardRingSize),
		workers:  dependencies.Workers, machines: dependencies.Machines, peers: dependencies.Peers, metrics: metrics, log: log, group: group, stopped: make(chan struct{}),
	}
	d.watchers = chutewatch.New(group, dependencies.Store, d.events, log)
	d.logs = chutelog.New(log, metrics)
	group.Go("log-info", d.logs.RunInfo)
	group.Go("log-warn", d.logs.RunWarn)
	for range storeDuties {
		group.Go("store", func(ctx context.Context) { d.runStore(ctx, dependencies.Store) })
	}
	d.startOrderDuties()
	for range forwardDuties {
		group.Go("news", d.runForwards)
	}
	group.Go("told", d.receiveForwarded)
	group.Go("core", func(ctx context.Context) { d.runCore(ctx, chuteentry.New(settings)) })
	group.Go("ticks", d.runTicks)
	return d, func() {
		d.BeginStop(stopTimeout)
		timer := time.NewTimer(stopTimeout)
		defer timer.Stop()
		select {
		case <-d.stopped:
		case <-timer.C:
			log.Warn("daemon: planned stop did not end in time; stopping now")
		}
		endDuties()
	}
}

// BeginStop begins a planned stop: the host reports that it is not serving and gives up its leadership, but continues to
// answer calls until the clean-up function runs. It answers all calls within the limit.
func (d *Daemon) BeginStop(limit time.Duration) {
	d.events.Offer(chuteaction.StopRequested{Timeout: limit})
}

// Failed returns a channel that is closed when a duty of the daemon has failed.
func (d *Daemon) Failed() <-chan struct{} {
	return d.group.Failed()
}

// Serving reports whether the platform should route new connections to the host.
func (d *Daemon) Serving() bool {
	return d.serving.Load()
}

// BodyLimit returns the largest body of a call in bytes by the configuration, or 0 if the host knows none.
func (d *Daemon) BodyLimit() int {
	return int(d.bodyLimit.Load())
}

// runTicks sends the core a tick event every tickInterval and updates the metrics of the rings.
func (d *Daemon) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		d.events.Offer(chuteaction.Tick{})
		for _, s := range []chutering.RingStats{d.events.Stats(), d.store.Stats(), d.startRing.Stats(), d.orders.Stats(), d.forwards.Stats()} {
			d.metrics.SetRingStats(s)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
