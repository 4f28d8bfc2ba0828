package chuterunner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutemembership"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterenewal"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// missRenewal lets a renewal of a worker's lease get no answer.
func (s *scheduler) missRenewal(index int) {
	s.handle(100*time.Millisecond, func(t *chuterunner.Transition) {
		chuterenewal.Handle(t, chuteaction.LeaseRenewed{Epoch: epoch, Worker: workerID(index), SentAt: s.now, Outcome: chuteaction.OrderUnknown})
	})
}

func (s *scheduler) worker(index int) chutepool.Worker {
	w, _ := s.state.Pool.Get(workerID(index))
	return w
}

// startedRun returns a scheduler whose only run was started and reported by its worker.
func startedRun() *scheduler {
	s := newScheduler(1, false)
	s.start(0)
	s.startEnds(0, chuteaction.OrderAccepted, 0)
	s.report(0, []chutetask.RunReport{{Run: taskRun(0, 1)}}, nil)
	return s
}

func TestAWorkerIsLostBeforeItsLeaseExpiresOnlyIfItRemovedItsEntry(t *testing.T) {
	cases := []struct {
		name    string
		silence time.Duration // between the worker's latest heartbeat and the end of its entry
		removal chutemembership.Removal
		answers bool // the worker answers a renewal afterwards, before it misses one
		lost    bool
	}{
		{"entry removed at the worker's end", time.Second, chutemembership.RemovalDeleted, false, true},
		{"entry expired while the worker reaches the hosts", 4500 * time.Millisecond, chutemembership.RemovalDeleted, false, false},
		{"entry missing from a complete list", 4500 * time.Millisecond, chutemembership.RemovalMissing, false, false},
		{"entry overwritten by another writer", time.Second, chutemembership.RemovalMalformed, false, false},
		{"entry removed by a worker that goes on answering", time.Second, chutemembership.RemovalDeleted, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startedRun()
			s.state.Bounds.HeartbeatInterval = 1500 * time.Millisecond
			s.handle(0, func(t *chuterunner.Transition) {
				chutemembership.ApplyListing(t, s.worker(0).Listing, 7, t.List.StoreClock())
			})
			s.handle(c.silence, func(*chuterunner.Transition) {})
			s.report(0, []chutetask.RunReport{{Run: taskRun(0, 1)}}, nil)
			s.handle(0, func(t *chuterunner.Transition) { chutemembership.MarkUnlisted(t, workerID(0), c.removal) })
			if c.answers {
				s.report(0, []chutetask.RunReport{{Run: taskRun(0, 1)}}, nil)
			}
			s.missRenewal(0)
			is.Equal(s.worker(0).Lost, c.lost)
			is.Equal(s.task(0).Phase == chutetask.TaskWaiting, c.lost) // a waiting task is started again elsewhere
		})
	}
}

func TestARenewalSentBeforeTheLatestAnswerIsNotMissed(t *testing.T) {
	is := is.New(t)
	s := startedRun()
	sentAt := s.now
	s.report(0, []chutetask.RunReport{{Run: taskRun(0, 1)}}, nil)
	s.handle(time.Second, func(t *chuterunner.Transition) {
		chuterenewal.Handle(t, chuteaction.LeaseRenewed{Epoch: epoch, Worker: workerID(0), SentAt: sentAt, Outcome: chuteaction.OrderUnknown})
	})
	is.Equal(s.worker(0).MissedRenewals, 0)
}

func TestAWorkerWithoutAKnownLeaseIsNotTakenAsExpired(t *testing.T) {
	is := is.New(t)
	s := startedRun()
	s.handle(0, func(t *chuterunner.Transition) {
		t.Pool = t.Pool.Without(workerID(0))
		chutemembership.ApplyListing(t, chutepool.Listing{ID: workerID(0), Address: "10.0.0.1:1", Incarnation: 1}, 7, t.List.StoreClock())
	})
	s.report(0, []chutetask.RunReport{{Run: taskRun(0, 2)}}, nil) // not expected: it is stopped, and takes its capacity until then
	is.Equal(s.worker(0).RunCount(), 1)
	is.True(s.worker(0).LeaseExpiryBound.After(s.now.Add(5 * time.Second)))
}

func TestAWorkerThatRefusesARenewalIsNotLost(t *testing.T) {
	is := is.New(t)
	s := startedRun()
	s.handle(0, func(t *chuterunner.Transition) {
		w := s.worker(0)
		w.PresumedEnded = true
		t.PutWorker(w)
		chuterenewal.Handle(t, chuteaction.LeaseRenewed{
			Epoch: epoch, Worker: workerID(0), SentAt: s.now, Outcome: chuteaction.OrderRefused, Reason: chuteaction.RefusedExpired,
		})
	})
	is.Equal(s.worker(0).Lost, false)
}

