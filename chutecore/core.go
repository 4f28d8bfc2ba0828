package chutecore

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutehost"
	"monsoonchute.example/monsoonchute/chuterevision"
	"monsoonchute.example/monsoonchute/chuteroute"
	"monsoonchute.example/monsoonchute/chuteshard"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// turn is the handling of one event.
type turn struct {
	state   State
	now     time.Time
	effects []chuteevent.Effect
}

// Step returns the state after the event and what is asked of the outside. It is a pure function.
func Step(state State, timed chuteevent.TimedEvent) (State, []chuteevent.Effect) {
	t := &turn{state: state, now: timed.At}
	switch e := timed.Event.(type) {
	case chuteevent.Tick:
		t.tick()
	case chuteevent.CallArrived:
		t.call(e)
	case chuteevent.PeerMessageArrived:
		t.peerMessage(e)
	case chuteevent.PeerDisconnected:
		t.peerLost(e.Host)
	case chuteevent.TableCommitted:
		t.committed(e)
	case chuteevent.TableRead:
		t.read(e)
	case chuteevent.TableFailed:
		t.failed(e.Token)
	case chuteevent.StoreStateChanged:
		t.state.store = e.State
	case chuteevent.MembershipListed:
		t.listed(e.Hosts)
	case chuteevent.WorkerPolled:
		t.worker(e)
	case chuteevent.OrderEnded:
		t.worker(e)
	case chuteevent.RequestArrived:
		t.request(e)
	case chuteevent.AttemptEnded:
		t.request(e)
	case chuteevent.BackendProbed:
		t.request(e)
	case chuteevent.StopRequested:
		t.stop()
	}
	return t.state, t.effects
}

func (t *turn) emit(effects ...chuteevent.Effect) {
	t.effects = append(t.effects, effects...)
}

func (t *turn) storeUp() bool {
	return t.state.store != chuteevent.StoreDown
}

func (t *turn) hostEnvironment() chutehost.Environment {
	return chutehost.Environment{
		Now: t.now, Shards: t.state.keeper.Document().Policy.Shards, Ready: t.state.keeper.Ready() && len(t.state.topology.Workers()) > 0,
	}
}

func (t *turn) keeperEnvironment() chuterevision.Environment {
	return chuterevision.Environment{
		Now: t.now, Boot: t.state.self.Boot, Topology: t.state.topology, StoreUp: t.storeUp(), Peers: t.state.host.Peers(t.now),
	}
}

func (t *turn) routeEnvironment() chuteroute.Environment {
	return chuteroute.Environment{
		Now: t.now, Host: t.state.self.Host, Boot: t.state.self.Boot, Policy: t.state.keeper.Document().Policy,
		StoreUp: t.storeUp(), Hosts: 1 + t.state.peerCount,
	}
}

func (t *turn) shardEnvironment(shard int) chuteshard.Environment {
	return chuteshard.Environment{
		Now: t.now, Boot: t.state.self.Boot, Document: t.state.keeper.Document(), Topology: t.shardTopology(shard),
		MayStart: t.state.MayStart(t.now), StoreUp: t.storeUp(),
	}
}

// enterShard takes over the outcome of a shard's step.
func (t *turn) enterShard(o chuteshard.Outcome) {
	t.emit(o.Effects...)
	if o.Fenced {
		t.state.shards = t.state.shards.Delete(o.State.Shard())
		t.state.host = t.state.host.WithScanDue()
		t.emit(chuteevent.Count{Counter: "shard-lost", Reason: "fenced"})
		return
	}
	t.state.shards = t.state.shards.Set(o.State.Shard(), o.State)
}

func (t *turn) enterHost(host chutehost.State, effects []chuteevent.Effect, notices []chutehost.Notice) {
	t.state.host = host
	t.emit(effects...)
	for _, n := range notices {
		switch n := n.(type) {
		case chutehost.Acquired:
			shard, effects := chuteshard.New(n.Shard, n.Epoch, n.Version, t.shardEnvironment(n.Shard))
			t.state.shards = t.state.shards.Set(n.Shard, shard)
			t.emit(effects...)
		case chutehost.Lost:
			t.state.shards = t.state.shards.Delete(n.Shard)
			t.emit(chuteevent.Count{Counter: "shard-lost", Reason: "taken"})
		case chutehost.HandOverRequested:
			if t.state.handOver < 0 {
				t.state.handOver = n.Shard
			}
		}
	}
}

func (t *turn) enterKeeper(keeper chuterevision.State, effects []chuteevent.Effect) {
	t.state.keeper = keeper
	t.emit(effects...)
}

func (t *turn) enterRouter(router chuteroute.State, effects []chuteevent.Effect) {
	t.state.router = router
	t.emit(effects...)
}

func (t *turn) tick() {
	t.enterHost(t.state.host.Tick(t.hostEnvironment()))
	t.state.peerCount = len(t.state.host.Peers(t.now))
	t.enterKeeper(t.state.keeper.Tick(t.keeperEnvironment()))
	t.enterRouter(t.state.router.Tick(t.routeEnvironment()))
	for _, number := range t.state.Shards() {
		if shard, ok := t.state.shards.Get(number); ok {
			t.enterShard(shard.Tick(t.shardEnvironment(number)))
		}
	}
	t.beatPeers()
	t.expireForwards()
	t.handOver()
	t.advanceStop()
}

// listed enters the platform's list of hosts.
func (t *turn) listed(hosts []chuteevent.PlatformHost) {
	var workers []chutetopology.Worker
	for _, h := range hosts {
		if h.Role == chuteevent.RoleWorker {
			workers = append(workers, chutetopology.Worker{
				ID: chutetopology.WorkerID(h.ID), Zone: chutetopology.ZoneID(h.Zone), Rack: chutetopology.RackID(h.Rack),
				Accelerators: h.Accelerators, Address: h.Address,
			})
		}
	}
	if topology := chutetopology.New(workers); !topology.Equal(t.state.topology) {
		t.state.topology = topology
	}
	t.enterRouter(t.state.router.HandleMembershipListed(t.routeEnvironment(), hosts))
}

func (t *turn) worker(e chuteevent.WorkerEvent) {
	if shard, ok := t.state.shards.Get(e.ShardNumber()); ok {
		t.enterShard(shard.WorkerEvent(t.shardEnvironment(e.ShardNumber()), e))
	}
}

func (t *turn) request(e chuteevent.RequestEvent) {
	t.enterRouter(t.state.router.Step(t.routeEnvironment(), e))
}
