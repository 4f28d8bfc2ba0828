package chuterunner_test

import (
	"testing"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// usableWorkers returns how many of the workers may get new runs now.
func (s *scheduler) usableWorkers(count int) int {
	usable := 0
	for i := range count {
		if s.worker(i).Usable(s.now) {
			usable++
		}
	}
	return usable
}

// failJobs lets a run of each of two jobs fail on the worker.
func (s *scheduler) failJobs(worker int) {
	var ends []chutetask.RunEnd
	for i, id := range []chutegraph.JobID{"00000000000000b1", "00000000000000b2"} {
		run := chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: id}, Index: worker}, Number: 1}
		ends = append(ends, chutetask.RunEnd{Number: int64(i + 1), Run: run, Kind: chutetask.EndFailed})
	}
	s.report(worker, nil, ends)
}

// TestJobsThatFailEverywhereSuspendHalfOfTheWorkers guards against work that could run and waits for the cooldown of all workers.
func TestJobsThatFailEverywhereSuspendHalfOfTheWorkers(t *testing.T) {
	for count, usable := range map[int]int{1: 1, 2: 1, 4: 2, 9: 5} {
		is := is.New(t)
		s := newScheduler(count, false)
		for i := range count {
			s.failJobs(i)
		}
		is.Equal(s.usableWorkers(count), usable)
	}
}

// TestEachServiceKeepsHalfOfItsWorkers guards against a service without workers since another has many.
func TestEachServiceKeepsHalfOfItsWorkers(t *testing.T) {
	is := is.New(t)
	s := newScheduler(4, false)
	s.handle(0, func(t *chuterunner.Transition) {
		for i := range 4 {
			w := s.worker(i)
			w.Service = []string{"lookup", "render"}[i/2]
			t.PutWorker(w)
		}
	})
	for i := range 4 {
		s.failJobs(i)
	}
	is.True(s.worker(1).Usable(s.now))
	is.True(s.worker(3).Usable(s.now))
}

// TestARefusalForTheRunsSakeDoesNotSuspendTheWorker guards against a step whose tickets expire and takes all its workers from others.
func TestARefusalForTheRunsSakeDoesNotSuspendTheWorker(t *testing.T) {
	reasons := map[chuteaction.RefusalReason]bool{
		chuteaction.RefusedTicket: true, chuteaction.RefusedStale: true, chuteaction.RefusedCapacity: false, chuteaction.RefusedExpired: false,
	}
	for reason, usable := range reasons {
		is := is.New(t)
		s := newScheduler(1, false)
		s.start(0)
		s.startEnds(0, chuteaction.OrderRefused, reason)
		is.Equal(s.task(0).Phase, chutetask.TaskWaiting)
		is.Equal(s.worker(0).Usable(s.now), usable)
	}
}
