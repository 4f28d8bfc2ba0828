package chuterunner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutefreshness"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutemembership"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterenewal"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// newStartedScheduler returns a scheduler whose runs all have started and were reported by their workers.
func newStartedScheduler(count int, gang bool) *scheduler {
	s := newScheduler(count, gang)
	for i := range count {
		s.start(i)
		s.startEnds(i, chuteaction.OrderAccepted, 0)
	}
	for i := range count {
		s.report(i, []chutetask.RunReport{{Run: taskRun(i, 1)}}, nil)
	}
	return s
}

// renewalEnds lets a renewal that was sent at the given time end without a report.
func (s *scheduler) renewalEnds(index int, sentAt time.Time, outcome chuteaction.OrderOutcome, reason chuteaction.RefusalReason) {
	s.handle(100*time.Millisecond, func(t *chuterunner.Transition) {
		chuterenewal.Handle(t, chuteaction.LeaseRenewed{
			Epoch: epoch, Worker: workerID(index), Address: s.worker(index).Address, SentAt: sentAt, Outcome: outcome, Reason: reason,
		})
	})
}

// removeEntry lets the worker's entry disappear so soon after a heartbeat that the worker itself must have removed it.
func (s *scheduler) removeEntry(index int) {
	s.state.Bounds.HeartbeatInterval = 1500 * time.Millisecond
	s.handle(0, func(t *chuterunner.Transition) {
		chutemembership.ApplyListing(t, s.worker(index).Listing, 7, t.List.StoreClock())
	})
	s.handle(time.Second, func(t *chuterunner.Transition) {
		chutemembership.MarkUnlisted(t, workerID(index), chutemembership.RemovalDeleted)
	})
}

func doneEnd(number int64, index int) chutetask.RunEnd {
	return chutetask.RunEnd{Number: number, Run: taskRun(index, 1), Kind: chutetask.EndDone}
}

// TestATaskWhoseRunCountedAsLostIsDoneOnceItsEndIsListed guards against a second run of a task after its done end was acknowledged.
func TestATaskWhoseRunCountedAsLostIsDoneOnceItsEndIsListed(t *testing.T) {
	cases := []struct {
		name string
		lose func(*scheduler)
	}{
		{"its worker left the list and missed a renewal", func(s *scheduler) {
			s.removeEntry(0)
			s.renewalEnds(0, s.now, chuteaction.OrderUnknown, 0)
		}},
		{"another worker answered at the address", func(s *scheduler) { s.renewalEnds(0, s.now, chuteaction.OrderMisdirected, 0) }},
		{"its worker's lease counted as expired", func(s *scheduler) {
			s.handle(0, func(t *chuterunner.Transition) { t.MarkLost(s.worker(0)) })
		}},
		{"it was absent from a report", func(s *scheduler) { s.report(0, nil, nil) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newStartedScheduler(1, false)
			c.lose(s)
			is.Equal(s.task(0).Phase, chutetask.TaskWaiting)
			s.report(0, nil, []chutetask.RunEnd{doneEnd(1, 0)})
			is.Equal(s.task(0).Phase, chutetask.TaskDone)
		})
	}
}

// TestAGangIsDoneThoughAMembersWorkerRestartedFirst guards against a gang that runs again since one worker restarted as it ended.
func TestAGangIsDoneThoughAMembersWorkerRestartedFirst(t *testing.T) {
	is := is.New(t)
	s := newStartedScheduler(2, true)
	s.handle(0, func(t *chuterunner.Transition) {
		w, _ := t.Pool.Get(workerID(1))
		t.ApplyIncarnation(w, 2)
	})
	is.Equal(s.task(1).Phase, chutetask.TaskWaiting)
	s.report(0, nil, []chutetask.RunEnd{doneEnd(1, 0)})
	is.Equal(s.task(0).Phase, chutetask.TaskDone)
	is.Equal(s.task(1).Phase, chutetask.TaskDone)
}

