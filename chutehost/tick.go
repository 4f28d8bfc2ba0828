package chutehost

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutetable"
)

// Tick does the work that is due by time: heartbeats, scans, claims and hand-overs.
func (s State) Tick(environment Environment) (State, []chuteevent.Effect, []Notice) {
	t := &transition{state: s, environment: environment}
	t.writeHeartbeat()
	t.scan()
	if environment.Ready {
		t.claimFreeShards()
		t.requestHandOver()
	}
	t.updateLinks()
	return t.state, t.effects, t.notices
}

// writeHeartbeat writes this host's row, which renews its lease.
func (t *transition) writeHeartbeat() {
	if t.state.replaced || t.now().Sub(t.state.heartbeatAt) < heartbeatInterval || t.inFlight(operationHeartbeat) {
		return
	}
	t.state.heartbeatAt = t.now()
	t.state.self.RenewalCount++
	key := chutetable.HostKey(t.state.self.Host)
	t.emit(chuteevent.CommitTable{
		Token:      t.trackOperation(operation{kind: operationHeartbeat}),
		Conditions: []chutetable.Condition{{Key: key, Version: t.state.version}},
		Writes:     []chutetable.Write{{Key: key, Row: t.state.self}},
		SendBefore: t.now().Add(heartbeatInterval),
	})
}

// scan reads the rows of all hosts and shards when the interval has passed.
func (t *transition) scan() {
	if t.now().Sub(t.state.scannedAt) < scanInterval || t.inFlight(operationScanHosts) || t.inFlight(operationScanShards) {
		return
	}
	t.state.scannedAt = t.now()
	t.emit(chuteevent.ReadTable{Token: t.trackOperation(operation{kind: operationScanHosts}), Prefix: chutetable.HostPrefix})
	t.emit(chuteevent.ReadTable{Token: t.trackOperation(operation{kind: operationScanShards}), Prefix: chutetable.ShardPrefix})
}

// updateLinks emits the peers to keep links to whenever the set of live peers changes.
func (t *transition) updateLinks() {
	var peers []chuteevent.Peer
	for _, row := range t.state.Peers(t.now()) {
		peers = append(peers, chuteevent.Peer{Host: row.Host, Address: row.PeerAddress})
	}
	if !slices.Equal(peers, t.state.linkedPeers) {
		t.state.linkedPeers = peers
		t.emit(chuteevent.SetPeers{Peers: peers})
	}
}

// rank returns the position of this host in the order of preference for the shard, 0 for the preferred host, and the
// preferred host. Peers that are leaving are not ranked.
func (t *transition) rank(shard int) (int, chutetable.HostID) {
	candidates := []chutetable.HostID{t.state.self.Host}
	for _, row := range t.state.Peers(t.now()) {
		if !row.Leaving {
			candidates = append(candidates, row.Host)
		}
	}
	slices.SortFunc(candidates, func(a, b chutetable.HostID) int {
		return -cmp.Compare(rendezvousWeight(a, shard), rendezvousWeight(b, shard))
	})
	return slices.Index(candidates, t.state.self.Host), candidates[0]
}

// rendezvousWeight returns the weight of a host for a shard in rendezvous hashing.
func rendezvousWeight(host chutetable.HostID, shard int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", host, shard))
}
