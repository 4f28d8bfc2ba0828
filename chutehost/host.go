package chutehost

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutetable"
)

const (
	// Lease is how long an entry host may act as an owner after it sent its latest accepted heartbeat row.
	Lease = 6 * time.Second
	// beatInterval is the time between two writes of the host's row.
	beatInterval = 2 * time.Second
	// scanInterval is the time between two reads of the hosts' and shards' rows.
	scanInterval = time.Second
	// rankDelay is how long each less preferred host waits before it takes a free shard.
	rankDelay = time.Second
	// settleTime is how long another host must be preferred before a shard is handed over to it.
	settleTime = 10 * time.Second
	// forgetAfter is the time after which a lapsed host's row is deleted.
	forgetAfter = 10 * time.Minute
)

// Environment is what the membership is told with each event.
type Environment struct {
	Now    time.Time
	Shards int  // number of shards by the document in force
	Ready  bool // the document's head has been read
}

// view is what this host has seen of another's row.
type view struct {
	row     chutetable.HostRow
	version chutetable.Version
	seenAt  time.Time // when the latest change of the row was seen
	bootAt  time.Time // when its process was first seen
}

// ownership is what this host has seen of a shard's row.
type ownership struct {
	row       chutetable.ShardRow
	version   chutetable.Version
	seenAt    time.Time // when the latest change of the row was seen
	freeSince time.Time // when it was first seen without an owner whose lease holds
	preferred chutetable.HostID
	since     time.Time // when that host was first preferred
}

// Notice tells what changed in the ownership of shards: one of the types below.
//
//sumtype:decl
type Notice interface{ sealedNotice() }

// Acquired tells that this host owns the shard from now on.
type Acquired struct {
	Shard   int
	Epoch   int64
	Version chutetable.Version
}

// Lost tells that another host owns the shard.
type Lost struct {
	Shard int
}

// HandOver asks for the shard to be released, since another host is preferred for it.
type HandOverRequested struct {
	Shard int
}

func (Acquired) sealedNotice()          {}
func (Lost) sealedNotice()              {}
func (HandOverRequested) sealedNotice() {}

// purpose is what a store operation in flight is for.
type purpose struct {
	kind  purposeKind
	shard int
	epoch int64
	sent  time.Time
}

type purposeKind int

const (
	purposeBeat purposeKind = iota + 1
	purposeScanHosts
	purposeScanShards
	purposeClaim
	purposeRelease
	purposeForget
)

// State is the immutable state of the membership.
type State struct {
	self       chutetable.HostRow
	version    chutetable.Version // of the own row
	renewed    bool               // this process has written the own row
	replaced   bool               // another process has taken the own row since
	leaseUntil time.Time
	beatAt     time.Time
	scannedAt  time.Time
	hosts      *immutable.SortedMap[chutetable.HostID, view]
	shards     *immutable.SortedMap[int, ownership]
	pending    *immutable.Map[chuteevent.Token, purpose]
	linked     []chuteevent.Peer
	sequence   int64
}

// New returns the state of a host that has just started.
func New(self chutetable.HostRow) State {
	return State{
		self:    self,
		hosts:   immutable.NewSortedMap[chutetable.HostID, view](nil),
		shards:  immutable.NewSortedMap[int, ownership](nil),
		pending: immutable.NewMap[chuteevent.Token, purpose](nil),
	}
}

// LeaseHolds reports whether this host may act as an owner at the moment.
func (s State) LeaseValid(now time.Time) bool {
	return now.Before(s.leaseUntil)
}

// LeaseUntil returns the end of this host's lease.
func (s State) LeaseUntil() time.Time {
	return s.leaseUntil
}

// Owner returns the entry host that owns the shard by the latest scan, empty if none does.
func (s State) Owner(shard int) (chutetable.HostID, int64) {
	o, _ := s.shards.Get(shard)
	return o.row.Owner, o.row.Epoch
}

// Owns reports whether the token belongs to a store operation of the membership.
func (s State) Owns(token chuteevent.Token) bool {
	_, ok := s.pending.Get(token)
	return ok
}

// Peers returns the rows of the other entry hosts that are live at the moment.
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

