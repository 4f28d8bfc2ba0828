package chuterunner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutefreshness"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterenewal"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// repeatUnsent lets the scheduler check the worker's unsent starts after the given time.
func (s *scheduler) repeatUnsent(after time.Duration, index int) []chuteaction.Effect {
	return s.handle(after, func(t *chuterunner.Transition) {
		w, r, ok := t.Pool.FindRun(workerID(index), taskRun(index, 1))
		if ok && r.StartNotSent {
			t.RepeatUnsentStart(w, r)
		}
	})
}

// listWorkers lets the store list all workers just now.
func (s *scheduler) listWorkers() {
	s.state.List = chutefreshness.New(s.now, 0)
	for _, w := range s.state.Pool.All() {
		w.Listed = true
		s.state.Pool = s.state.Pool.With(w)
	}
}

func TestAStartThatWasNotSentIsOrderedAgainOnTheSameWorker(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, false)
	s.listWorkers()
	s.start(0)
	s.startEnds(0, chuteaction.OrderNotSent, 0)
	is.Equal(s.worker(0).CooldownUntil, time.Time{}) // the worker is not to blame
	is.Equal(len(s.orders), 1)                       // a full ring must not be offered the order at once
	orders := s.repeatUnsent(100*time.Millisecond, 0)
	is.Equal(len(orders), 1)
	order, ok := orders[0].(chuteaction.StartRun)
	is.True(ok)
	is.Equal(order.Run, taskRun(0, 1))
	is.Equal(order.Timeout, s.orders[0].(chuteaction.StartRun).Timeout) // the unsent order does not count as a try
	is.True(order.SendBefore.After(s.now))
}

func TestAStartThatWasNotSentAndMayNoLongerStartFreesItsCapacity(t *testing.T) {
	cases := []struct {
		name   string
		change func(*scheduler)
		after  time.Duration
	}{
		{"worker drains", func(s *scheduler) {
			w := s.worker(0)
			w.Draining = true
			s.state.Pool = s.state.Pool.With(w)
		}, 0},
		{"worker no longer listed", func(s *scheduler) {
			w := s.worker(0)
			w.Listed = false
			s.state.Pool = s.state.Pool.With(w)
		}, 0},
		{"task done by an earlier run", func(s *scheduler) {
			j, _ := s.state.Job(testID)
			s.state.Live = s.state.Live.Set(testID, j.WithTask(taskRun(0, 1).Task, s.task(0).WithPhase(chutetask.TaskDone)))
		}, 0},
		{"not sent for too long", func(*scheduler) {}, 3 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newScheduler(1, false)
			s.listWorkers()
			s.start(0)
			s.startEnds(0, chuteaction.OrderNotSent, 0)
			c.change(s)
			is.Equal(len(s.repeatUnsent(c.after, 0)), 0)
			is.Equal(s.worker(0).RunCount(), 0)
			is.Equal(s.worker(0).CooldownUntil, time.Time{})
		})
	}
}

func TestAnUnsentRepetitionOfAnUnansweredStartKeepsItsCapacity(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, false)
	s.listWorkers()
	s.start(0)
	s.startEnds(0, chuteaction.OrderUnknown, 0)
	s.startEnds(0, chuteaction.OrderNotSent, 0)
	s.repeatUnsent(3*time.Second, 0)
	is.Equal(s.stopped(), []chutegraph.RunID{taskRun(0, 1)}) // the first order may still be carried out
	is.Equal(s.worker(0).RunCount(), 1)
}

func TestAMemberWhoseStartIsGivenUpUnsentStopsItsGang(t *testing.T) {
	is := is.New(t)
	s := newScheduler(2, true)
	s.listWorkers()
	s.start(0)
	s.start(1)
	s.startEnds(0, chuteaction.OrderAccepted, 0)
	s.startEnds(1, chuteaction.OrderNotSent, 0)
	s.repeatUnsent(3*time.Second, 1)
	is.Equal(s.stopped(), []chutegraph.RunID{taskRun(0, 1)})
}

func TestAStartThatWasNotSentAfterItsRunWasStoppedChangesNothing(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, false)
	s.listWorkers()
	s.start(0)
	s.handle(0, func(t *chuterunner.Transition) { t.StopRun(workerID(0), taskRun(0, 1), "test") })
	s.startEnds(0, chuteaction.OrderNotSent, 0)
	_, r, _ := s.state.Pool.FindRun(workerID(0), taskRun(0, 1))
	is.Equal(r.Phase, chutepool.RunStopping)
	is.Equal(r.StartNotSent, false)
}

func TestARenewalThatWasNotSentDoesNotCountAsMissed(t *testing.T) {
	is := is.New(t)
	s := startedRun()
	s.handle(100*time.Millisecond, func(t *chuterunner.Transition) {
		w := s.worker(0)
		w.PresumedEnded = true
		t.PutWorker(w)
		chuterenewal.Handle(t, chuteaction.LeaseRenewed{Epoch: epoch, Worker: workerID(0), SentAt: s.now, Outcome: chuteaction.OrderNotSent})
	})
	is.Equal(s.worker(0).MissedRenewals, 0)
	is.Equal(s.worker(0).Lost, false)
	is.True(s.worker(0).ReportDue) // it is sent again soon
}
