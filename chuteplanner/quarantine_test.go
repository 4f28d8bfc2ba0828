package chuteplanner_test

import (
	"testing"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutequarantine"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	failing = chutetask.WorkerID("w00") // a run of the job failed there
	sound   = chutetask.WorkerID("w01")
)

// newSuspect returns a scheduler of a task under which two workers have crashed, with the two workers alone.
func newSuspect() *scheduler {
	s := newScheduler(chutegraph.Step{Count: 1})
	s.environment.Catalog.Queues[0].Approval = nil
	task := chutegraph.TaskID{StepID: chutegraph.StepID{Job: testID}}
	var crashes chutequarantine.Record
	for run := 1; run <= 2; run++ {
		crashes = crashes.WithCrash(chutequarantine.Crash{Run: run, Worker: "gone", Began: true, Confirmed: true, At: s.now})
	}
	j, _ := s.state.Job(testID)
	s.state.Live = s.state.Live.Set(testID, j.WithCrashes(task, crashes))
	for _, w := range s.state.Pool.All() {
		if w.ID != failing && w.ID != sound {
			s.state.Pool = s.state.Pool.Without(w.ID)
		}
	}
	w, _ := s.state.Pool.Get(failing)
	w, _ = w.WithRunEnd(chutetask.RunEnd{Run: chutegraph.RunID{Task: task, Number: 3}, Kind: chutetask.EndFailed})
	s.state.Pool = s.state.Pool.With(w)
	return s
}

// runsOn returns the number of runs on the worker.
func (s *scheduler) runsOn(id chutetask.WorkerID) int {
	w, _ := s.state.Pool.Get(id)
	return w.RunCount()
}

// TestASuspectWaitsForAnotherWorkerThanTheOneItFailedOn guards against a crash budget that is spent on one worker that fails each run.
func TestASuspectWaitsForAnotherWorkerThanTheOneItFailedOn(t *testing.T) {
	is := is.New(t)
	s := newSuspect()
	w, _ := s.state.Pool.Get(sound)
	other := chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: "00000000000000bb"}}, Number: 1}
	s.state.Pool = s.state.Pool.With(w.WithRun(chutepool.Run{ID: other, Reserved: w.Capacity}))
	s.plan()
	is.Equal(s.runsOn(failing), 0)
	s.state.Pool = s.state.Pool.With(w) // the other run has ended
	s.plan()
	is.Equal(s.runsOn(failing), 0)
	is.Equal(s.runsOn(sound), 1)
}

func TestASuspectStartsOnTheOnlyWorkerAlthoughItFailedThere(t *testing.T) {
	is := is.New(t)
	s := newSuspect()
	s.state.Pool = s.state.Pool.Without(sound)
	s.plan()
	is.Equal(s.runsOn(failing), 1)
}
