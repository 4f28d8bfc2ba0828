package chuteledger

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutefreshness"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteoutage"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuteruntime"
	"monsoonchute.example/monsoonchute/chutespeed"
	"monsoonchute.example/monsoonchute/chutetask"
)

// State is the immutable state of the scheduler's jobs, runs and workers.
type State struct {
	Epoch       int64 // epoch under which orders are sent
	Bounds      Bounds
	LeaderSince time.Time // when this host became the scheduler
	Live        *immutable.SortedMap[chutegraph.JobID, chutetask.Job]
	Ended       *immutable.SortedMap[chutegraph.JobID, chutetask.Job]
	Pool        chutepool.Pool
	Dirty       *immutable.SortedMap[chutegraph.JobID, bool]                  // jobs whose progress is to be recorded
	Unrecorded  *immutable.SortedMap[chutetask.WorkerID, bool]                // workers with ended runs that are not known to be recorded
	Suspects    *immutable.SortedMap[chutetask.WorkerID, []chutegraph.TaskID] // tasks under which a silent worker may have crashed
	Accused     []chutegraph.TaskID                                           // tasks on hold that may have to be given up; never modified
	Outages     chuteoutage.History
	Speeds      chutespeed.Speeds
	Runtimes    chuteruntime.Runtimes
	Cordoned    map[chutetask.WorkerID]bool // workers whose machines go down soon, which get no new runs; never modified
	FinalLeases map[chutetask.WorkerID]bool // workers whose leases are not extended, and which get no new runs; never modified
	SetAside    map[chutegraph.JobID]bool   // jobs whose progress the store rejects, of which nothing starts; never modified
	Withheld    map[chutetask.WorkerID]bool // workers with ended runs that are not acknowledged while jobs are set aside; never modified
	PlanDue     bool                        // something has changed since the latest planning pass
	List        chutefreshness.Freshness    // of the list of workers
}

// New returns the state of a scheduler that becomes leader now, without jobs and workers.
func New(epoch int64, bounds Bounds, now time.Time) State {
	return State{
		Epoch: epoch, Bounds: bounds, LeaderSince: now, Pool: chutepool.New(), Speeds: chutespeed.New(), Runtimes: chuteruntime.New(),
		Live:       immutable.NewSortedMap[chutegraph.JobID, chutetask.Job](chutegraph.JobOrder{}),
		Ended:      immutable.NewSortedMap[chutegraph.JobID, chutetask.Job](chutegraph.JobOrder{}),
		Dirty:      immutable.NewSortedMap[chutegraph.JobID, bool](chutegraph.JobOrder{}),
		Suspects:   immutable.NewSortedMap[chutetask.WorkerID, []chutegraph.TaskID](chutetask.WorkerOrder{}),
		Unrecorded: immutable.NewSortedMap[chutetask.WorkerID, bool](chutetask.WorkerOrder{}),
	}
}

// Transition is the working copy of the state while one event is handled, together with the effects that it collects.
type Transition struct {
	*chuteaction.Transition
	State
	Environment Environment
	Fenced      bool            // a worker has seen a higher epoch
	GivenUp     []chutetask.Job // jobs that have just failed and whose runs must be stopped
}

// NewTransition returns a transition that begins with the state.
func NewTransition(t *chuteaction.Transition, state State, environment Environment) *Transition {
	return &Transition{Transition: t, State: state, Environment: environment}
}

// Priority returns the priority that the catalog gives the job's queue, or the job's own if the queue is unknown.
func (t *Transition) Priority(j chutetask.Job) int {
	if q, ok := t.Environment.Catalog.Queue(j.Queue); ok {
		return q.Priority
	}
	return j.Priority
}

// Service returns the service whose workers run the job: that of its queue in the catalog, or else the job's own.
func (t *Transition) Service(j chutetask.Job) string {
	if q, ok := t.Environment.Catalog.Queue(j.Queue); ok {
		return q.Service
	}
	return j.Service
}

// LongRunning reports whether the run serves until its job is cancelled. Such runs yield to guarantees alone.
func (t *Transition) LongRunning(r chutepool.Run) bool {
	j, ok := t.Job(r.ID.Task.Job)
	return ok && j.Step(r.ID.Task.StepID).LongRunning
}

// UnsavedWork returns the core-seconds of unsaved work that stopping a run loses.
func (t *Transition) UnsavedWork(r chutepool.Run) float64 {
	j, ok := t.Job(r.ID.Task.Job)
	if !ok {
		return 0
	}
	step := j.Step(r.ID.Task.StepID)
	return r.UnsavedWork(t.Now, step.Estimate, step.Checkpointing)
}

// Job returns the job, ended or not, and false if it does not exist.
func (s State) Job(id chutegraph.JobID) (chutetask.Job, bool) {
	if j, ok := s.Live.Get(id); ok {
		return j, true
	}
	return s.Ended.Get(id)
}

// PutJob stores a changed job and marks its progress for the next write.
func (t *Transition) PutJob(j chutetask.Job) {
	t.PutRecordedJob(j)
	t.Dirty = t.Dirty.Set(j.ID, true)
}

// PutRecordedJob stores a changed job whose progress needs no write.
func (t *Transition) PutRecordedJob(j chutetask.Job) {
	if j.Phase.Ended() {
		for k, steps := range j.Occurrences {
			for step := range steps {
				t.Speeds = t.Speeds.WithoutStep(chutegraph.StepID{Job: j.ID, Occurrence: k, Step: step})
			}
		}
		t.Live = t.Live.Delete(j.ID)
		t.Ended = t.Ended.Set(j.ID, j)
		return
	}
	t.Live = t.Live.Set(j.ID, j)
}

// PutWorker stores a changed worker.
func (t *Transition) PutWorker(w chutepool.Worker) {
	t.Pool = t.Pool.With(w)
}

// Target returns the worker's address for orders, with the epoch of this scheduler.
func (t *Transition) Target(w chutepool.Worker) chuteaction.WorkerTarget {
	return chuteaction.WorkerTarget{Worker: w.ID, Address: w.Address, Epoch: t.Epoch}
}

// MayOrderStart reports whether the start order of a run that the worker has capacity reserved for may be sent now.
func (t *Transition) MayOrderStart(w chutepool.Worker) bool {
	return t.MayStartOn(w) && !w.Overcommitted()
}
