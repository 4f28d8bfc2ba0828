package chutehost

import (
	"fmt"
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutetable"
)

const (
	// LeaseDuration is the time for which an entry host may act as an owner, counted from when it sent the latest write
	// of its row that was accepted.
	LeaseDuration = 6 * time.Second
	// heartbeatInterval is the time between two writes of the host's row.
	heartbeatInterval = 2 * time.Second
	// scanInterval is the time between two reads of the rows of all hosts and shards.
	scanInterval = time.Second
	// claimDelayPerRank times a host's rank for a free shard is the time that the host waits before it claims the
	// shard.
	claimDelayPerRank = time.Second
	// handOverDelay is the time for which another host must be the preferred one before a shard is handed over to it.
	handOverDelay = 10 * time.Second
	// rowRetention is the time without a change after which a host's row is deleted.
	rowRetention = 10 * time.Minute
)

// Environment holds the inputs of an event that are not part of the state.
type Environment struct {
	Now    time.Time
	Shards int  // number of shards in the document in force
	Ready  bool // the document's head has been read and the topology has workers; no shard is claimed before
}

// hostRecord is what this host has seen of the row of an entry host.
type hostRecord struct {
	row        chutetable.HostRow
	version    chutetable.Version
	changedAt  time.Time // when the latest change of the row was read
	bootSeenAt time.Time // when the row was first read with its current boot id
}

// ownership is what this host has seen of a shard's row.
type ownership struct {
	row            chutetable.ShardRow
	version        chutetable.Version
	changedAt      time.Time // when the latest change of the row was read
	freeSince      time.Time // when the shard was first seen without an owner with a valid lease
	preferred      chutetable.HostID
	preferredSince time.Time // when the preferred host became so
}

// operation is a store operation in flight and what it is for.
type operation struct {
	kind   operationKind
	shard  int
	epoch  int64
	sentAt time.Time
}

type operationKind int

const (
	operationHeartbeat operationKind = iota + 1
	operationScanHosts
	operationScanShards
	operationClaim
	operationRelease
	operationDeleteHost
)

// State is the immutable state of the entry hosts and of the ownership of shards, as this host knows it.
type State struct {
	self        chutetable.HostRow
	version     chutetable.Version // version of this host's own row, 0 if there is none
	registered  bool               // this process has written its own row
	replaced    bool               // another process has overwritten the row after this one wrote it
	leaseExpiry time.Time
	heartbeatAt time.Time
	scannedAt   time.Time
	hosts       *immutable.SortedMap[chutetable.HostID, hostRecord]
	shards      *immutable.SortedMap[int, ownership]
	pending     *immutable.Map[chuteevent.Token, operation]
	linkedPeers []chuteevent.Peer
	sequence    int64
}

// New returns the state of an entry host that has just started.
func New(self chutetable.HostRow) State {
	return State{
		self:    self,
		hosts:   immutable.NewSortedMap[chutetable.HostID, hostRecord](nil),
		shards:  immutable.NewSortedMap[int, ownership](nil),
		pending: immutable.NewMap[chuteevent.Token, operation](nil),
	}
}

// LeaseValid reports whether this host may act as an owner now.
func (s State) LeaseValid(now time.Time) bool {
	return now.Before(s.leaseExpiry)
}

// Owner returns the entry host that owns the shard according to the latest scan, and its epoch. The host is empty if
// the shard has no owner.
func (s State) Owner(shard int) (chutetable.HostID, int64) {
	o, _ := s.shards.Get(shard)
	return o.row.Owner, o.row.Epoch
}

// Owns reports whether this state started the store operation.
func (s State) Owns(token chuteevent.Token) bool {
	_, ok := s.pending.Get(token)
	return ok
}

// Peers returns the rows of the other live entry hosts.
func (s State) Peers(now time.Time) []chutetable.HostRow {
	var rows []chutetable.HostRow
	for i := s.hosts.Iterator(); !i.Done(); {
		id, v, _ := i.Next()
		if id != s.self.Host && s.live(v, now) {
			rows = append(rows, v.row)
		}
	}
	return rows
}

// live reports whether the host's lease may still be valid.
func (s State) live(v hostRecord, now time.Time) bool {
	return now.Sub(v.changedAt) < chuteorder.ExpiryBound(LeaseDuration)
}

// WithLeaving returns the state of a host that is leaving: it claims no more shards and writes its row at once.
func (s State) WithLeaving() State {
	s.self.Leaving = true
	s.heartbeatAt = time.Time{}
	return s
}

// WithScanDue returns the state with the next scan due at once.
func (s State) WithScanDue() State {
	s.scannedAt = time.Time{}
	return s
}

// transition computes the new state and the effects of one event.
type transition struct {
	state       State
	environment Environment
	effects     []chuteevent.Effect
	notices     []Notice
}

func (t *transition) now() time.Time {
	return t.environment.Now
}

func (t *transition) emit(effect chuteevent.Effect) {
	t.effects = append(t.effects, effect)
}

// trackOperation records a new store operation and returns its token.
func (t *transition) trackOperation(p operation) chuteevent.Token {
	t.state.sequence++
	token := chuteevent.Token(fmt.Sprintf("host-%s-%d", t.state.self.BootID, t.state.sequence))
	p.sentAt = t.now()
	t.state.pending = t.state.pending.Set(token, p)
	return token
}

func (t *transition) inFlight(kind operationKind) bool {
	for i := t.state.pending.Iterator(); !i.Done(); {
		_, p, _ := i.Next()
		if p.kind == kind {
			return true
		}
	}
	return false
}
