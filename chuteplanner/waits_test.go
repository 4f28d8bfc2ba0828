package chuteplanner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutefreshness"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutequarantine"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// fill gives every worker of the zones a run in the phase that takes all its capacity.
func (s *scheduler) fill(phase chutepool.RunPhase, zones ...string) {
	id := chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: "00000000000000bb"}}, Number: 1}
	for _, w := range s.state.Pool.All() {
		for _, zone := range zones {
			if w.Zone == zone {
				run := chutepool.Run{ID: id, Reserved: w.Capacity}.WithPhase(phase, s.now)
				s.state.Pool = s.state.Pool.With(w.WithRun(run))
			}
		}
	}
}

// waitReason returns the reason that the planner logs for the step in the next passes.
func (s *scheduler) waitReason() string {
	for range 4 {
		s.now = s.now.Add(time.Second)
		s.state.List = chutefreshness.New(s.now, 0)
		t := chuterunner.NewTransition(chuteaction.NewTransition(s.now, 0), s.state, s.environment)
		s.planner, s.state = s.planner.Plan(t), t.State
		for _, effect := range t.Effects {
			if line, ok := effect.(chuteaction.LogLine); ok && strings.HasPrefix(line.Text, "step waits for capacity") {
				return line.Fields[1].Value
			}
		}
	}
	return ""
}

func TestAStepThatWaitsIsLoggedWithTheReason(t *testing.T) {
	all := []string{"zone-0", "zone-1", "zone-2", "zone-3"}
	for reason, prepare := range map[string]func(*scheduler){
		"no-room":          func(s *scheduler) { s.fill(chutepool.RunStarted, all...) },
		"unconfirmed-runs": func(s *scheduler) { s.fill(chutepool.RunStopping, all...) },
		"unusable-workers": func(s *scheduler) {
			s.fill(chutepool.RunStarted, all[1:]...)
			s.environment.EvacuatedZones = map[string]bool{"zone-0": true}
		},
		"too-large": func(s *scheduler) {
			for _, w := range s.state.Pool.All() {
				w.Capacity.Processor--
				s.state.Pool = s.state.Pool.With(w)
			}
		},
		"": func(*scheduler) {},
	} {
		is := is.New(t)
		s := newScheduler(chutegraph.Step{Count: 2, Gang: true})
		s.environment.Catalog.Queues[0].Approval = nil
		prepare(s)
		is.Equal(s.waitReason(), reason)
	}
}

// suspectGang records crashes under the gang, so that it needs a quarantine.
func (s *scheduler) suspectGang() {
	var crashes chutequarantine.Record
	for run := 1; run <= 2; run++ {
		crashes = crashes.WithCrash(chutequarantine.Crash{Run: run, Worker: "gone", Began: true, Confirmed: true, At: s.now})
	}
	j, _ := s.state.Job(testID)
	s.state.Live = s.state.Live.Set(testID, j.WithCrashes(chutegraph.TaskID{StepID: chutegraph.StepID{Job: testID}}, crashes))
}

// runBesideAGang returns how many of three small tasks of a job run 3 s after they came, while a gang waits for all workers.
func runBesideAGang(prepare func(*scheduler), small chutegraph.Step) int {
	s := newScheduler(chutegraph.Step{Count: workerCount, Gang: true})
	s.environment.Catalog.Queues[0].Approval = nil
	prepare(s)
	s.fill(chutepool.RunStarted, "zone-0") // so that the gang waits
	s.pass(10 * time.Second)
	small.Count, small.Request = 3, chutecapacity.Resources{Processor: 1000}
	submission := chutetask.Submission{ID: "00000000000000cc", Queue: "queue", Spec: chutegraph.Spec{Steps: []chutegraph.Step{small}}}
	s.state.Live = s.state.Live.Set(submission.ID, chutetask.New(submission, 2, s.now).WithOccurrenceBegun(0))
	s.pass(3 * time.Second)
	running := 0
	j, _ := s.state.Job(submission.ID)
	j.ForEachTask(func(_ chutegraph.TaskID, task chutetask.Task) {
		if task.Phase == chutetask.TaskActive {
			running++
		}
	})
	return running
}

// waitingGangs are the ways in which capacity is kept for a gang.
func waitingGangs() map[string]func(*scheduler) {
	return map[string]func(*scheduler){
		"a gang that waits": func(*scheduler) {}, "a suspect gang for which workers are emptied": (*scheduler).suspectGang,
	}
}

func TestAJobThatCouldRunDoesNotStandBesideCapacityKeptForAGang(t *testing.T) {
	for name, prepare := range waitingGangs() {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(runBesideAGang(prepare, chutegraph.Step{}), 1) // the rest stays kept, now that something of the job runs
		})
	}
}

func TestNoTaskThatLastsStandsBesideCapacityKeptForAGang(t *testing.T) {
	for name, prepare := range waitingGangs() {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(runBesideAGang(prepare, chutegraph.Step{LongRunning: true}), 3)
		})
	}
}

// pass runs planning passes for the time.
func (s *scheduler) pass(duration time.Duration) {
	const interval = 100 * time.Millisecond
	for range duration / interval {
		s.now = s.now.Add(interval)
		s.state.List, s.state.PlanDue = chutefreshness.New(s.now, 0), true
		t := chuterunner.NewTransition(chuteaction.NewTransition(s.now, 0), s.state, s.environment)
		s.planner, s.state = s.planner.Plan(t), t.State
	}
}
