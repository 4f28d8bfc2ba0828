package chuteshard

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteallowance"
	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chuteinventory"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// Environment holds the inputs of an event that are not part of the shard's state.
type Environment = chutegang.Environment

// State is the immutable state of a shard's owner.
type State struct {
	gangs            chutegang.State
	acquiredAt       time.Time // when this host acquired the shard
	recovered        bool
	documentVersion  int                                                   // version whose cells the inventory holds, -1 before the first
	zonesOutSince    *immutable.SortedMap[chutetopology.ZoneID, time.Time] // when this owner first saw the zone as out of service
	reportedUnpacked []string                                              // descriptions of the cells that were last reported as unpacked
	plannedAt        time.Time
	deletedAt        time.Time
	limits           chuteallowance.State
	checkedWorker    chutetopology.WorkerID // the worker that was checked last
	checkedAt        time.Time              // when checkWorkers last checked a worker
}

// New returns the state of an owner that has just acquired the shard, and the effect that reads the shard's jobs.
func New(shard int, epoch int64, version chutetable.Version, environment Environment) (State, []chuteevent.Effect) {
	s := State{
		gangs: chutegang.New(shard, epoch, version, environment.Topology), acquiredAt: environment.Now, documentVersion: -1,
		zonesOutSince: immutable.NewSortedMap[chutetopology.ZoneID, time.Time](nil),
		limits:        chuteallowance.New(),
	}
	t := newTransition(s, environment)
	t.Emit(t.readJobs())
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

// Inventory returns the inventory of the shard's accelerators.
func (s State) Inventory() chuteinventory.Inventory {
	return s.gangs.Inventory
}

// Live returns the jobs that have not ended, ordered by id.
func (s State) Live() []chutejob.Job {
	return s.gangs.Live()
}

// Ended returns the jobs that have ended, ordered by id.
func (s State) Ended() []chutejob.Job {
	return s.gangs.Ended()
}

// Status returns the status of the shard for operators.
func (s State) Status() chutecall.ShardStatus {
	inventory := s.Inventory()
	status := chutecall.ShardStatus{
		Shard: s.Shard(), Epoch: s.Epoch(), Owned: true, Ready: s.recovered, Workers: s.gangs.Registry.Len(),
		Usable: inventory.Usable().Total(), Free: inventory.Free().Total(), Unpacked: slices.Clone(s.reportedUnpacked),
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

// transition computes the new state and the effects of one event.
type transition struct {
	*chutegang.Transition
	state    State
	fenced   bool // another host has taken the shard
	outdated bool // a call was refused because of the document
}

func newTransition(s State, environment Environment) *transition {
	return &transition{Transition: chutegang.NewTransition(s.gangs, environment), state: s}
}