// TestAWorkerThatAnswersIsNotLostThoughItLeftTheList guards against work that is started twice since a worker's entry expired.
func TestAWorkerThatAnswersIsNotLostThoughItLeftTheList(t *testing.T) {
	cases := []struct {
		name   string
		answer func(*scheduler)
	}{
		{"it answers that it is unhealthy", func(s *scheduler) { s.renewalEnds(0, s.now, chuteaction.OrderUnhealthy, 0) }},
		{"it refuses a lease that has expired", func(s *scheduler) {
			s.renewalEnds(0, s.now, chuteaction.OrderRefused, chuteaction.RefusedExpired)
		}},
		{"it reports its runs, and a later answer is lost", func(s *scheduler) {
			for range 20 {
				s.report(0, []chutetask.RunReport{{Run: taskRun(0, 1)}}, nil)
			}
			s.renewalEnds(0, s.now, chuteaction.OrderUnknown, 0)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newStartedScheduler(1, false)
			s.removeEntry(0)
			is.True(s.worker(0).PresumedEnded)
			c.answer(s)
			is.Equal(s.task(0).Phase, chutetask.TaskActive)
		})
	}
}

// TestAnAnswerOfAnEarlierEpochChangesNothing guards against answers to orders of an earlier scheduler of the same process.
func TestAnAnswerOfAnEarlierEpochChangesNothing(t *testing.T) {
	cases := []struct {
		name   string
		handle func(*chuterunner.Transition)
	}{
		{"a renewal that lists no runs", func(t *chuterunner.Transition) {
			chuterenewal.Handle(t, chuteaction.LeaseRenewed{
				Epoch: epoch - 1, Worker: workerID(0), SentAt: t.Now, Outcome: chuteaction.OrderAccepted, Clock: 2 * time.Hour, Incarnation: 1,
			})
		}},
		{"a renewal that reached another worker", func(t *chuterunner.Transition) {
			chuterenewal.Handle(t, chuteaction.LeaseRenewed{Epoch: epoch - 1, Worker: workerID(0), Address: "10.0.0.1:1", SentAt: t.Now, Outcome: chuteaction.OrderMisdirected})
		}},
		{"a start order that was refused", func(t *chuterunner.Transition) {
			t.HandleRunStarted(chuteaction.RunStarted{
				Epoch: epoch - 1, Worker: workerID(0), Run: taskRun(0, 1), Outcome: chuteaction.OrderRefused, Reason: chuteaction.RefusedCapacity,
			})
		}},
		{"a stop order that reached another worker", func(t *chuterunner.Transition) {
			t.HandleRunStopped(chuteaction.RunStopped{Epoch: epoch - 1, Worker: workerID(0), Address: "10.0.0.1:1", Run: taskRun(0, 1), Outcome: chuteaction.OrderMisdirected})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newStartedScheduler(1, false)
			s.handle(100*time.Millisecond, c.handle)
			is.Equal(s.task(0).Phase, chutetask.TaskActive)
			_, r, ok := s.state.Pool.FindRun(workerID(0), taskRun(0, 1))
			is.True(ok)
			is.Equal(r.Phase, chutepool.RunStarted)
		})
	}
}

// TestAWorkerThatLeftAndCannotBeReachedIsLost guards against work that waits for the lease of a worker that has ended.
func TestAWorkerThatLeftAndCannotBeReachedIsLost(t *testing.T) {
	is := is.New(t)
	s := newStartedScheduler(1, false)
	s.removeEntry(0)
	s.renewalEnds(0, s.now, chuteaction.OrderUnreachable, 0)
	is.Equal(s.task(0).Phase, chutetask.TaskWaiting)
}

// inherit turns the runs into ones that an earlier scheduler has recorded and whose workers have not reported yet.
func (s *scheduler) inherit(count int) {
	s.handle(0, func(t *chuterunner.Transition) {
		t.List = chutefreshness.New(t.Now, t.List.StoreClock())
		for i := range count {
			w, r, _ := t.Pool.FindRun(workerID(i), taskRun(i, 1))
			w.Listed, w.Contacted = true, false
			r.Inherited, r.StartUnanswered = true, true
			t.PutWorker(w.WithRun(r))
		}
	})
}

// started returns the runs for which start orders were sent.
func (s *scheduler) started() []chutegraph.RunID {
	var runs []chutegraph.RunID
	for _, order := range s.orders {
		if o, ok := order.(chuteaction.StartRun); ok {
			runs = append(runs, o.Run)
		}
	}
	return runs
}

