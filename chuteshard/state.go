package chuteshard

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chuteinventory"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// Environment is what the owner is told with each event.
type Environment = chutegang.Environment

// State is the immutable state of a shard's owner.
type State struct {
	gangs     chutegang.State
	since     time.Time // when the shard was taken
	recovered bool
	document  int                                                   // version whose cells the book holds, -1 before the first
	zonesOut  *immutable.SortedMap[chutetopology.ZoneID, time.Time] // since when, as seen here
	lost      []string                                              // guarantees reported as not to be honoured
	plannedAt time.Time
	retiredAt time.Time
	visited   chutetopology.WorkerID // the worker that was looked after last
	visitedAt time.Time              // when that was
}

// New returns the state of an owner that has just taken the shard, and the read of its jobs.
func New(shard int, epoch int64, version chutetable.Version, environment Environment) (State, []chuteevent.Effect) {
	s := State{
		gangs: chutegang.New(shard, epoch, version, environment.Topology), since: environment.Now, document: -1,
		zonesOut: immutable.NewSortedMap[chutetopology.ZoneID, time.Time](nil),
	}
	t := newTurn(s, environment)
	t.Emit(t.recoveryRead())
	o := t.outcome()
	return o.State, o.Effects
}

// Epoch returns the fencing epoch of the ownership.
func (s State) Epoch() int64 {
	return s.gangs.Epoch
}

// Shard returns the number of the shard.
func (s State) Shard() int {
	return s.gangs.Shard
}

// Idle reports whether no write of the owner is in flight.
func (s State) Idle() bool {
	return s.gangs.Idle()
}

// Book returns the account of the shard's accelerators.
func (s State) Inventory() chuteinventory.Inventory {
	return s.gangs.Inventory
}

// Live returns the jobs that have not ended, in order of their ids.
func (s State) Live() []chutejob.Job {
	return s.gangs.Live()
}

// Ended returns the jobs that have ended, in order of their ids.
func (s State) Ended() []chutejob.Job {
	return s.gangs.Ended()
}

// Status returns what an operator sees of the shard.
func (s State) Status() chutecall.ShardStatus {
	book := s.Inventory()
	status := chutecall.ShardStatus{
		Shard: s.Shard(), Epoch: s.Epoch(), Owned: true, Ready: s.recovered, Workers: s.gangs.Registry.Len(),
		Usable: book.Usable().Total(), Free: book.Free().Total(), Unpacked: slices.Clone(s.lost),
	}
	for _, j := range s.Live() {
		if j.Phase == chutejob.PhaseWaiting {
			status.Waiting++
		} else {
			status.Running++
		}
	}
	return status
}

// turn is the handling of one event.
type turn struct {
	*chutegang.Transition
	state  State
	fenced bool // another owner has taken the shard
}

func newTurn(s State, environment Environment) *turn {
	return &turn{Transition: chutegang.NewTransition(s.gangs, environment), state: s}
}
