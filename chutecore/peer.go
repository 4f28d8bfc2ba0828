package chutecore

import (
	"time"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
)

// beatPeers sends a heartbeat to each live peer.
func (t *turn) beatPeers() {
	if t.now.Sub(t.state.beatAt) < beatInterval(t.state.peerCount) {
		return
	}
	t.state.beatAt = t.now
	t.state.sequence++
	for _, row := range t.state.host.Peers(t.now) {
		p, _ := t.state.peers.Get(row.Host)
		p.asked = heartbeat{sequence: t.state.sequence, sentAt: t.now}
		t.state.peers = t.state.peers.Set(row.Host, p)
		t.emit(chuteevent.SendPeerMessage{To: row.Host, Message: chuteevent.Heartbeat{
			Sequence: t.state.sequence, DocumentVersion: t.state.keeper.Document().Version,
		}})
	}
}

// linked reports whether the peer has answered lately.
func (t *turn) linked(host chutetable.HostID) bool {
	p, ok := t.state.peers.Get(host)
	return ok && !p.heard.IsZero() && t.now.Sub(p.heard) < missedBeats*beatInterval(t.state.peerCount)
}

// peerMessage handles a message of another entry host.
func (t *turn) peerMessage(e chuteevent.PeerMessageArrived) {
	switch m := e.Message.(type) {
	case chuteevent.Heartbeat:
		t.state.keeper = t.state.keeper.WithPeer(e.From, m.DocumentVersion)
		t.emit(chuteevent.SendPeerMessage{To: e.From, Message: t.heartbeatAnswer(m)})
	case chuteevent.HeartbeatAnswer:
		t.heartbeatAnswered(e.From, m)
	case chuteevent.ForwardCall:
		t.forwardedCall(e.From, m)
	case chuteevent.ForwardReply:
		t.forwardReplied(e.From, m)
	case chuteevent.ShardReleased:
		t.state.host = t.state.host.WithScanDue()
	case chuteevent.DocumentChanged:
		t.state.keeper = t.state.keeper.WithPeer(e.From, m.DocumentVersion)
		if m.DocumentVersion > t.state.keeper.Document().Version {
			t.enterKeeper(t.state.keeper.Tick(t.keeperEnvironment()))
		}
	}
}

func (t *turn) heartbeatAnswer(m chuteevent.Heartbeat) chuteevent.HeartbeatAnswer {
	age := time.Duration(-1)
	if t.state.keeper.Ready() {
		age = t.state.keeper.Age(t.now)
	}
	return chuteevent.HeartbeatAnswer{
		Sequence: m.Sequence, DocumentVersion: t.state.keeper.Document().Version, DocumentAge: age,
		Loads: t.state.router.Loads(), Leaving: t.state.router.Leaving(),
	}
}

// heartbeatAnswered enters an answer. Its proof counts from the moment the question was sent, so that its way back
// adds nothing to the document's freshness.
func (t *turn) heartbeatAnswered(from chutetable.HostID, m chuteevent.HeartbeatAnswer) {
	p, ok := t.state.peers.Get(from)
	if !ok || p.asked.sequence != m.Sequence {
		t.emit(chuteevent.Count{Counter: "peer-message-dropped", Reason: "late"})
		return
	}
	p.heard = t.now
	t.state.peers = t.state.peers.Set(from, p)
	t.state.keeper = t.state.keeper.WithPeer(from, m.DocumentVersion)
	if m.DocumentAge >= 0 {
		t.state.keeper = t.state.keeper.WithCurrentAt(m.DocumentVersion, p.asked.sentAt.Add(-m.DocumentAge))
	}
	t.state.router = t.state.router.HandlePeerLoads(t.routeEnvironment(), m.Loads, m.Leaving, len(t.state.host.Peers(t.now)))
}

// forwardedCall answers a call that a peer forwarded, if this host owns the shard.
func (t *turn) forwardedCall(from chutetable.HostID, m chuteevent.ForwardCall) {
	call, ok := m.Call.(chutecall.ShardCall)
	if !ok {
		t.emit(chuteevent.SendPeerMessage{To: from, Message: chuteevent.ForwardReply{
			ID: m.ID, Reply: chutecall.Refuse(chuteresult.Malformed, "call: no shard answers it"),
		}})
		return
	}
	shard := shardOfCall(call)
	s, owned := t.state.shards.Get(shard)
	if !owned {
		t.emit(chuteevent.SendPeerMessage{To: from, Message: chuteevent.ForwardReply{
			ID: m.ID, Reply: chutecall.Refuse(chuteresult.NotOwner, "%s does not own shard %d", t.state.self.Host, shard),
		}})
		return
	}
	t.enterShard(s.Call(t.shardEnvironment(shard), m.ID, from, call))
}

// forwardReplied answers the call that was forwarded; a reply that nobody waits for is dropped.
func (t *turn) forwardReplied(from chutetable.HostID, m chuteevent.ForwardReply) {
	f, ok := t.state.forwards.Get(m.ID)
	if !ok || f.to != from {
		t.emit(chuteevent.Count{Counter: "peer-message-dropped", Reason: "late"})
		return
	}
	t.state.forwards = t.state.forwards.Delete(m.ID)
	t.answer(m.ID, m.Reply)
}

// peerLost ends the calls that were forwarded over a link that broke.
func (t *turn) peerLost(host chutetable.HostID) {
	for i := t.state.forwards.Iterator(); !i.Done(); {
		id, f, _ := i.Next()
		if f.to == host {
			t.loseForward(id, f)
		}
	}
}

func (t *turn) expireForwards() {
	for i := t.state.forwards.Iterator(); !i.Done(); {
		id, f, _ := i.Next()
		if !t.now.Before(f.deadline) {
			t.loseForward(id, f)
		}
	}
}

// loseForward answers a forwarded call whose outcome will not be known here.
func (t *turn) loseForward(id chuteevent.CallID, f forwarded) {
	t.state.forwards = t.state.forwards.Delete(id)
	if f.changes {
		t.answer(id, chutecall.Refuse(chuteresult.ForwardLost, "owner %s did not answer; repeat the call with the same request id", f.to))
		return
	}
	t.answer(id, chutecall.Refuse(chuteresult.NoOwner, "owner %s did not answer", f.to))
}
