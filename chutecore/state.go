package chutecore

import (
	"time"

	"monsoonchute.example/monsoonchute/chutebacklog"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutehost"
	"monsoonchute.example/monsoonchute/chuterevision"
	"monsoonchute.example/monsoonchute/chuteroute"
	"monsoonchute.example/monsoonchute/chuteshard"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// baseHeartbeatInterval is the time between two heartbeats to a peer with up to basePeers peers.
	baseHeartbeatInterval = time.Second
	// basePeers is the number of peers above which the interval grows with their number, so that a host's heartbeats
	// keep to a constant rate of bytes a second.
	basePeers = 8
	// maxMissedHeartbeats is the number of heartbeat intervals without an answer after which a peer counts as
	// unreachable.
	maxMissedHeartbeats = 4
	// forwardTimeout is the time within which the owner of the shard must answer a forwarded call.
	forwardTimeout = 8 * time.Second
)

// heartbeatInterval returns the time between two heartbeats to the same peer.
func heartbeatInterval(peers int) time.Duration {
	return baseHeartbeatInterval * time.Duration(max(peers, basePeers)) / basePeers
}

// heartbeat identifies a heartbeat that this host sent.
type heartbeat struct {
	sequence int64
	sentAt   time.Time
}

// peer holds what this host knows about another entry host from its answers to heartbeats.
type peer struct {
	answeredAt time.Time // time of the latest answer, zero before the first
	awaited    heartbeat // latest heartbeat sent to the peer; the answers to earlier ones count as late
}

// forwardedCall is a call that this host forwarded to the owner of its shard.
type forwardedCall struct {
	owner    chutetable.HostID
	deadline time.Time
	mutating bool // the call may change a job
}

// State is the immutable state of an entry host.
type State struct {
	self              chutetable.HostRow
	host              chutehost.State
	revision          chuterevision.State
	router            chuteroute.State
	shards            *immutable.SortedMap[int, chuteshard.State]
	topology          chutetopology.Topology
	peers             *immutable.SortedMap[chutetable.HostID, peer]
	deferred          []arrivedCall // in the order of arrival
	forwards          *immutable.SortedMap[chuteevent.CallID, forwardedCall]
	store             chuteevent.StoreState
	heartbeatSentAt   time.Time
	peerCount         int // number of other live entry hosts
	heartbeatSequence int64
	handOverShard     int // shard being handed over to another host, or -1
	stopping          bool
	stopped           bool
	shardTopologies   shardTopologyCache
	jobBytes          int64 // memory in bytes that the jobs of all shards may take on one host; 0 means no limit
}

// shardTopologyCache holds the topology of each shard. It is valid for one topology and one number of shards.
type shardTopologyCache struct {
	whole    chutetopology.Topology
	shards   int
	perShard []chutetopology.Topology
}

// New returns the state of an entry host that has just started; the seed determines the router's random choices.
func New(self chutetable.HostRow, seed uint64) State {
	return State{
		self:          self,
		host:          chutehost.New(self),
		revision:      chuterevision.New(),
		router:        chuteroute.New(seed),
		shards:        immutable.NewSortedMap[int, chuteshard.State](nil),
		peers:         immutable.NewSortedMap[chutetable.HostID, peer](nil),
		forwards:      immutable.NewSortedMap[chuteevent.CallID, forwardedCall](nil),
		store:         chuteevent.StoreUp,
		handOverShard: -1,
	}
}

// WithMemoryLimit returns the state of a host with the memory limit in bytes, which bounds the jobs that it accepts. A host may
// come to own all shards.
func (s State) WithMemoryLimit(bytes int64) State {
	s.jobBytes = chutebacklog.Limit(bytes)
	return s
}

// Shard returns the state of a shard, and false if this host does not own it.
func (s State) Shard(number int) (chuteshard.State, bool) {
	return s.shards.Get(number)
}

// Shards returns the numbers of the shards that this host owns.
func (s State) Shards() []int {
	var numbers []int
	for i := s.shards.Iterator(); !i.Done(); {
		number, _, _ := i.Next()
		numbers = append(numbers, number)
	}
	return numbers
}

// Document returns the operators' document in force on this host.
func (s State) Document() chutedocument.Document {
	return s.revision.Document()
}

// MayStart reports whether this host may start work now: its lease is valid, its document is known to be current and it
// is not stopping.
func (s State) MayStart(now time.Time) bool {
	return s.host.LeaseValid(now) && s.revision.Current(now) && !s.stopping
}

// Serving reports whether the health check should pass.
func (s State) Serving() bool {
	return s.revision.Ready() && !s.stopping
}

// shardTopology returns the topology of one shard, empty if the document has no such shard. It rebuilds the cache after
// a change of the topology or of the number of shards.
func (t *transition) shardTopology(shard int) chutetopology.Topology {
	shards := t.state.revision.Document().Policy.Shards
	c := t.state.shardTopologies
	if c.shards != shards || !c.whole.Same(t.state.topology) {
		c = shardTopologyCache{whole: t.state.topology, shards: shards}
		for i := range shards {
			c.perShard = append(c.perShard, chutedocument.ShardTopology(t.state.topology, i, shards))
		}
		t.state.shardTopologies = c
	}
	if shard >= len(c.perShard) {
		return chutetopology.Topology{}
	}
	return c.perShard[shard]
}
