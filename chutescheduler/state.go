package chutescheduler

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutebacklog"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutehandover"
	"monsoonchute.example/monsoonchute/chuteleader"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutemembership"
	"monsoonchute.example/monsoonchute/chutepacing"
	"monsoonchute.example/monsoonchute/chuteplanner"
	"monsoonchute.example/monsoonchute/chuterecording"
	"monsoonchute.example/monsoonchute/chuterenewal"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetakeover"
	"monsoonchute.example/monsoonchute/chutetask"
	"monsoonchute.example/monsoonchute/chutewave"
)

const component = "scheduler"

// State is the immutable state of the job scheduler.
type State struct {
	runner chuteledger.State
	schedulerState
}

// schedulerState is the part of State that chuteledger.State does not hold.
type schedulerState struct {
	recording      chuterecording.State
	predecessor    chutetakeover.Predecessor                               // the scheduler that led before this one
	progress       []chuteaction.Row                                       // rows to merge once all submissions are known
	unmerged       *immutable.SortedMap[chutegraph.JobID, chuteaction.Row] // progress of jobs without a submission, or malformed
	cancelledEarly *immutable.SortedMap[chutegraph.JobID, bool]            // cancelled jobs without a submission
	hasHosts       bool                                                    // the process of every host has been read
	hasProgress    bool                                                    // the progress of all jobs has been read
	hasJobs        bool                                                    // all submissions have been read
	hasWorkers     bool                                                    // all workers have been read
	timed          *immutable.SortedMap[chutegraph.JobID, bool]            // live jobs whose occurrences start at set times
	ticks          int                                                     // ticks so far; they select the workers to check
	pending        map[string]int                                          // pending jobs by queue; the map is never modified
	backlog        chutebacklog.Report                                     // on the unfinished jobs, at the latest count
	countedAt      time.Time                                               // when the jobs were last counted
	malformed      *immutable.SortedMap[chutetask.WorkerID, bool]          // entries that name no worker, as logged
	planner        chuteplanner.Planner
	progressToken  chuteaction.Token
	jobsWatch      chuteaction.Token // subscription to the table of jobs
	workersWatch   chuteaction.Token // subscription to the table of workers; 0 before it begins
	hostsToken     chuteaction.Token
	waves          chutewave.State
	handover       chutehandover.State
	machineLists   chutemembership.MachineLists
}

// New returns the scheduler that has taken over with the leader's row. It begins to read hosts and the progress of all jobs,
// and watches submissions.
func New(t *chuteaction.Transition, row chuteaction.LeaderRow, predecessor chuteleader.Predecessor, bounds chuteledger.Bounds) State {
	s := State{
		runner: chuteledger.New(row.Epoch, bounds, t.Now),
		schedulerState: schedulerState{
			predecessor: chutetakeover.New(predecessor, t.Now), handover: chutehandover.New(row.Handover),
			planner:        chuteplanner.New(),
			recording:      chuterecording.New(),
			timed:          immutable.NewSortedMap[chutegraph.JobID, bool](nil),
			cancelledEarly: immutable.NewSortedMap[chutegraph.JobID, bool](chutegraph.JobOrder{}),
			unmerged:       immutable.NewSortedMap[chutegraph.JobID, chuteaction.Row](chutegraph.JobOrder{}),
			malformed:      immutable.NewSortedMap[chutetask.WorkerID, bool](chutetask.WorkerOrder{}),
			waves:          chutewave.New(),
		},
	}
	s.runner.FinalLeases = s.handover.NotExtended()
	s.jobsWatch = t.NewToken()
	t.Emit(chuteaction.WatchTable{Watch: s.jobsWatch, Table: chuteaction.TableJobs, PollTimeout: tablePollTimeout, ListAfter: listJobsAfter})
	return s.readHosts(t).readProgress(t)
}

// tablePollTimeout is how long the store holds a poll of the table of jobs or workers while nothing changes.
const tablePollTimeout = 2 * time.Second

// listJobsAfter and listWorkersAfter are the times without an answer after which the tables of jobs and workers are listed again.
const (
	listJobsAfter    = 6 * time.Second
	listWorkersAfter = 3 * time.Second
)

// workersPollInterval is the shortest time between two polls of the table of workers.
const workersPollInterval = 300 * time.Millisecond

func (s State) readProgress(t *chuteaction.Transition) State {
	s.progressToken = t.NewToken()
	t.Emit(chuteaction.ReadRows{Token: s.progressToken, Table: chuteaction.TableProgress, Partition: chuteaction.ShardPartition})
	return s
}

func (s State) readHosts(t *chuteaction.Transition) State {
	s.hostsToken = t.NewToken()
	t.Emit(chuteaction.ReadRows{Token: s.hostsToken, Table: chuteaction.TableHosts, Partition: chuteaction.HostsPartition})
	return s
}

// End stops watching tables and closes the connections to workers, as this host no longer leads.
func (s State) End(t *chuteaction.Transition) {
	s.planner.End(t)
	t.Emit(chuteaction.UnwatchTable{Table: chuteaction.TableJobs})
	t.Emit(chuteaction.UnwatchTable{Table: chuteaction.TableWorkers})
	for _, w := range s.runner.Pool.All() {
		t.Emit(chuteaction.DisconnectWorker{Worker: w.ID})
	}
}

// Handover returns what the next write of the leader's row tells a successor.
func (s State) Handover() chuteaction.Handover {
	return s.handover.Next()
}

// HandoverOutdated reports whether the leader's row tells what no longer holds, and should be written soon.
func (s State) HandoverOutdated() bool {
	return s.handover.Outdated(s.runner.Pool)
}

