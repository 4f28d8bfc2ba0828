package chutedaemon

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chuteentry"
	"monsoonchute.example/monsoonchute/chutemetric"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutetask"
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
	startDuties = 512
	// orderRingSize is the capacity of the ring of orders that limit the speed of runs or go to other services.
	orderRingSize = 1024
	// forwardRingSize is the capacity of the ring of notices to the leader.
	forwardRingSize = 256
	// forwardDuties is the number of duties that send notices to the leader, one notice at a time each.
	forwardDuties = 2
	// orderDuties is the number of duties that send the orders of that ring, one order at a time each.
	orderDuties = 32
)

// Store is the platform's store.
type Store interface {
	// Write commits a transaction if all its conditions hold.
	Write(ctx context.Context, write chuteaction.WriteRows) chuteaction.RowsWritten
	// Read reads a range of rows.
	Read(ctx context.Context, read chuteaction.ReadRows) chuteaction.RowsRead
	// List reads all rows of a table, and returns the version after which Changes continues.
	List(ctx context.Context, table chuteaction.Table) ([]chuteaction.Row, chuteaction.RowVersion, error)
	// Changes waits up to the poll timeout for changes after the version. After ErrHistoryGone the table must be listed again.
	Changes(ctx context.Context, table chuteaction.Table, after chuteaction.RowVersion, pollTimeout time.Duration) ([]chuteaction.Row, chuteaction.RowVersion, error)
	// Interrupt aborts all requests in flight.
	Interrupt()
}

// Workers sends orders to workers, and requests to the approval service.
type Workers interface {
	// Start orders a worker to start a run.
	Start(ctx context.Context, order chuteaction.StartRun) chuteaction.RunStarted
	// Stop orders a worker to stop a run.
	Stop(ctx context.Context, order chuteaction.StopRun) chuteaction.RunStopped
	// Renew renews the lease of a worker and returns its running tasks and its unacknowledged run ends.
	Renew(ctx context.Context, order chuteaction.RenewLease) chuteaction.LeaseRenewed
	// Pace orders a worker to limit a run to a percentage of its full speed.
	Pace(ctx context.Context, order chuteaction.PaceRun) error
	// Approve asks the approval service which workers may run a step.
	Approve(ctx context.Context, request chuteaction.RequestApproval) chuteaction.StepApproved
	// Disconnect closes the connections to a worker.
	Disconnect(worker chutetask.WorkerID)
}

// Machines is the platform's service that lists machines and takes them down for maintenance.
type Machines interface {
	// List returns all machines.
	List(ctx context.Context) chuteaction.MachinesListed
	// Maintain orders the service to take a machine down for its maintenance.
	Maintain(ctx context.Context, order chuteaction.MaintainMachine) chuteaction.MachineMaintained
}

// Dependencies are the services and hosts that an entry host communicates with.
type Dependencies struct {
	Store    Store
	Workers  Workers
	Machines Machines
	Peers    Peers
}

// Peers are the other entry hosts.
type Peers interface {
	// SetPeers sets the addresses of the other entry hosts.
	SetPeers(addresses []string)
	// SendNotice sends a notice to the host at the address, and returns an error unless that host confirms it.
	SendNotice(ctx context.Context, address string, notice []byte) error
	// NextNotice waits for the next notice of another host. It returns false if the context ended first.
	NextNotice(ctx context.Context) ([]byte, bool)
}

// Daemon is a running entry host.
type Daemon struct {
	events       chutering.EntryEvents
	calls        *pendingCalls
	store        chutering.EntryEffects
	orders       chutering.EntryEffects
	forwards     chutering.EntryEffects
	starts       *waitingStarts
	startRing    chutering.EntryEffects
	watchers     *watchers
	workerDuties *workerDuties
	workers      Workers
	machines     Machines
	peers        Peers
	metrics      *chutemetric.Metrics
	log          *slog.Logger
	logs         *logWriter
	group        *chuteduty.Group
	failures     []chuteaction.Event // failure events of effects whose ring was full; the core handles them before the next event
	leading      bool                // whether this host was the leader after the latest event
	serving      atomic.Bool
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
	d.watchers = newWatchers(group, dependencies.Store, d.events, log)
	d.logs = newLogWriter(log, metrics)
	group.Go("log-info", d.logs.runInfo)
	group.Go("log-warn", d.logs.runWarn)
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
		d.watchers.watch(f)
	case chuteaction.UnwatchTable:
		d.watchers.unwatch(f.Table)
	case chuteaction.SetPeers:
		d.peers.SetPeers(f.Addresses)
	case chuteaction.ForwardRows:
		if !d.forwards.Offer(f) {
			d.metrics.Count("news-dropped", "ring-full")
		}
	case chuteaction.RenewLease:
		d.dispatchRenewal(f)
	case chuteaction.DisconnectWorker:
		d.workerDuties.remove(f.Worker)
		d.workers.Disconnect(f.Worker)
	case chuteaction.StartRun:
		d.dispatchStart(f)
	case chuteaction.StopRun:
		d.starts.remove(f.Run)
		d.dispatchToWorker(f.Worker, stopDuty, f)
	case chuteaction.PaceRun:
		d.dispatchOrder(f)
	case chuteaction.RequestApproval:
		d.dispatchOrder(f)
	case chuteaction.ListMachines:
		d.dispatchOrder(f)
	case chuteaction.MaintainMachine:
		d.dispatchOrder(f)
	case chuteaction.Count:
		d.metrics.Count(f.Counter, f.Reason)
	case chuteaction.Observe:
		d.metrics.ObserveKind(f.Histogram, f.Kind, f.Duration)
	case chuteaction.LogLine:
		d.logs.offer(f)
	case chuteaction.Stopped:
		close(d.stopped)
	}
}

func (d *Daemon) dispatchToStore(effect chuteaction.Effect, failure chuteaction.Event) {
	if !d.store.Offer(effect) {
		d.metrics.Count("store-refused", "ring-full")
		d.failures = append(d.failures, failure)
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

func (d *Daemon) dispatchOrder(order chuteaction.OrderEffect) {
	if !d.orders.Offer(order) {
		d.refuseOrder(order, "ring-full")
	}
}

// refuseOrder lets the core handle next that an order was not sent, since its ring is full.
func (d *Daemon) refuseOrder(order chuteaction.OrderEffect, reason string) {
	d.metrics.Count("order-refused", reason)
	if failure := d.giveBack(order, "ring-full"); failure != nil {
		d.failures = append(d.failures, failure)
	}
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