// live reports whether the host's lease may still hold.
func (s State) live(v view, now time.Time) bool {
	return now.Sub(v.seenAt) < chuteorder.ExpiryBound(Lease)
}

// WithLeaving returns the state of a host that takes no more shards.
func (s State) WithLeaving() State {
	s.self.Leaving = true
	s.beatAt = time.Time{}
	return s
}

// WithScanDue returns the state with the next scan due at once.
func (s State) WithScanDue() State {
	s.scannedAt = time.Time{}
	return s
}

// turn is the handling of one event.
type turn struct {
	state       State
	environment Environment
	effects     []chuteevent.Effect
	notices     []Notice
}

func (t *turn) now() time.Time {
	return t.environment.Now
}

func (t *turn) emit(effect chuteevent.Effect) {
	t.effects = append(t.effects, effect)
}

func (t *turn) remember(p purpose) chuteevent.Token {
	t.state.sequence++
	token := chuteevent.Token(fmt.Sprintf("host-%s-%d", t.state.self.Boot, t.state.sequence))
	p.sent = t.now()
	t.state.pending = t.state.pending.Set(token, p)
	return token
}

func (t *turn) inFlight(kind purposeKind) bool {
	for i := t.state.pending.Iterator(); !i.Done(); {
		_, p, _ := i.Next()
		if p.kind == kind {
			return true
		}
	}
	return false
}

// Tick lets time pass: heartbeats, scans, claims and hand-overs.
func (s State) Tick(environment Environment) (State, []chuteevent.Effect, []Notice) {
	t := &turn{state: s, environment: environment}
	t.beat()
	t.scan()
	if environment.Ready {
		t.claimFree()
		t.preferOthers()
	}
	t.link()
	return t.state, t.effects, t.notices
}

// beat writes the own row, which renews the lease.
func (t *turn) beat() {
	if t.state.replaced || t.now().Sub(t.state.beatAt) < beatInterval || t.inFlight(purposeBeat) {
		return
	}
	t.state.beatAt = t.now()
	t.state.self.RenewalCount++
	key := chutetable.HostKey(t.state.self.Host)
	t.emit(chuteevent.CommitTable{
		Token:      t.remember(purpose{kind: purposeBeat}),
		Conditions: []chutetable.Condition{{Key: key, Version: t.state.version}},
		Writes:     []chutetable.Write{{Key: key, Row: t.state.self}},
		SendBefore: t.now().Add(beatInterval),
	})
}

// scan reads the rows of all hosts and shards.
func (t *turn) scan() {
	if t.now().Sub(t.state.scannedAt) < scanInterval || t.inFlight(purposeScanHosts) || t.inFlight(purposeScanShards) {
		return
	}
	t.state.scannedAt = t.now()
	t.emit(chuteevent.ReadTable{Token: t.remember(purpose{kind: purposeScanHosts}), Prefix: chutetable.HostPrefix})
	t.emit(chuteevent.ReadTable{Token: t.remember(purpose{kind: purposeScanShards}), Prefix: chutetable.ShardPrefix})
}

// link tells the mesh which peers to keep links to, whenever their set changes.
func (t *turn) link() {
	var peers []chuteevent.Peer
	for _, row := range t.state.Peers(t.now()) {
		peers = append(peers, chuteevent.Peer{Host: row.Host, Address: row.PeerAddress})
	}
	if !slices.Equal(peers, t.state.linked) {
		t.state.linked = peers
		t.emit(chuteevent.LinkPeers{Peers: peers})
	}
}

// rank returns the position of this host in the shard's order of preference among the live hosts, and the first.
func (t *turn) rank(shard int) (int, chutetable.HostID) {
	candidates := []chutetable.HostID{t.state.self.Host}
	for _, row := range t.state.Peers(t.now()) {
		if !row.Leaving {
			candidates = append(candidates, row.Host)
		}
	}
	slices.SortFunc(candidates, func(a, b chutetable.HostID) int {
		return -cmp.Compare(weight(a, shard), weight(b, shard))
	})
	return slices.Index(candidates, t.state.self.Host), candidates[0]
}

// weight is the rendezvous weight of a host for a shard.
func weight(host chutetable.HostID, shard int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", host, shard))
}