// TestAMemberOfAGangThatHasWorkedIsNotStartedAgainAlone guards against a member that a new scheduler starts after its gang has ended.
func TestAMemberOfAGangThatHasWorkedIsNotStartedAgainAlone(t *testing.T) {
	cases := []struct {
		name   string
		other  chutetask.RunReport // of the member that runs
		worked bool
	}{
		{"the other member has made progress", chutetask.RunReport{Run: taskRun(0, 1), Percent: 40}, true},
		{"the other member has a new checkpoint", chutetask.RunReport{Run: taskRun(0, 1), Checkpoint: "saved"}, true},
		{"the other member waits", chutetask.RunReport{Run: taskRun(0, 1)}, false},
	}
	for _, c := range cases {
		for _, first := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s, worker %d reports first", c.name, first), func(t *testing.T) {
				is := is.New(t)
				s := newScheduler(2, true)
				s.inherit(2)
				reports := [][]chutetask.RunReport{{c.other}, nil}
				s.report(first, reports[first], nil)
				s.report(1-first, reports[1-first], nil)
				s.report(1, nil, nil)
				is.Equal(slices.Contains(s.started(), taskRun(1, 1)), !c.worked)
				is.Equal(slices.Contains(s.stopped(), taskRun(0, 1)), c.worked) // the gang is stopped as a whole
				is.Equal(s.task(0).Phase, chutetask.TaskActive)
			})
		}
	}
}

// TestAMemberOfABrokenGangIsNotKeptOrStarted guards against a member that waits alone since a new scheduler finds the gang half stopped.
func TestAMemberOfABrokenGangIsNotKeptOrStarted(t *testing.T) {
	for _, running := range [][]chutetask.RunReport{nil, {{Run: taskRun(1, 1)}}} {
		t.Run(fmt.Sprintf("%d runs reported", len(running)), func(t *testing.T) {
			is := is.New(t)
			s := newScheduler(2, true)
			s.inherit(2)
			s.handle(0, func(t *chuterunner.Transition) {
				j, _ := t.Job(testID)
				t.PutJob(j.WithTask(taskRun(0, 1).Task, s.task(0).WithPhase(chutetask.TaskWaiting)))
				t.PutWorker(s.worker(0).WithoutRun(taskRun(0, 1)))
			})
			s.report(1, running, nil)
			is.Equal(len(s.started()), 0)
			is.True(slices.Contains(s.stopped(), taskRun(1, 1)))
		})
	}
}

// TestARestartedWorkerIsToldToRefuseALateStartOrder guards against an unanswered order that the next incarnation carries out beside a new run.
func TestARestartedWorkerIsToldToRefuseALateStartOrder(t *testing.T) {
	for _, reported := range []bool{true, false} {
		t.Run(fmt.Sprintf("run reported before the restart: %t", reported), func(t *testing.T) {
			is := is.New(t)
			s := newScheduler(1, false)
			s.start(0)
			s.startEnds(0, chuteaction.OrderUnknown, 0)
			s.startEnds(0, chuteaction.OrderAccepted, 0)
			if reported {
				s.report(0, []chutetask.RunReport{{Run: taskRun(0, 1)}}, nil)
			}
			s.handle(0, func(t *chuterunner.Transition) { t.ApplyIncarnation(s.worker(0), 2) })
			is.Equal(s.stopped(), []chutegraph.RunID{taskRun(0, 1)})

			s.reportOfIncarnation(0, 2, nil, nil)
			is.Equal(s.task(0).Phase, chutetask.TaskActive) // until the new incarnation has answered the stop order
			s.handle(0, func(t *chuterunner.Transition) {
				t.HandleRunStopped(chuteaction.RunStopped{Epoch: epoch, Worker: workerID(0), SentAt: s.now, Run: taskRun(0, 1), Outcome: chuteaction.OrderAccepted})
			})
			s.reportOfIncarnation(0, 2, nil, nil)
			is.Equal(s.task(0).Phase, chutetask.TaskWaiting)
		})
	}
}