// WithHandoverWritten returns the state after the start of a write of the leader's row that tells the handover.
func (s State) WithHandoverWritten(written chuteaction.Handover) State {
	s.handover = s.handover.WithWritten(written)
	s.runner.FinalLeases = s.handover.NotExtended()
	return s
}

// Epoch returns the epoch under which the scheduler sends orders.
func (s State) Epoch() int64 {
	return s.runner.Epoch
}

// Ready reports whether the scheduler has read all jobs, their progress and all workers.
func (s schedulerState) Ready() bool {
	return s.progressMerged() && s.hasWorkers
}

// progressMerged reports whether the state of all jobs includes what earlier schedulers recorded.
func (s schedulerState) progressMerged() bool {
	return s.hasHosts && s.hasProgress && s.hasJobs
}

// Pending returns, by queue, how many jobs had no started task at the latest count, and nil before the first one. It leaves out
// jobs with set times.
func (s State) Pending() map[string]int {
	return s.pending
}

// CountedAt returns the time of that count.
func (s State) CountedAt() time.Time {
	return s.countedAt
}

// Backlog returns the report on the unfinished jobs at the latest count.
func (s State) Backlog() chutebacklog.Report {
	return s.backlog
}

// countInterval is the shortest time between two counts of the jobs.
const countInterval = 200 * time.Millisecond

// countJobs counts the pending jobs by queue, and the memory that the unfinished ones take by workspace. The first count waits until
// the workers have told which runs have begun.
func (t *transition) countJobs() {
	if t.Now.Sub(t.countedAt) < countInterval || !t.planner.WorkersContacted(t.Transition) {
		return
	}
	t.countedAt = t.Now
	pending, used := t.CountJobs()
	t.pending = pending
	t.setBacklog(chutebacklog.NewReport(t.Environment.BacklogLimit, used))
}

// setBacklog stores the report, and logs when it begins or ceases to refuse jobs.
func (t *transition) setBacklog(r chutebacklog.Report) {
	t.Emit(chuteaction.SetGauge{Gauge: "backlog-bytes", Value: float64(r.Used)})
	if r.Full() != t.backlog.Full() {
		t.Warn(component, "the limit on unfinished jobs is reached, or no longer", "", "full", r.Full(), "bytes", r.Used, "limit", r.Limit)
	}
	t.backlog = r
}

// Owns reports whether the token belongs to a read that the scheduler awaits.
func (s State) Owns(token chuteaction.Token) bool {
	return s.progressToken == token && !s.hasProgress || s.hostsToken == token && !s.hasHosts
}

// transition is the working copy of the state while one event is handled.
type transition struct {
	*chuterunner.Transition
	schedulerState
}

func (s State) transition(t *chuteaction.Transition, environment chuteledger.Environment) *transition {
	return &transition{Transition: chuterunner.NewTransition(t, s.runner, environment), schedulerState: s.schedulerState}
}

// state returns the state at the end of the transition.
func (t *transition) state() State {
	return State{runner: t.State, schedulerState: t.schedulerState}
}

// HandleRunStarted handles the outcome of a start order, and reports whether a worker has seen a higher epoch.
func (s State) HandleRunStarted(t *chuteaction.Transition, environment chuteledger.Environment, e chuteaction.RunStarted) (State, bool) {
	u := s.transition(t, environment)
	if e.Reason == chuteaction.RefusedTicket {
		u.planner = u.planner.WithoutStep(e.Run.Task.StepID)
	}
	u.HandleRunStarted(e)
	return u.state(), u.Fenced
}

// HandleRunStopped handles the outcome of a stop order, and reports whether a worker has seen a higher epoch.
func (s State) HandleRunStopped(t *chuteaction.Transition, environment chuteledger.Environment, e chuteaction.RunStopped) (State, bool) {
	u := s.transition(t, environment)
	u.HandleRunStopped(e)
	return u.state(), u.Fenced
}

// HandleLeaseRenewed handles the outcome of a lease renewal, and reports whether a worker has seen a higher epoch.
func (s State) HandleLeaseRenewed(t *chuteaction.Transition, environment chuteledger.Environment, e chuteaction.LeaseRenewed) (State, bool) {
	u := s.transition(t, environment)
	chuterenewal.Handle(u.Transition, e)
	chutepacing.PaceWorker(u.Transition.Transition, e.Worker)
	return u.state(), u.Fenced
}

// HandleStepApproved handles the answer of the approval service.
func (s State) HandleStepApproved(t *chuteaction.Transition, environment chuteledger.Environment, e chuteaction.StepApproved) State {
	u := s.transition(t, environment)
	u.planner = u.planner.HandleStepApproved(u.Transition, e)
	return u.state()
}

// HandleMachinesListed handles the platform's answer to a request for its list of machines.
func (s State) HandleMachinesListed(t *chuteaction.Transition, environment chuteledger.Environment, e chuteaction.MachinesListed) State {
	u := s.transition(t, environment)
	u.machineLists = u.machineLists.HandleMachinesListed(u.Transition, e)
	u.waves = u.waves.HandleMachinesListed(u.Transition, e)
	return u.state()
}

// HandleMachineMaintained handles the outcome of an order to maintain a machine.
func (s State) HandleMachineMaintained(t *chuteaction.Transition, environment chuteledger.Environment, e chuteaction.MachineMaintained) State {
	u := s.transition(t, environment)
	u.waves = u.waves.HandleMachineMaintained(u.Transition, e)
	return u.state()
}
