package chutescheduler

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteleader"
	"monsoonchute.example/monsoonchute/chutemaintenance"
	"monsoonchute.example/monsoonchute/chuteplanner"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

const part = "scheduler"

// State is the immutable state of a shard's scheduler.
type State struct {
	runner chuterunner.State
	memory
}

// memory is what the scheduler knows beside its jobs, runs and workers.
type memory struct {
	batch     batch
	former    chuteleader.Predecessor                      // the scheduler before this one
	formerEnd bool                                         // its process has certainly ended
	progress  []chuteaction.Row                            // read before the submissions were
	hasHosts  bool                                         // the processes of all hosts have been read
	hasRows   bool                                         // the progress of all jobs has been read
	hasJobs   bool                                         // all submissions have been read
	hasPool   bool                                         // all workers have been read
	timed     *immutable.SortedMap[chutegraph.JobID, bool] // live jobs with set times
	visits    int                                          // ticks, by which the workers are visited in turn
	pending   map[string]int                               // by queue; never changed once stored
	countedAt time.Time                                    // when pending jobs were last counted
	planner   chuteplanner.Planner
	readToken chuteaction.Token
	hostToken chuteaction.Token
	waves     *immutable.SortedMap[int, waveState]
	machines  []chutemaintenance.Machine // as last listed
	// machinesAskedAt is when the machines were last asked for.
	machinesAskedAt time.Time
}

// batch is a write that is on the way.
type batch struct {
	active bool
	jobs   []chutegraph.JobID
	acks   []ack
}

// ack is the number of the latest end of a worker whose consequence a batch records.
type ack struct {
	worker chutetask.WorkerID
	number int64
}

// New starts a scheduler for the epoch: it reads the progress of all jobs and follows the submissions.
func New(t *chuteaction.Transition, epoch int64, former chuteleader.Predecessor, bounds chuterunner.Bounds) State {
	s := State{
		runner: chuterunner.New(epoch, bounds, t.Now),
		memory: memory{
			former: former, formerEnd: former.Row.Epoch == 0 || former.Row.Released,
			planner: chuteplanner.New(),
			timed:   immutable.NewSortedMap[chutegraph.JobID, bool](nil),
			waves:   immutable.NewSortedMap[int, waveState](nil),
		},
	}
	t.Emit(chuteaction.WatchTable{Table: chuteaction.TableJobs, PollTimeout: followWait})
	return s.readHosts(t).readProgress(t)
}

// followWait is how long the store may wait for a new submission or worker.
const followWait = 2 * time.Second

// workersPause is the least time between two questions about the workers.
const workersPause = 300 * time.Millisecond

func (s State) readProgress(t *chuteaction.Transition) State {
	s.readToken = t.NewToken()
	t.Emit(chuteaction.ReadRows{Token: s.readToken, Table: chuteaction.TableProgress, Partition: chuteaction.ShardPartition})
	return s
}

func (s State) readHosts(t *chuteaction.Transition) State {
	s.hostToken = t.NewToken()
	t.Emit(chuteaction.ReadRows{Token: s.hostToken, Table: chuteaction.TableHosts, Partition: chuteaction.HostsPartition})
	return s
}

// End stops what the scheduler follows, as another host leads from now on.
func (s State) End(t *chuteaction.Transition) {
	t.Emit(chuteaction.UnwatchTable{Table: chuteaction.TableJobs})
	t.Emit(chuteaction.UnwatchTable{Table: chuteaction.TableWorkers})
	for _, w := range s.runner.Pool.All() {
		t.Emit(chuteaction.DisconnectWorker{Worker: w.ID})
	}
}

// Epoch returns the epoch under which the scheduler gives orders.
func (s State) Epoch() int64 {
	return s.runner.Epoch
}

// Ready reports whether the scheduler knows all jobs and workers.
func (m memory) Ready() bool {
	return m.hasRows && m.hasJobs && m.hasPool
}

// Pending returns by queue how many jobs had no started task when they were last counted. Jobs with set times are not
// counted.
func (s State) Pending() map[string]int {
	return s.pending
}

// countInterval is the least time between two counts of the pending jobs.
const countInterval = 200 * time.Millisecond

func (t *turn) countPending() {
	if t.Now.Sub(t.countedAt) < countInterval {
		return
	}
	t.countedAt = t.Now
	pending := make(map[string]int)
	for i := t.Live.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		if j.Phase == chutetask.PhaseQueued && !j.Spec.HasStartTimes() {
			pending[j.Queue]++
		}
	}
	t.pending = pending
}

// Owns reports whether the token belongs to a read of the scheduler.
func (s State) Owns(token chuteaction.Token) bool {
	return s.readToken == token && !s.hasRows || s.hostToken == token && !s.hasHosts
}

// turn is the handling of one event.
type turn struct {
	*chuterunner.Transition
	memory
}

func (s State) turn(t *chuteaction.Transition, environment chuterunner.Environment) *turn {
	return &turn{Transition: chuterunner.NewTransition(t, s.runner, environment), memory: s.memory}
}

// state returns the state at the end of the turn.
func (t *turn) state() State {
	return State{runner: t.State, memory: t.memory}
}

// Started handles the end of a start order, and reports whether a worker has seen a higher epoch.
func (s State) HandleRunStarted(t *chuteaction.Transition, environment chuterunner.Environment, e chuteaction.RunStarted) (State, bool) {
	u := s.turn(t, environment)
	if e.Reason == chuteaction.RefusedTicket {
		u.planner = u.planner.WithoutStep(e.Run.Task.StepID)
	}
	u.HandleRunStarted(e)
	return u.state(), u.Fenced
}

// Stopped handles the end of a stop order, and reports whether a worker has seen a higher epoch.
func (s State) HandleRunStopped(t *chuteaction.Transition, environment chuterunner.Environment, e chuteaction.RunStopped) (State, bool) {
	u := s.turn(t, environment)
	u.HandleRunStopped(e)
	return u.state(), u.Fenced
}

// Renewed handles the end of a renewal, and reports whether a worker has seen a higher epoch.
func (s State) HandleLeaseRenewed(t *chuteaction.Transition, environment chuterunner.Environment, e chuteaction.LeaseRenewed) (State, bool) {
	u := s.turn(t, environment)
	u.HandleLeaseRenewed(e)
	chuteplanner.PaceWorker(u.Transition, e.Worker)
	return u.state(), u.Fenced
}

// Approved takes the answer of the approval service.
func (s State) HandleStepApproved(t *chuteaction.Transition, environment chuterunner.Environment, e chuteaction.StepApproved) State {
	u := s.turn(t, environment)
	u.planner = u.planner.HandleStepApproved(u.Transition, e)
	return u.state()
}
