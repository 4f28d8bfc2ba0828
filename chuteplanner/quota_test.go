package chuteplanner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutefreshness"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// limit gives the job a workspace with a quota of so many tasks, each of which requests 1000 thousandths of a core, of which runs of
// ended jobs on the worker use some.
func (s *scheduler) limit(tasks, used int, worker chutetask.WorkerID) {
	s.environment.Catalog.Workspaces = []chutecatalog.Workspace{{Name: "a", Limit: chutecapacity.Resources{Processor: 1000 * tasks}}}
	j, _ := s.state.Live.Get(testID)
	j.Workspace = "a"
	s.state.Live = s.state.Live.Set(testID, j)
	w, _ := s.state.Pool.Get(worker)
	for i := range used {
		id := chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: "00000000000000cc"}, Index: i}, Number: 1}
		run := chutepool.Run{ID: id, Workspace: "a", Request: chutecapacity.Resources{Processor: 1000}}
		w = w.WithRun(run.WithPhase(chutepool.RunStopping, s.now))
	}
	s.state.Pool = s.state.Pool.With(w)
}

// effects runs a planning pass and returns its effects.
func (s *scheduler) effects() []chuteaction.Effect {
	s.state.List = chutefreshness.New(s.now, 0)
	t := chuterunner.NewTransition(chuteaction.NewTransition(s.now, 0), s.state, s.environment)
	s.planner, s.state = s.planner.Plan(t), t.State
	return t.Effects
}

// TestAStepThatWaitsForItsQuotaSaysSo guards against a job that waits beside free workers without a reason, and against runs of jobs
// that have ended and do not count while they are being stopped.
func TestAStepThatWaitsForItsQuotaSaysSo(t *testing.T) {
	is := is.New(t)
	s := newScheduler(chutegraph.Step{Count: 2, Gang: true})
	s.environment.Catalog.Queues[0].Approval = nil
	s.limit(3, 2, "w00")
	is.Equal(s.waitReason(), "limit")
	is.Equal(s.started(), 0)
}

// TestNoApprovalIsRequestedForAStepThatItsQuotaHoldsBack guards against an approval service that is busy with steps that cannot start.
func TestNoApprovalIsRequestedForAStepThatItsQuotaHoldsBack(t *testing.T) {
	is := is.New(t)
	s := newScheduler(chutegraph.Step{Count: 1})
	s.limit(1, 1, "w00")
	is.Equal(s.plan(), 0)
	s.limit(2, 1, "w00")
	is.True(s.plan() > 0)
}

// TestAQuarantineStartsWithinItsQuota guards against quarantined tasks that start above a quota, and against those that run beside others
// because their quota holds them back.
func TestAQuarantineStartsWithinItsQuota(t *testing.T) {
	is := is.New(t)
	s := newSuspect()
	s.limit(1, 1, failing)
	s.now = s.now.Add(time.Nanosecond)
	s.effects()
	is.Equal(s.started(), 0)
	s.limit(2, 1, failing)
	s.now = s.now.Add(time.Second)
	s.effects()
	is.Equal(s.started(), 1)
	is.Equal(s.runsOn(sound), 1)
}

// TestMetricsTellWhatWorkspacesUse guards against a quota of which operators cannot see how much is used.
func TestMetricsTellWhatWorkspacesUse(t *testing.T) {
	is := is.New(t)
	s := newScheduler(chutegraph.Step{Count: 5})
	s.environment.Catalog.Queues[0].Approval = nil
	s.limit(3, 2, "w00")
	values := make(map[string]float64)
	for _, effect := range s.effects() {
		if g, ok := effect.(chuteaction.SetGauge); ok {
			name := g.Gauge
			for _, label := range g.Labels {
				name += " " + label.Value
			}
			values[name] = g.Value
		}
	}
	is.Equal(values["workspace-use a processor"], 2000.0)
	is.Equal(values["workspace-quota a processor"], 3000.0)
	is.Equal(values["workspace-waiting-tasks a"], 4.0)
	is.Equal(s.started(), 1)
}

