package chuterunner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// missRenewal lets a renewal of a worker's lease get no answer.
func (s *scheduler) missRenewal(index int) {
	s.handle(100*time.Millisecond, func(t *chuterunner.Transition) {
		t.HandleLeaseRenewed(chuteaction.LeaseRenewed{Epoch: epoch, Worker: workerID(index), SentAt: s.now, Outcome: chuteaction.OrderUnknown})
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
		removal chuterunner.Removal
		answers bool // the worker answers a renewal afterwards, before it misses one
		lost    bool
	}{
		{"entry removed at the worker's end", time.Second, chuterunner.RemovalDeleted, false, true},
		{"entry expired while the worker reaches the hosts", 4500 * time.Millisecond, chuterunner.RemovalDeleted, false, false},
		{"entry missing from a complete list", 4500 * time.Millisecond, chuterunner.RemovalMissing, false, false},
		{"entry overwritten by another writer", time.Second, chuterunner.RemovalMalformed, false, false},
		{"entry removed by a worker that goes on answering", time.Second, chuterunner.RemovalDeleted, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startedRun()
			s.state.Bounds.HeartbeatInterval = 1500 * time.Millisecond
			s.handle(0, func(t *chuterunner.Transition) { t.ApplyListing(s.worker(0).Listing, 7, s.now) })
			s.handle(c.silence, func(*chuterunner.Transition) {})
			s.report(0, []chutetask.RunReport{{Run: taskRun(0, 1)}}, nil)
			s.handle(0, func(t *chuterunner.Transition) { t.MarkUnlisted(workerID(0), c.removal) })
			if c.answers {
				s.report(0, []chutetask.RunReport{{Run: taskRun(0, 1)}}, nil)
			}
			s.missRenewal(0)
			is.Equal(s.worker(0).Lost, c.lost)
			is.Equal(s.task(0).Phase == chutetask.TaskWaiting, c.lost) // a waiting task is started again elsewhere
		})
	}
}
