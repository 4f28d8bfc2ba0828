package chutecore

import (
	"time"

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
	// heartbeatInterval is the time between two heartbeats to a peer while there are few.
	heartbeatInterval = time.Second
	// fewPeers is the number of peers up to which that holds; with more the interval grows, so that a host's heartbeats
	// take the same bytes a second.
	fewPeers = 8
	// missedBeats is the number of heartbeats without an answer after which a peer counts as unreachable.
	missedBeats = 4
	// forwardLimit is how long a forwarded call may take.
	forwardLimit = 8 * time.Second
)

// beatInterval returns the time between two heartbeats to each of the number of peers.
func beatInterval(peers int) time.Duration {
	return heartbeatInterval * time.Duration(max(peers, fewPeers)) / fewPeers
}

// heartbeat is a heartbeat whose answer is awaited.
type heartbeat struct {
	sequence int64
	sentAt   time.Time
}

// peer is what this host knows of another from the mesh.
type peer struct {
	heard time.Time // when its latest answer came
	asked heartbeat
}

// forwarded is a call that another entry host is to answer.
type forwarded struct {
	to       chutetable.HostID
	deadline time.Time
	changes  bool // it may change something
}

// State is the immutable state of an entry host.
type State struct {
	self      chutetable.HostRow
	host      chutehost.State
	keeper    chuterevision.State
	router    chuteroute.State
	shards    *immutable.SortedMap[int, chuteshard.State]
	topology  chutetopology.Topology
	peers     *immutable.SortedMap[chutetable.HostID, peer]
	forwards  *immutable.SortedMap[chuteevent.CallID, forwarded]
	store     chuteevent.StoreState
	beatAt    time.Time
	peerCount int // live entry hosts beside this one
	sequence  int64
	handOver  int // shard being handed over, -1 for none
	stopping  bool
	stopped   bool
	allotment shardTopologies
}

// shardTopologies caches the topology of each shard for one topology and number of shards.
type shardTopologies struct {
	of     chutetopology.Topology
	shards int
	each   []chutetopology.Topology
}

// New returns the state of an entry host that has just started.
func New(self chutetable.HostRow, seed uint64) State {
	return State{
		self:     self,
		host:     chutehost.New(self),
		keeper:   chuterevision.New(),
		router:   chuteroute.New(seed),
		shards:   immutable.NewSortedMap[int, chuteshard.State](nil),
		peers:    immutable.NewSortedMap[chutetable.HostID, peer](nil),
		forwards: immutable.NewSortedMap[chuteevent.CallID, forwarded](nil),
		store:    chuteevent.StoreUp,
		handOver: -1,
	}
}

// Shard returns the state of a shard that this host owns, and false if it owns it not.
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

// Document returns the document in force on this host.
func (s State) Document() chutedocument.Document {
	return s.keeper.Document()
}

// MayStart reports whether this host may start work at the moment.
func (s State) MayStart(now time.Time) bool {
	return s.host.LeaseValid(now) && s.keeper.Current(now) && !s.stopping
}

// Serving reports whether the health check should pass.
func (s State) Serving() bool {
	return s.keeper.Ready() && !s.stopping
}

// shardTopology returns the workers of one shard, from the cache where it is valid.
func (t *turn) shardTopology(shard int) chutetopology.Topology {
	shards := t.state.keeper.Document().Policy.Shards
	c := t.state.allotment
	if c.shards != shards || !c.of.Same(t.state.topology) {
		c = shardTopologies{of: t.state.topology, shards: shards}
		for i := range shards {
			c.each = append(c.each, chutedocument.ShardTopology(t.state.topology, i, shards))
		}
		t.state.allotment = c
	}
	if shard >= len(c.each) {
		return chutetopology.Topology{}
	}
	return c.each[shard]
}