// TestNoQuotaIsReservedForAStepThatFitsNowhere guards against a workspace that loses a part of its quota to a step that never starts.
func TestNoQuotaIsReservedForAStepThatFitsNowhere(t *testing.T) {
	for label, want := range map[string]int{"": 1, "absent": 0} {
		is := is.New(t)
		s := newScheduler(chutegraph.Step{Count: 2, Gang: true, Label: label})
		s.environment.Catalog.Queues[0].Approval = nil
		s.limit(3, 2, "w00")
		reserved := 0
		for range 6 {
			s.now = s.now.Add(time.Second)
			for _, effect := range s.effects() {
				if c, ok := effect.(chuteaction.Count); ok && c.Counter == "quota-reserved" {
					reserved++
				}
			}
		}
		is.Equal(reserved, want)
	}
}

// TestBestEffortTasksCountWithTheirProcessorTime guards against best-effort tasks that run above a quota, since they reserve no processor
// time on their workers.
func TestBestEffortTasksCountWithTheirProcessorTime(t *testing.T) {
	is := is.New(t)
	s := newScheduler(chutegraph.Step{Count: 6, BestEffort: true})
	s.environment.Catalog.Queues[0].Approval = nil
	s.limit(4, 1, "w00")
	s.effects()
	is.Equal(s.started(), 3)
}

// TestReservationsOfManyWorkspacesLast guards against reservations of quota that lapse each time their checks are repeated, since more
// steps are due than a pass checks.
func TestReservationsOfManyWorkspacesLast(t *testing.T) {
	const workspaces = 20
	is := is.New(t)
	s := newScheduler(chutegraph.Step{Count: 2, Gang: true})
	s.environment.Catalog.Queues[0].Approval = nil
	j, _ := s.state.Live.Get(testID)
	s.state.Live = s.state.Live.Delete(testID)
	w, _ := s.state.Pool.Get("w00")
	for i := range workspaces {
		name := fmt.Sprint("a", i)
		s.environment.Catalog.Workspaces = append(s.environment.Catalog.Workspaces, chutecatalog.Workspace{Name: name, Limit: chutecapacity.Resources{Processor: 2000}})
		sub := j.Submission
		sub.ID, sub.Workspace = chutegraph.JobID(fmt.Sprintf("%016x", i)), name
		s.state.Live = s.state.Live.Set(sub.ID, chutetask.New(sub, int64(i), s.now).WithOccurrenceBegun(0))
		id := chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: "00000000000000cc"}, Index: i}, Number: 1}
		run := chutepool.Run{ID: id, Workspace: name, Request: chutecapacity.Resources{Processor: 1000}}
		w = w.WithRun(run.WithPhase(chutepool.RunStarted, s.now))
	}
	s.state.Pool = s.state.Pool.With(w)
	reserved := 0
	for range 60 {
		s.now = s.now.Add(500 * time.Millisecond)
		for _, effect := range s.effects() {
			if c, ok := effect.(chuteaction.Count); ok && c.Counter == "quota-reserved" {
				reserved++
			}
		}
	}
	is.Equal(reserved, workspaces)
}

// TestApprovalsAreRequestedForAStepForWhichQuotaIsFreed guards against quota that is freed or reserved for a step and retaken by others
// while its approval is outstanding.
func TestApprovalsAreRequestedForAStepForWhichQuotaIsFreed(t *testing.T) {
	is := is.New(t)
	s := newScheduler(chutegraph.Step{Count: 1})
	s.limit(1, 1, "w00")
	s.environment.Catalog.Workspaces[0].GuaranteedAccelerators = 1
	s.environment.Catalog.Queues[0].Priority = 0
	is.True(s.plan() > 0)
	is.Equal(s.started(), 0)

	s = newScheduler(chutegraph.Step{Count: 1})
	s.limit(1, 1, "w00")
	asked := 0
	for range 6 {
		asked += s.plan()
	}
	is.True(asked > 0)
	is.Equal(s.started(), 0)
	s.limit(2, 1, "w00")
	s.plan()
	is.Equal(s.started(), 1)
}

