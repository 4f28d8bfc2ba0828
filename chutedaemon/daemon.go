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
	// followerGrowth is by how much memory may grow between two garbage collections, in percent.
	followerGrowth = 100
	// leaderGrowth is the same for the host that leads.
	leaderGrowth = 400
	// tickInterval is the time between two ticks of the core.
	tickInterval = 50 * time.Millisecond
	// eventRingSize is the number of events that may wait for the core.
	eventRingSize = 4096
	// storeRingSize is the number of requests that may wait for the store.
	storeRingSize = 1024
	// storeDuties is the number of requests to the store that may be on the way at once.
	storeDuties = 16
	// orderRingSize is the number of orders that may wait to be sent to workers.
	orderRingSize = 8192
	// newsRingSize is the number of notices that may wait to be told to the leader.
	newsRingSize = 256
	// newsDuties is the number of notices that may be on the way at once.
	newsDuties = 2
	// orderDuties is the number of orders that may be on the way at once.
	orderDuties = 64
)

// Store is the platform's store.
type Store interface {
	// Write carries out a transaction.
	Write(ctx context.Context, write chuteaction.WriteRows) chuteaction.RowsWritten
	// Read reads a range of rows.
	Read(ctx context.Context, read chuteaction.ReadRows) chuteaction.RowsRead
	// List reads all rows of a table, and returns the version from which changes follow.
	List(ctx context.Context, table chuteaction.Table) ([]chuteaction.Row, chuteaction.RowVersion, error)
	// Changes waits for changes after the version. ErrHistoryGone tells that the table must be listed anew.
	Changes(ctx context.Context, table chuteaction.Table, after chuteaction.RowVersion, wait time.Duration) ([]chuteaction.Row, chuteaction.RowVersion, error)
	// Interrupt ends all requests on the way, without their answers.
	Interrupt()
}

// Workers carries orders to workers.
type Workers interface {
	// Start orders a worker to start a run.
	Start(ctx context.Context, order chuteaction.StartRun) chuteaction.RunStarted
	// Stop orders a worker to stop a run.
	Stop(ctx context.Context, order chuteaction.StopRun) chuteaction.RunStopped
	// Renew renews a lease and asks what runs.
	Renew(ctx context.Context, order chuteaction.RenewLease) chuteaction.LeaseRenewed
	// Pace lets a run work at a share of its full speed.
	Pace(ctx context.Context, order chuteaction.PaceRun) error
	// Approve asks which workers may run a step.
	Approve(ctx context.Context, question chuteaction.RequestApproval) chuteaction.StepApproved
	// Forget closes the connections to a worker.
	Disconnect(worker chutetask.WorkerID)
}

// Machines is the platform's service that lists machines and takes them down.
type Machines interface {
	// List returns all machines.
	List(ctx context.Context) chuteaction.MachinesListed
	// Maintain takes a machine down for its maintenance.
	Maintain(ctx context.Context, order chuteaction.MaintainMachine) chuteaction.MachineMaintained
}

// Outside is all that an entry host speaks to.
type Dependencies struct {
	Store    Store
	Workers  Workers
	Machines Machines
	Peers    Peers
}

// Peers are the other entry hosts, through which the store may be reached.
type Peers interface {
	// SetPeers sets their addresses.
	SetPeers(addresses []string)
	// Tell gives a notice to the host at the address, and returns an error unless that host confirms it.
	SendNotice(ctx context.Context, address string, notice []byte) error
	// Told waits for the next notice of another host, and reports false if the context ended first.
	NextNotice(ctx context.Context) ([]byte, bool)
}

// Daemon is a running entry host.
type Daemon struct {
	events    chutering.EntryEvents
	exchange  *exchange
	store     chutering.EntryEffects
	orders    chutering.EntryEffects
	news      chutering.EntryEffects
	followers *followers
	renewers  *renewers
	workers   Workers
	machines  Machines
	peers     Peers
	metrics   *chutemetric.Metrics
	log       *slog.Logger
	logs      *logWriter
	group     *chuteduty.Group
	refused   []chuteaction.Event // events of effects that found a full ring, for the core's next turns
	leads     bool                // this host led after the latest event
	serving   atomic.Bool
	stopped   chan struct{}
}

