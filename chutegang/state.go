package chutegang

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteinventory"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutelimit"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chuteregistry"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// Environment holds the inputs of an event that are not part of the shard's state.
type Environment struct {
	Now        time.Time
	BootID     string // differs for each start of this host's process; part of every token
	Document   chutedocument.Document
	Topology   chutetopology.Topology // topology of the shard
	LeaseValid bool                   // this host's lease is valid
	MayStart   bool                   // this host's lease is valid and its document is known to be current
	StoreUp    bool
	JobBytes   int64 // memory in bytes that the jobs of the shard may take; 0 means no limit
}

// Pending is the purpose of a store operation in flight: one of the types below.
//
//sumtype:decl
type Pending interface{ sealedPending() }

// PendingRecovery reads all jobs of the shard after a takeover.
type PendingRecovery struct{}

// PendingSubmit records a new job.
type PendingSubmit struct {
	Call chuteevent.Origin
	Job  chutejob.Job
}

// PendingRejection records the cancellation of an unknown job, so that the job is not accepted later.
type PendingRejection struct {
	Call chuteevent.Origin
	Job  chutejob.Job
}

// PendingReserve records an attempt before its start.
type PendingReserve struct {
	Job     chutejob.ID
	Attempt int
}

// PendingCancel records an accepted cancellation.
type PendingCancel struct {
	Call chuteevent.Origin
	Job  chutejob.ID
}

// PendingFinish records that an attempt is finished: the job ended or went back to its queue.
type PendingFinish struct {
	Job          chutejob.ID
	Acknowledged []PlacedTask // ended tasks that the workers may forget once the record is written
}

// PendingDelete deletes jobs that ended long ago.
type PendingDelete struct {
	Jobs []chutejob.ID
}

// PendingLimitRead reads how the limit of a workspace is allotted.
type PendingLimitRead struct {
	Workspace string
}

// PendingLimitWrite records how the limit of a workspace is allotted.
type PendingLimitWrite struct {
	Ledger chutelimit.Ledger
}

func (PendingRecovery) sealedPending()  {}
func (PendingDelete) sealedPending()    {}
func (PendingSubmit) sealedPending()    {}
func (PendingReserve) sealedPending()   {}
func (PendingCancel) sealedPending()    {}
func (PendingFinish) sealedPending()    {}
func (PendingRejection) sealedPending() {}

func (PendingLimitRead) sealedPending()  {}
func (PendingLimitWrite) sealedPending() {}

// PlacedTask is a task and the worker that keeps its record.
type PlacedTask struct {
	Worker chutetopology.WorkerID
	Task   chuteorder.TaskID
}

// State is the immutable state of a shard's jobs and accelerators.
type State struct {
	Shard     int
	Epoch     int64
	Fence     chutetable.Condition // holds while this host owns the shard under this epoch
	Inventory chuteinventory.Inventory
	Registry  chuteregistry.Registry
	PlanDue   bool // the jobs or accelerators changed since the latest planning pass
	sequence  int64
	live      *immutable.SortedMap[chutejob.ID, chutejob.Job]
	ended     *immutable.SortedMap[chutejob.ID, chutejob.Job]
	pending   *immutable.Map[chuteevent.Token, Pending]
}

// New returns the state of a shard without jobs.
func New(shard int, epoch int64, version chutetable.Version, topology chutetopology.Topology) State {
	return State{
		Shard: shard, Epoch: epoch,
		Fence:     chutetable.Condition{Key: chutetable.ShardKey(shard), Version: version},
		Inventory: chuteinventory.New(topology),
		Registry:  chuteregistry.New(topology),
		live:      immutable.NewSortedMap[chutejob.ID, chutejob.Job](nil),
		ended:     immutable.NewSortedMap[chutejob.ID, chutejob.Job](nil),
		pending:   immutable.NewMap[chuteevent.Token, Pending](nil),
	}
}

// Idle reports whether no store operation is in flight.
func (s State) Idle() bool {
	return s.pending.Len() == 0
}

// Pending returns the purpose of the store operation, and false if the shard has no such operation in flight.
func (s State) Pending(token chuteevent.Token) (Pending, bool) {
	return s.pending.Get(token)
}

// WithoutPending returns the state without the store operation, which has ended.
func (s State) WithoutPending(token chuteevent.Token) State {
	s.pending = s.pending.Delete(token)
	return s
}

// finishPending reports whether the end or requeueing of the job is still being written.
func (s State) finishPending(id chutejob.ID) bool {
	for i := s.pending.Iterator(); !i.Done(); {
		_, p, _ := i.Next()
		if finish, ok := p.(PendingFinish); ok && finish.Job == id {
			return true
		}
	}
	return false
}

// Recording reports whether the first row of the job is being written: its submission, or the cancellation of an unknown job.
func (s State) Recording(id chutejob.ID) bool {
	for i := s.pending.Iterator(); !i.Done(); {
		_, p, _ := i.Next()
		switch p := p.(type) {
		case PendingSubmit:
			if p.Job.ID == id {
				return true
			}
		case PendingRejection:
			if p.Job.ID == id {
				return true
			}
		case PendingRecovery, PendingReserve, PendingCancel, PendingFinish, PendingDelete, PendingLimitRead, PendingLimitWrite:
		}
	}
	return false
}

// WithoutEnded returns the state without the ended jobs of these ids.
func (s State) WithoutEnded(ids []chutejob.ID) State {
	for _, id := range ids {
		s.ended = s.ended.Delete(id)
	}
	return s
}

// LiveJob returns the job with the id, and false if it has ended or does not exist.
func (s State) LiveJob(id chutejob.ID) (chutejob.Job, bool) {
	return s.live.Get(id)
}

// Job returns the job with the id, live or ended, and false if it does not exist.
func (s State) Job(id chutejob.ID) (chutejob.Job, bool) {
	if j, ok := s.live.Get(id); ok {
		return j, true
	}
	return s.ended.Get(id)
}

// Live returns the jobs that have not ended, ordered by id.
func (s State) Live() []chutejob.Job {
	return collect(s.live)
}

// Ended returns the jobs that have ended, ordered by id.
func (s State) Ended() []chutejob.Job {
	return collect(s.ended)
}

func collect(jobs *immutable.SortedMap[chutejob.ID, chutejob.Job]) []chutejob.Job {
	all := make([]chutejob.Job, 0, jobs.Len())
	for i := jobs.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		all = append(all, j)
	}
	return all
}