// TestTheWaitForAQuotaOutlastsAnApproval guards against a step whose wait for its quota starts over when its approval is outstanding for a
// while, so that quota is never reserved for it.
func TestTheWaitForAQuotaOutlastsAnApproval(t *testing.T) {
	is := is.New(t)
	s := newScheduler(chutegraph.Step{Count: 1})
	s.refused[testID] = true
	reserved := 0
	for i := range 6 {
		quota := 1
		if i == 2 || i == 3 {
			quota = 2 // the quota allows the step, which has no approval
		}
		s.limit(quota, 1, "w00")
		s.now = s.now.Add(time.Second)
		for _, effect := range s.effects() {
			if c, ok := effect.(chuteaction.Count); ok && c.Counter == "quota-reserved" {
				reserved++
			}
		}
	}
	is.Equal(reserved, 1)
}

// TestAWorkerThatIsEmptiedKeepsItsQuota guards against a crash suspect whose quota small tasks take while a worker is emptied for it.
func TestAWorkerThatIsEmptiedKeepsItsQuota(t *testing.T) {
	is := is.New(t)
	s := newSuspect()
	w, _ := s.state.Pool.Get(sound)
	other := chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: "00000000000000bb"}}, Number: 1}
	s.state.Pool = s.state.Pool.With(w.WithRun(chutepool.Run{ID: other, Reserved: w.Capacity}))
	s.limit(1, 0, failing)
	j, _ := s.state.Live.Get(testID)
	sub := j.Submission
	sub.ID, sub.Workspace = "00000000000000dd", "a"
	s.state.Live = s.state.Live.Set(sub.ID, chutetask.New(sub, 2, s.now).WithOccurrenceBegun(0))
	s.now = s.now.Add(time.Second)
	s.effects()
	is.Equal(s.runsOn(failing), 0) // no small task has taken the quota of the suspect, which waits for the other worker
	s.state.Pool = s.state.Pool.With(w)
	s.now = s.now.Add(time.Second)
	s.effects()
	is.Equal(s.runsOn(sound), 1)
	is.Equal(s.started(), 1)
}

// TestAGuaranteedSuspectStartsInQuarantineBesideAReservedQuota guards against a suspect that runs beside others, since a reservation of
// quota that its guarantee does not heed is taken for a lack of workers.
func TestAGuaranteedSuspectStartsInQuarantineBesideAReservedQuota(t *testing.T) {
	is := is.New(t)
	s := newSuspect()
	s.environment.Catalog.Queues[0].Priority = 0
	s.limit(2, 1, failing)
	s.environment.Catalog.Workspaces[0].Limit.Accelerators = 2
	s.environment.Catalog.Workspaces[0].GuaranteedAccelerators = 1
	for _, id := range []chutetask.WorkerID{failing, sound} {
		w, _ := s.state.Pool.Get(id)
		w.Capacity.Accelerators = 2
		s.state.Pool = s.state.Pool.With(w)
	}
	w, _ := s.state.Pool.Get(failing)
	used := chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: "00000000000000ee"}}, Number: 1}
	run := chutepool.Run{ID: used, Workspace: "a", Request: chutecapacity.Resources{Accelerators: 1}}
	s.state.Pool = s.state.Pool.With(w.WithRun(run.WithPhase(chutepool.RunStarted, s.now)))
	suspect, _ := s.state.Live.Get(testID)
	s.state.Live = s.state.Live.Delete(testID)
	sub := suspect.Submission
	sub.ID, sub.Workspace = "00000000000000dd", "a"
	sub.Spec = chutegraph.Spec{Steps: []chutegraph.Step{{Count: 1, Request: chutecapacity.Resources{Processor: 1000, Accelerators: 2}}}}
	s.state.Live = s.state.Live.Set(sub.ID, chutetask.New(sub, 2, s.now).WithOccurrenceBegun(0))
	reserved := 0
	for range 6 {
		s.now = s.now.Add(time.Second)
		for _, effect := range s.effects() {
			if c, ok := effect.(chuteaction.Count); ok && c.Counter == "quota-reserved" {
				reserved++
			}
		}
	}
	is.Equal(reserved, 1)
	s.state.Live = s.state.Live.Set(testID, suspect)
	s.now = s.now.Add(time.Second)
	s.effects()
	is.Equal(s.started(), 1)
	w, _ = s.state.Pool.Get(sound)
	is.True(w.InQuarantine())
}