// New starts the duties of an entry host, and returns a clean-up function that stops it as planned, within the limit.
func New(settings chuteentry.Settings, outside Dependencies, metrics *chutemetric.Metrics, log *slog.Logger, stopLimit time.Duration) (*Daemon, func()) {
	group, endDuties := chuteduty.New(log)
	context.AfterFunc(group.Context(), outside.Store.Interrupt)
	d := &Daemon{
		events: chutering.NewEntryEvents("core", eventRingSize), exchange: newExchange(),
		store: chutering.NewEntryEffects("store", storeRingSize), orders: chutering.NewEntryEffects("orders", orderRingSize),
		news:    chutering.NewEntryEffects("news", newsRingSize),
		workers: outside.Workers, machines: outside.Machines, peers: outside.Peers, metrics: metrics, log: log, group: group, stopped: make(chan struct{}),
	}
	d.followers = newFollowers(group, outside.Store, d.events, log)
	d.renewers = newRenewers(group, outside.Workers, d.events)
	d.logs = newLogWriter(log, metrics)
	group.Go("log-info", d.logs.runInfo)
	group.Go("log-warn", d.logs.runWarn)
	for range storeDuties {
		group.Go("store", func(ctx context.Context) { d.runStore(ctx, outside.Store) })
	}
	for range orderDuties {
		group.Go("orders", d.runOrders)
	}
	for range newsDuties {
		group.Go("news", d.runNews)
	}
	group.Go("told", d.runTold)
	group.Go("core", func(ctx context.Context) { d.runCore(ctx, chuteentry.New(settings)) })
	group.Go("ticks", d.runTicks)
	return d, func() {
		d.BeginStop(stopLimit)
		timer := time.NewTimer(stopLimit)
		defer timer.Stop()
		select {
		case <-d.stopped:
		case <-timer.C:
			log.Warn("daemon: the planned stop took too long and is cut short")
		}
		endDuties()
	}
}

// Leave begins a planned stop: the host reports that it is not serving and gives up its leadership, but goes on to
// answer calls until the clean-up function runs. All calls are answered within the time.
func (d *Daemon) BeginStop(within time.Duration) {
	d.events.Offer(chuteaction.StopRequested{Timeout: within})
}

// Failed returns a channel that is closed when a part of the daemon has ended by a fault.
func (d *Daemon) Failed() <-chan struct{} {
	return d.group.Failed()
}

// Serving reports whether the host should get new connections.
func (d *Daemon) Serving() bool {
	return d.serving.Load()
}

// runCore steps the core with each event, and hands its effects on. An effect whose ring is full comes back at once
// as the event of its failure.
func (d *Daemon) runCore(ctx context.Context, state chuteentry.State) {
	for {
		event, ok := d.events.Take(ctx)
		if !ok {
			return
		}
		state = d.step(state, event)
		for len(d.refused) > 0 {
			next := d.refused[0]
			d.refused = d.refused[1:]
			state = d.step(state, next)
		}
	}
}

func (d *Daemon) step(state chuteentry.State, event chuteaction.Event) chuteentry.State {
	now := time.Now()
	state, effects := chuteentry.Step(state, chuteaction.TimedEvent{At: now, Event: event})
	for _, effect := range effects {
		d.carry(effect)
	}
	d.serving.Store(state.Serving(now))
	d.paceCollector(state.Leads())
	return state
}

// paceCollector lets the memory of a leading host grow more between two garbage collections: its state is large, and
// changes with each event.
func (d *Daemon) paceCollector(leads bool) {
	if leads == d.leads {
		return
	}
	d.leads = leads
	growth := followerGrowth
	if leads {
		growth = leaderGrowth
	}
	former := debug.SetGCPercent(growth)
	d.log.Info("daemon: garbage collection is paced", "leads", leads, "growth-percent", growth, "former", former)
}

