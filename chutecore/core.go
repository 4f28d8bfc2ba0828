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

// transition computes the new state and the effects of one event.
type transition struct {
	state    State
	now      time.Time
	effects  []chuteevent.Effect
	resuming bool // a deferred call is being handled again
}

// Step returns the state after the event and the effects that the caller must carry out. It is a pure function.
func Step(state State, timed chuteevent.TimedEvent) (State, []chuteevent.Effect) {
	t := &transition{state: state, now: timed.At}
	switch e := timed.Event.(type) {
	case chuteevent.Tick:
		t.tick()
	case chuteevent.CallArrived:
		t.handleCall(e)
	case chuteevent.PeerMessageArrived:
		t.handlePeerMessage(e)
	case chuteevent.PeerDisconnected:
		t.handlePeerDisconnected(e.Host)
	case chuteevent.TableCommitted:
		t.handleTableEvent(e)
	case chuteevent.TableRead:
		t.handleTableEvent(e)
	case chuteevent.TableFailed:
		t.handleTableEvent(e)
	case chuteevent.StoreStateChanged:
		t.state.store = e.State
	case chuteevent.MembershipListed:
		t.handleMembership(e.Hosts)
	case chuteevent.WorkerPolled:
		t.handleWorkerEvent(e)
	case chuteevent.OrderEnded:
		t.handleWorkerEvent(e)
	case chuteevent.RequestArrived:
		t.handleRequestEvent(e)
	case chuteevent.AttemptEnded:
		t.handleRequestEvent(e)
	case chuteevent.BackendProbed:
		t.handleRequestEvent(e)
	case chuteevent.StopRequested:
		t.beginStop()
	}
	t.resumeDeferred()
	return t.state, t.effects
}

func (t *transition) emit(effects ...chuteevent.Effect) {
	t.effects = append(t.effects, effects...)
}

func (t *transition) storeReachable() bool {
	return t.state.store != chuteevent.StoreDown
}

func (t *transition) hostEnvironment() chutehost.Environment {
	return chutehost.Environment{
		Now: t.now, Shards: t.state.revision.Document().Policy.Shards, Ready: t.state.revision.Ready() && len(t.state.topology.Workers()) > 0,
	}
}

func (t *transition) revisionEnvironment() chuterevision.Environment {
	return chuterevision.Environment{
		Now: t.now, BootID: t.state.self.BootID, Topology: t.state.topology, StoreUp: t.storeReachable(), Peers: t.state.host.Peers(t.now),
	}
}

func (t *transition) routeEnvironment() chuteroute.Environment {
	return chuteroute.Environment{
		Now: t.now, Host: t.state.self.Host, BootID: t.state.self.BootID, Policy: t.state.revision.Document().Policy,
		StoreUp: t.storeReachable(), Hosts: 1 + t.state.peerCount,
	}
}

func (t *transition) shardEnvironment(shard int) chuteshard.Environment {
	return chuteshard.Environment{
		Now: t.now, BootID: t.state.self.BootID, Document: t.state.revision.Document(), Topology: t.shardTopology(shard),
		LeaseValid: t.state.host.LeaseValid(t.now), MayStart: t.state.MayStart(t.now), StoreUp: t.storeReachable(),
		JobBytes: t.state.jobBytes / int64(max(1, t.state.revision.Document().Policy.Shards)),
	}
}

// applyShard stores the new state of a shard and emits its effects. It drops a shard that another host has taken.
func (t *transition) applyShard(o chuteshard.Outcome) {
	t.emit(o.Effects...)
	if o.Fenced {
		t.state.shards = t.state.shards.Delete(o.State.Shard())
		t.state.host = t.state.host.WithScanDue()
		t.emit(chuteevent.Count{Counter: "shard-lost", Reason: "fenced"})
		return
	}
	t.state.shards = t.state.shards.Set(o.State.Shard(), o.State)
}

// applyHost stores the new state of shard ownership, emits its effects and acts on its notices.
func (t *transition) applyHost(host chutehost.State, effects []chuteevent.Effect, notices []chutehost.Notice) {
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
			if t.state.handOverShard < 0 {
				t.state.handOverShard = n.Shard
			}
		}
	}
}

func (t *transition) applyRevision(revision chuterevision.State, effects []chuteevent.Effect) {
	t.state.revision = revision
	t.emit(effects...)
}

func (t *transition) applyRouter(router chuteroute.State, effects []chuteevent.Effect) {
	t.state.router = router
	t.emit(effects...)
}

func (t *transition) tick() {
	t.applyHost(t.state.host.Tick(t.hostEnvironment()))
	t.state.peerCount = len(t.state.host.Peers(t.now))
	t.applyRevision(t.state.revision.Tick(t.revisionEnvironment()))
	t.applyRouter(t.state.router.Tick(t.routeEnvironment()))
	for _, number := range t.state.Shards() {
		if shard, ok := t.state.shards.Get(number); ok {
			t.applyShard(shard.Tick(t.shardEnvironment(number)))
		}
	}
	t.sendHeartbeats()
	t.expireForwards()
	t.advanceHandOver()
	t.advanceStop()
}

// handleMembership updates the topology and the backend servers from the platform's list of hosts.
func (t *transition) handleMembership(hosts []chuteevent.PlatformHost) {
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
	t.applyRouter(t.state.router.HandleMembershipListed(t.routeEnvironment(), hosts))
}

func (t *transition) handleWorkerEvent(e chuteevent.WorkerEvent) {
	if shard, ok := t.state.shards.Get(e.ShardNumber()); ok {
		t.applyShard(shard.WorkerEvent(t.shardEnvironment(e.ShardNumber()), e))
	}
}

func (t *transition) handleRequestEvent(e chuteevent.RequestEvent) {
	t.applyRouter(t.state.router.Step(t.routeEnvironment(), e))
}
