package chuteplanner_test

import (
	"fmt"
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutefreshness"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteplanner"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	benchWorkers    = 350
	benchWorkspaces = 330
	benchJobs       = 400 // of five tasks that wait
)

// newBenchScheduler returns a scheduler of workers with six runs each and two free accelerators, and of jobs of all workspaces that wait.
func newBenchScheduler() *scheduler {
	now := time.Unix(1_800_000_000, 0)
	s := &scheduler{now: now, planner: chuteplanner.New(), state: chuteledger.New(1, chuteledger.Bounds{}, now)}
	for i := range 3 {
		s.environment.Catalog.Queues = append(s.environment.Catalog.Queues, chutecatalog.Queue{Name: fmt.Sprint("q", i), Service: "service", Priority: i})
	}
	request := chutecapacity.Resources{Processor: 8000, Memory: 16000, Accelerators: 1}
	for i := range benchWorkers {
		w := chutepool.NewWorker(chutepool.Listing{
			ID: chutetask.WorkerID(fmt.Sprintf("w%03d", i)), Service: "service", Rack: fmt.Sprint("rack-", i/20), Capacity: request.Times(8),
		}, now)
		w.Contacted = true
		for k := range 6 {
			w = w.WithRun(benchRun(i, k, request).WithPhase(chutepool.RunStarted, now))
		}
		s.state.Pool = s.state.Pool.With(w)
	}
	for n := range benchJobs {
		step := chutegraph.Step{Count: 5, Request: request.Times(1 + n%3), Gang: n%2 == 0, Estimate: 5 * time.Second}
		sub := chutetask.Submission{
			ID: chutegraph.JobID(fmt.Sprintf("%016x", n)), Queue: fmt.Sprint("q", n%3), Workspace: benchWorkspace(n), Spec: chutegraph.Spec{Steps: []chutegraph.Step{step}},
		}
		s.state.Live = s.state.Live.Set(sub.ID, chutetask.New(sub, int64(n), now).WithOccurrenceBegun(0))
	}
	return s
}

func benchWorkspace(n int) string {
	return fmt.Sprintf("workspace-%03d", n%benchWorkspaces)
}

func benchRun(worker, index int, request chutecapacity.Resources) chutepool.Run {
	task := chutegraph.TaskID{StepID: chutegraph.StepID{Job: chutegraph.JobID(fmt.Sprintf("f%07x%08x", worker, index))}}
	return chutepool.Run{ID: chutegraph.RunID{Task: task, Number: 1}, Reserved: request, Request: request, Workspace: benchWorkspace(worker + 7*index), Priority: 2}
}

// timedPass runs a planning pass and returns how long it took. Each pass begins with the same runs and jobs.
func (s *scheduler) timedPass() time.Duration {
	s.now = s.now.Add(100 * time.Millisecond)
	s.state.List = chutefreshness.New(s.now, 0)
	state := s.state
	state.PlanDue = true
	t := chuterunner.NewTransition(chuteaction.NewTransition(s.now, 0), state, s.environment)
	begun := time.Now()
	s.planner = s.planner.Plan(t)
	return time.Since(begun)
}

// passesBeforeReservations is the number of passes after which all steps have waited for the longer of 4 s and their estimate of 5 s.
const passesBeforeReservations = 60

// benchKind is a configuration of all workspaces that planning passes are timed with.
type benchKind struct {
	name   string
	limit  chutecapacity.Resources
	weight float64
	waited bool // the steps have waited for so long that quota and capacity are reserved for them
}

func (k benchKind) newScheduler() *scheduler {
	s := newBenchScheduler()
	for n := range benchWorkspaces {
		w := chutecatalog.Workspace{Name: benchWorkspace(n), Limit: k.limit, Weight: k.weight}
		s.environment.Catalog.Workspaces = append(s.environment.Catalog.Workspaces, w)
	}
	for i := 0; k.waited && i < passesBeforeReservations; i++ {
		s.timedPass()
	}
	return s
}

// BenchmarkPlanningPass compares planning passes of 350 workers and 2,000 waiting tasks of 330 workspaces: without quotas, with a quota
// of every workspace that holds nothing back or a part, and with weights; and with and without quotas that are reserved for steps that
// have waited for long. The kinds take turns, so that other load on the machine slows all of them down alike. It reports the fastest
// pass without quotas, and the ratios of the others' fastest passes to it, or to that after as long a wait. With more than 40 iterations
// the steps of all kinds wait for long.
func BenchmarkPlanningPass(b *testing.B) {
	wide, narrow := chutecapacity.Resources{Processor: 1e6, Memory: 1e6, Accelerators: 500}, chutecapacity.Resources{Accelerators: 12}
	kinds := []benchKind{
		{name: "plain"},
		{name: "wide-quotas", limit: wide},
		{name: "narrow-quotas", limit: narrow},
		{name: "quotas-and-weights", limit: wide, weight: 2},
		{name: "plain-after-waits", waited: true},
		{name: "narrow-quotas-after-waits", limit: narrow, waited: true},
		{name: "narrow-quotas-and-weights-after-waits", limit: narrow, weight: 2, waited: true},
	}
	const plain, plainAfterWaits = 0, 4
	schedulers := make([]*scheduler, len(kinds))
	fastest := make([]time.Duration, len(kinds))
	for i, kind := range kinds {
		schedulers[i] = kind.newScheduler()
		fastest[i] = time.Hour
	}
	b.ResetTimer()
	for range b.N {
		for i, s := range schedulers {
			fastest[i] = min(fastest[i], s.timedPass())
		}
	}
	b.ReportMetric(fastest[plain].Seconds()*1000, "ms/plain-pass")
	for i, kind := range kinds[1:] {
		base := fastest[plain]
		if kind.waited && i+1 != plainAfterWaits {
			base = fastest[plainAfterWaits]
		}
		b.ReportMetric(float64(fastest[i+1])/float64(base), "x/"+kind.name)
	}
}