// carry hands one effect to its duty.
func (d *Daemon) carry(effect chuteaction.Effect) {
	switch f := effect.(type) {
	case chuteaction.AnswerCall:
		if !d.exchange.answer(f) {
			d.metrics.Count("answer-dropped", "nobody-waits")
		}
	case chuteaction.WriteRows:
		d.carryStore(f, chuteaction.RowsWritten{Token: f.Token, Outcome: chuteaction.StoreRefused})
	case chuteaction.ReadRows:
		d.carryStore(f, chuteaction.RowsRead{Token: f.Token, Outcome: chuteaction.StoreRefused})
	case chuteaction.WatchTable:
		d.followers.follow(f)
	case chuteaction.UnwatchTable:
		d.followers.unfollow(f.Table)
	case chuteaction.SetPeers:
		d.peers.SetPeers(f.Addresses)
	case chuteaction.ForwardRows:
		if !d.news.Offer(f) {
			d.metrics.Count("news-dropped", "ring-full")
		}
	case chuteaction.StartRun:
		d.carryOrder(f, chuteaction.RunStarted{
			Epoch: f.Epoch, Worker: f.Worker, Run: f.Run, Outcome: chuteaction.OrderUnhealthy,
		})
	case chuteaction.StopRun:
		d.carryOrder(f, chuteaction.RunStopped{
			Epoch: f.Epoch, Worker: f.Worker, Run: f.Run, Outcome: chuteaction.OrderUnhealthy,
		})
	case chuteaction.RenewLease:
		d.carryRenewal(f)
	case chuteaction.DisconnectWorker:
		d.renewers.forget(f.Worker)
		d.workers.Disconnect(f.Worker)
	case chuteaction.PaceRun:
		d.carryOrder(f, nil)
	case chuteaction.RequestApproval:
		d.carryOrder(f, chuteaction.StepApproved{Step: f.Step, Workers: f.Workers})
	case chuteaction.ListMachines:
		d.carryOrder(f, chuteaction.MachinesListed{})
	case chuteaction.MaintainMachine:
		d.carryOrder(f, chuteaction.MachineMaintained{
			Epoch: f.Epoch, Machine: f.Machine, Wave: f.Wave, Outcome: chuteaction.OrderUnhealthy, Reason: "ring-full",
		})
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

func (d *Daemon) carryStore(effect chuteaction.Effect, refusal chuteaction.Event) {
	if !d.store.Offer(effect) {
		d.metrics.Count("store-refused", "ring-full")
		d.refused = append(d.refused, refusal)
	}
}

func (d *Daemon) carryOrder(effect chuteaction.Effect, refusal chuteaction.Event) {
	if !d.orders.Offer(effect) {
		d.metrics.Count("order-refused", "ring-full")
		if refusal != nil {
			d.refused = append(d.refused, refusal)
		}
	}
}

// carryRenewal hands a renewal that waits to the worker's own duty, and any other to the duties of orders.
func (d *Daemon) carryRenewal(f chuteaction.RenewLease) {
	refusal := chuteaction.LeaseRenewed{Epoch: f.Epoch, Worker: f.Worker, SentAt: time.Now(), Outcome: chuteaction.OrderUnhealthy}
	if f.PollTimeout == 0 {
		d.carryOrder(f, refusal)
		return
	}
	if !d.renewers.renew(f) {
		d.metrics.Count("order-refused", "renewal-ring-full")
		d.refused = append(d.refused, refusal)
	}
}

// runTicks offers a tick at each interval and reports how full the rings are.
func (d *Daemon) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		d.events.Offer(chuteaction.Tick{})
		for _, g := range []chutering.RingStats{d.events.Stats(), d.store.Stats(), d.orders.Stats(), d.news.Stats()} {
			d.metrics.SetRingStats(g)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
