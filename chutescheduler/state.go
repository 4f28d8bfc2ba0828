package chutescheduler

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteleader"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterun"
	"monsoonchute.example/monsoonchute/chutespeed"
	"monsoonchute.example/monsoonchute/chutewave"
)

const part = "scheduler"

// Bounds are the limits that the workers and the operators set.
type Bounds struct {
	MaxLease    time.Duration // longest lease that a worker grants
	GangTimeout time.Duration // how long members of a gang wait for the others
	StopTimeout time.Duration // how long a stop takes at most
	// UnprovedLimit is how long a scheduler renews leases without a successful write to the store.
	UnprovedLimit time.Duration
}

// Environment is what the scheduler is told with each event.
type Environment struct {
	Catalog  chutecatalog.Catalog
	ZonesOut map[string]bool // zones in which nothing may start
	Waves    []chuteaction.WaveRow
	ProvedAt time.Time // of the latest successful write as leader
}

// State is the immutable state of a shard's scheduler.
type State struct {
	epoch     int64
	bounds    Bounds
	takenAt   time.Time
	live      *immutable.SortedMap[chutegraph.JobID, chuterun.Job]
	ended     *immutable.SortedMap[chutegraph.JobID, chuterun.Job]
	pool      chutepool.Pool
	dirty     *immutable.SortedMap[chutegraph.JobID, bool] // jobs whose progress is to be recorded
	batch     batch
	former    chuteleader.Former // the scheduler before this one
	formerEnd bool               // its process has certainly ended
	progress  []chuteaction.Row  // read before the submissions were
	hasHosts  bool               // the processes of all hosts have been read
	hasRows   bool               // the progress of all jobs has been read
	hasJobs   bool               // all submissions have been read
	hasPool   bool               // all workers have been read
	poolAt    time.Time          // when all workers had been read
	speeds    chutespeed.Speeds
	approvals *immutable.SortedMap[chutegraph.StepID, approval]
	waves     *immutable.SortedMap[int, waveState]
	machines  []chutewave.Machine // as last listed
	// machinesAskedAt is when the machines were last asked for.
	machinesAskedAt time.Time
	questions       int // to the approval service that are on the way
	planDue         bool
	plannedAt       time.Time
	readToken       chuteaction.Token
	hostToken       chuteaction.Token
}

// batch is a write that is on the way.
type batch struct {
	active bool
	jobs   []chutegraph.JobID
	acks   []ack
}

// ack is the number of the latest end of a worker whose consequence a batch records.
type ack struct {
	worker chuterun.WorkerID
	number int64
}

// New starts a scheduler for the epoch: it reads the progress of all jobs and follows the submissions.
func New(t *chuteaction.Turn, epoch int64, former chuteleader.Former, bounds Bounds) State {
	s := State{
		epoch: epoch, former: former, formerEnd: former.Row.Epoch == 0 || former.Row.Released, bounds: bounds, takenAt: t.Now, pool: chutepool.New(), speeds: chutespeed.New(),
		live:  immutable.NewSortedMap[chutegraph.JobID, chuterun.Job](nil),
		ended: immutable.NewSortedMap[chutegraph.JobID, chuterun.Job](nil),
		dirty: immutable.NewSortedMap[chutegraph.JobID, bool](nil),

		waves: immutable.NewSortedMap[int, waveState](nil),

		approvals: immutable.NewSortedMap[chutegraph.StepID, approval](stepOrder{}),
	}
	t.Emit(chuteaction.FollowTable{Table: chuteaction.TableJobs, Wait: followWait})
	return s.readHosts(t).readProgress(t)
}

// followWait is how long the store may wait for a new submission or worker.
const followWait = 2 * time.Second

// workersPause is the least time between two questions about the workers.
const workersPause = 300 * time.Millisecond

func (s State) readProgress(t *chuteaction.Turn) State {
	s.readToken = t.Token()
	t.Emit(chuteaction.ReadRows{Token: s.readToken, Table: chuteaction.TableProgress, Part: chuteaction.ShardPart})
	return s
}

func (s State) readHosts(t *chuteaction.Turn) State {
	s.hostToken = t.Token()
	t.Emit(chuteaction.ReadRows{Token: s.hostToken, Table: chuteaction.TableHosts, Part: chuteaction.HostsPart})
	return s
}

// End stops what the scheduler follows, as another host leads from now on.
func (s State) End(t *chuteaction.Turn) {
	t.Emit(chuteaction.UnfollowTable{Table: chuteaction.TableJobs})
	t.Emit(chuteaction.UnfollowTable{Table: chuteaction.TableWorkers})
	for _, w := range s.pool.All() {
		t.Emit(chuteaction.ForgetWorker{Worker: w.ID})
	}
}

// Epoch returns the epoch under which the scheduler gives orders.
func (s State) Epoch() int64 {
	return s.epoch
}

// Ready reports whether the scheduler knows all jobs and workers.
func (s State) Ready() bool {
	return s.hasRows && s.hasJobs && s.hasPool
}

// Job returns the job, ended or not, and false if it does not exist.
func (s State) Job(id chutegraph.JobID) (chuterun.Job, bool) {
	if j, ok := s.live.Get(id); ok {
		return j, true
	}
	return s.ended.Get(id)
}

// Pool returns the workers.
func (s State) Pool() chutepool.Pool {
	return s.pool
}

// Pending returns by queue how many jobs have no started task. Jobs with set times are not counted.
func (s State) Pending() map[string]int {
	pending := make(map[string]int)
	for i := s.live.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		if j.Phase == chuterun.PhaseQueued && !j.Spec.Timed() {
			pending[j.Queue]++
		}
	}
	return pending
}

// Owns reports whether the token belongs to a read of the scheduler.
func (s State) Owns(token chuteaction.Token) bool {
	return s.readToken == token && !s.hasRows || s.hostToken == token && !s.hasHosts
}

type stepOrder struct{}

// Compare orders steps by their ids.
func (stepOrder) Compare(a, b chutegraph.StepID) int {
	return a.Compare(b)
}

// turn is the handling of one event.
type turn struct {
	*chuteaction.Turn
	State
	environment Environment
	fenced      bool // a worker has seen a higher epoch
}

func (s State) turn(t *chuteaction.Turn, environment Environment) *turn {
	return &turn{Turn: t, State: s, environment: environment}
}

// putJob stores a changed job whose progress is to be recorded.
func (t *turn) putJob(j chuterun.Job) {
	t.keepJob(j)
	t.dirty = t.dirty.Set(j.ID, true)
}

// keepJob stores a changed job.
func (t *turn) keepJob(j chuterun.Job) {
	if j.Phase.Ended() {
		t.forgetSteps(j)
		t.live = t.live.Delete(j.ID)
		t.ended = t.ended.Set(j.ID, j)
		return
	}
	t.live = t.live.Set(j.ID, j)
}

// forgetSteps drops what is known of the steps of a job that has ended.
func (t *turn) forgetSteps(j chuterun.Job) {
	for k, steps := range j.Occurrences {
		for s := range steps {
			id := chutegraph.StepID{Job: j.ID, Occurrence: k, Step: s}
			t.approvals = t.approvals.Delete(id)
			t.speeds = t.speeds.WithoutStep(id)
		}
	}
}

func (t *turn) putWorker(w chutepool.Worker) {
	t.pool = t.pool.With(w)
}

func (t *turn) target(w chutepool.Worker) chuteaction.WorkerTarget {
	return chuteaction.WorkerTarget{Worker: w.ID, Address: w.Address, Epoch: t.epoch}
}
