package chuteplanner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// newRetry returns a scheduler of two workers, whose only task has failed on the first a second ago.
func newRetry() *scheduler {
	s := newScheduler(chutegraph.Step{Count: 1})
	s.environment.Catalog.Queues[0].Approval = nil
	for _, w := range s.state.Pool.All()[2:] {
		s.state.Pool = s.state.Pool.Without(w.ID)
	}
	s.plan() // the first pass finds the workers
	for _, w := range s.state.Pool.All() {
		w.Listed = true
		for _, r := range w.Runs() {
			w = w.WithoutRun(r.ID)
		}
		s.state.Pool = s.state.Pool.With(w)
	}
	run := chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: testID}}, Number: 1}
	j, _ := s.state.Job(testID)
	task := chutetask.Task{}.WithRun(1, failing).WithFailure(1).WithPhase(chutetask.TaskWaiting)
	s.state.Live = s.state.Live.Set(testID, j.WithTask(run.Task, task))
	s.state.Outliers, _ = s.state.Outliers.WithEnd(failing, "queue", chutetask.RunEnd{Run: run, Kind: chutetask.EndFailed}, s.now, s.now)
	return s
}

// TestTheNextRunOfAFailedTaskGoesToAnotherWorker guards against attempts that are used up on one worker.
func TestTheNextRunOfAFailedTaskGoesToAnotherWorker(t *testing.T) {
	is := is.New(t)
	s := newRetry()
	w, _ := s.state.Pool.Get(sound)
	other := chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: "00000000000000bb"}}, Number: 1}
	s.state.Pool = s.state.Pool.With(w.WithRun(chutepool.Run{ID: other, Reserved: w.Capacity}))
	s.plan()
	is.Equal(s.runsOn(failing), 0)      // it has room
	s.state.Pool = s.state.Pool.With(w) // the other run has ended
	s.plan()
	is.Equal(s.runsOn(failing), 0)
	is.Equal(s.runsOn(sound), 1)
}

// TestAFailedTaskDoesNotWaitForAnotherWorkerWithoutEnd guards against a job that stands beside a free worker for 3 s.
func TestAFailedTaskDoesNotWaitForAnotherWorkerWithoutEnd(t *testing.T) {
	is := is.New(t)
	s := newRetry()
	w, _ := s.state.Pool.Get(sound)
	w.CooldownUntil = s.now.Add(time.Hour)
	s.state.Pool = s.state.Pool.With(w)
	s.plan()
	s.plan()
	is.Equal(s.runsOn(failing), 1)
}
