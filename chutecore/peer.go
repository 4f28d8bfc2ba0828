package chutecore

import (
	"time"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
)

// sendHeartbeats sends a heartbeat to each live peer when the interval has passed.
func (t *transition) sendHeartbeats() {
	if t.now.Sub(t.state.heartbeatSentAt) < heartbeatInterval(t.state.peerCount) {
		return
	}
	t.state.heartbeatSentAt = t.now
	t.state.heartbeatSequence++
	for _, row := range t.state.host.Peers(t.now) {
		p, _ := t.state.peers.Get(row.Host)
		p.awaited = heartbeat{sequence: t.state.heartbeatSequence, sentAt: t.now}
		t.state.peers = t.state.peers.Set(row.Host, p)
		t.emit(chuteevent.SendPeerMessage{To: row.Host, Message: chuteevent.Heartbeat{
			Sequence: t.state.heartbeatSequence, DocumentVersion: t.state.revision.Document().Version,
		}})
	}
}

// linked reports whether the peer has answered within the last maxMissedHeartbeats intervals.
func (t *transition) linked(host chutetable.HostID) bool {
	p, ok := t.state.peers.Get(host)
	return ok && !p.answeredAt.IsZero() && t.now.Sub(p.answeredAt) < maxMissedHeartbeats*heartbeatInterval(t.state.peerCount)
}

// handlePeerMessage handles a message from another entry host.
func (t *transition) handlePeerMessage(e chuteevent.PeerMessageArrived) {
	switch m := e.Message.(type) {
	case chuteevent.Heartbeat:
		t.state.revision = t.state.revision.WithPeer(e.From, m.DocumentVersion)
		t.emit(chuteevent.SendPeerMessage{To: e.From, Message: t.answerHeartbeat(m)})
	case chuteevent.HeartbeatAnswer:
		t.handleHeartbeatAnswer(e.From, m)
	case chuteevent.ForwardCall:
		t.handleForwardedCall(e.From, m)
	case chuteevent.ForwardReply:
		t.handleForwardReply(e.From, m)
	case chuteevent.ShardReleased:
		t.state.host = t.state.host.WithScanDue()
	case chuteevent.DocumentChanged:
		t.state.revision = t.state.revision.WithPeer(e.From, m.DocumentVersion)
		if m.DocumentVersion > t.state.revision.Document().Version {
			t.applyRevision(t.state.revision.Tick(t.revisionEnvironment()))
		}
	}
}

func (t *transition) answerHeartbeat(m chuteevent.Heartbeat) chuteevent.HeartbeatAnswer {
	age := time.Duration(-1)
	if t.state.revision.Ready() {
		age = t.state.revision.Age(t.now)
	}
	return chuteevent.HeartbeatAnswer{
		Sequence: m.Sequence, DocumentVersion: t.state.revision.Document().Version, DocumentAge: age,
		Loads: t.state.router.Loads(), Leaving: t.state.router.Leaving(),
	}
}

// handleHeartbeatAnswer records a peer's answer. The age of the document in the answer counts from when the heartbeat
// was sent, so that the answer's transit time cannot make the document look fresher than it is.
func (t *transition) handleHeartbeatAnswer(from chutetable.HostID, m chuteevent.HeartbeatAnswer) {
	p, ok := t.state.peers.Get(from)
	if !ok || p.awaited.sequence != m.Sequence {
		t.emit(chuteevent.Count{Counter: "peer-message-dropped", Reason: "late"})
		return
	}
	p.answeredAt = t.now
	t.state.peers = t.state.peers.Set(from, p)
	t.state.revision = t.state.revision.WithPeer(from, m.DocumentVersion)
	if m.DocumentAge >= 0 {
		t.state.revision = t.state.revision.WithCurrentAt(m.DocumentVersion, p.awaited.sentAt.Add(-m.DocumentAge))
	}
	t.state.router = t.state.router.HandlePeerLoads(t.routeEnvironment(), m.Loads, m.Leaving, len(t.state.host.Peers(t.now)))
}

// handleForwardedCall handles a call that a peer forwarded; it refuses the call if this host does not own the shard.
func (t *transition) handleForwardedCall(from chutetable.HostID, m chuteevent.ForwardCall) {
	origin := chuteevent.Origin{ID: m.ID, From: from}
	call, ok := m.Call.(chutecall.ShardCall)
	if !ok {
		t.emit(origin.Answer(chutecall.Refuse(chuteresult.Malformed, "call: no shard answers it")))
		return
	}
	shard := callShard(call)
	s, owned := t.state.shards.Get(shard)
	if !owned {
		t.emit(origin.Answer(chutecall.Refuse(chuteresult.NotOwner, "%s does not own shard %d", t.state.self.Host, shard)))
		return
	}
	t.callShard(s, arrivedCall{origin: origin, requestID: m.RequestID, call: call, arrivedAt: t.now}, call)
}

// handleForwardReply answers the forwarded call with the owner's reply. It drops a reply to a call that has ended.
func (t *transition) handleForwardReply(from chutetable.HostID, m chuteevent.ForwardReply) {
	f, ok := t.state.forwards.Get(m.ID)
	if !ok || f.owner != from {
		t.emit(chuteevent.Count{Counter: "peer-message-dropped", Reason: "late"})
		return
	}
	t.state.forwards = t.state.forwards.Delete(m.ID)
	t.answer(m.ID, m.Reply)
}

// handlePeerDisconnected fails the calls that were forwarded over the broken link.
func (t *transition) handlePeerDisconnected(host chutetable.HostID) {
	for i := t.state.forwards.Iterator(); !i.Done(); {
		id, f, _ := i.Next()
		if f.owner == host {
			t.failForward(id, f)
		}
	}
}

// expireForwards fails the forwarded calls whose deadline has passed.
func (t *transition) expireForwards() {
	for i := t.state.forwards.Iterator(); !i.Done(); {
		id, f, _ := i.Next()
		if !t.now.Before(f.deadline) {
			t.failForward(id, f)
		}
	}
}

// failForward answers a forwarded call whose outcome this host cannot learn.
func (t *transition) failForward(id chuteevent.CallID, f forwardedCall) {
	t.state.forwards = t.state.forwards.Delete(id)
	if f.mutating {
		t.answer(id, chutecall.Refuse(chuteresult.ForwardLost, "owner %s did not answer; repeat the call with the same request id", f.owner))
		return
	}
	t.answer(id, chutecall.Refuse(chuteresult.NoOwner, "owner %s did not answer", f.owner))
}