func TestADoneEndOfARunTakenAsLostCompletesItsTask(t *testing.T) {
	cases := []struct {
		name    string
		next    chutepool.RunPhase // phase of the task's next run; 0 for none
		gang    bool
		stopped bool // the next run is ordered to stop
	}{
		{"no next run", 0, false, false},
		{"next run planned", chutepool.RunPlanned, false, false},
		{"next run ordered", chutepool.RunOrdered, false, true},
		{"next run started", chutepool.RunStarted, false, true},
		{"gang without a next run", 0, true, false},
		{"gang with a next run", chutepool.RunStarted, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newScheduler(2, c.gang)
			for i := range 2 {
				s.start(i)
				s.startEnds(i, chuteaction.OrderAccepted, 0)
				s.handle(0, func(t *chuterunner.Transition) { t.MarkLost(s.worker(i)) })
			}
			if c.next != 0 {
				s.giveNextRun(1, 0, c.next)
			}
			before := len(s.orders)
			s.report(0, nil, []chutetask.RunEnd{{Number: 1, Run: taskRun(0, 1), Kind: chutetask.EndDone}})
			is.Equal(s.task(0).Phase, chutetask.TaskDone)
			is.Equal(s.task(1).Phase == chutetask.TaskDone, c.gang) // the end of one member completes a gang
			is.Equal(countStops(s.orders[before:]), map[bool]int{true: 1}[c.stopped])
			if c.next == chutepool.RunPlanned {
				is.Equal(s.worker(1).RunCount(), 0)
			}
		})
	}
}

// giveNextRun gives the task with the index its second run, in the phase, on a worker.
func (s *scheduler) giveNextRun(worker, index int, phase chutepool.RunPhase) {
	s.handle(0, func(t *chuterunner.Transition) {
		run := taskRun(index, 2)
		j, _ := t.Job(testID)
		t.PutJob(j.WithTask(run.Task, s.task(index).WithRun(2, workerID(worker))))
		t.PutWorker(s.worker(worker).WithRun(chutepool.Run{ID: run}.WithPhase(phase, s.now)))
	})
}

func countStops(orders []chuteaction.Effect) int {
	stops := 0
	for _, order := range orders {
		if _, ok := order.(chuteaction.StopRun); ok {
			stops++
		}
	}
	return stops
}

// TestARunWhoseEndIsBeyondAFullListIsNotAbsent guards against a lost run where a worker lists 500 of its ends at a time.
func TestARunWhoseEndIsBeyondAFullListIsNotAbsent(t *testing.T) {
	is := is.New(t)
	s := startedRun()
	ends := make([]chutetask.RunEnd, 500)
	for i := range ends {
		other := chutegraph.TaskID{StepID: chutegraph.StepID{Job: "00000000000000bb"}, Index: i}
		ends[i] = chutetask.RunEnd{Number: int64(i + 1), Run: chutegraph.RunID{Task: other, Number: 1}, Kind: chutetask.EndDone}
	}
	s.handle(100*time.Millisecond, func(t *chuterunner.Transition) {
		chuterenewal.Handle(t, chuteaction.LeaseRenewed{
			Epoch: epoch, Worker: workerID(0), SentAt: s.now, Outcome: chuteaction.OrderAccepted,
			Clock: time.Hour + s.now.Sub(startTime), Incarnation: 1, Ended: ends, MoreEnded: true,
		})
	})
	is.Equal(s.task(0).Phase, chutetask.TaskActive)
	s.report(0, nil, append(ends[1:], chutetask.RunEnd{Number: 501, Run: taskRun(0, 1), Kind: chutetask.EndDone}))
	is.Equal(s.task(0).Phase, chutetask.TaskDone)
}

func TestAnOrderToAFormerAddressDoesNotEndTheWorker(t *testing.T) {
	for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
		is := is.New(t)
		s := startedRun()
		moved := s.worker(0).Listing
		moved.Address = "10.0.0.2:1"
		s.handle(0, func(t *chuterunner.Transition) { chutemembership.ApplyListing(t, moved, 7, t.List.StoreClock()) })
		s.handle(100*time.Millisecond, func(t *chuterunner.Transition) {
			chuterenewal.Handle(t, chuteaction.LeaseRenewed{
				Epoch: epoch, Worker: workerID(0), Address: address, SentAt: s.now, Outcome: chuteaction.OrderMisdirected,
			})
		})
		is.Equal(s.worker(0).Lost, address == moved.Address)
	}
}

func TestARenewalSentBeforeAWorkersEntryDisappearedDoesNotShowThatItHasEnded(t *testing.T) {
	is := is.New(t)
	s := startedRun()
	s.state.Bounds.HeartbeatInterval = 1500 * time.Millisecond
	s.handle(0, func(t *chuterunner.Transition) {
		chutemembership.ApplyListing(t, s.worker(0).Listing, 7, t.List.StoreClock())
	})
	s.handle(5*time.Second, func(*chuterunner.Transition) {})
	s.handle(0, func(t *chuterunner.Transition) {
		chutemembership.ApplyListing(t, s.worker(0).Listing, 8, t.List.StoreClock())
	})
	sentAt := s.now
	s.handle(500*time.Millisecond, func(t *chuterunner.Transition) {
		chutemembership.MarkUnlisted(t, workerID(0), chutemembership.RemovalDeleted)
	})
	is.True(s.worker(0).PresumedEnded)
	s.handle(200*time.Millisecond, func(t *chuterunner.Transition) {
		chuterenewal.Handle(t, chuteaction.LeaseRenewed{Epoch: epoch, Worker: workerID(0), SentAt: sentAt, Outcome: chuteaction.OrderUnknown})
	})
	is.Equal(s.worker(0).Lost, false)
	s.missRenewal(0)
	is.Equal(s.worker(0).Lost, true) // it did not answer afterwards either
}
