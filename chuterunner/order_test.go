package chuterunner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutefreshness"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterenewal"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	epoch  = 3
	testID = chutegraph.JobID("00000000000000aa")
)

var startTime = time.Unix(1_800_000_000, 0)

// scheduler drives the state of the runs and collects the orders.
type scheduler struct {
	state  chuteledger.State
	now    time.Time
	orders []chuteaction.Effect

	environment chuteledger.Environment
}

// newScheduler returns a scheduler with a job of one step of count tasks, each with a recorded run on a worker of its
// own: task i runs on worker wI.
func newScheduler(count int, gang bool) *scheduler {
	s := &scheduler{now: startTime, state: chuteledger.New(epoch, chuteledger.Bounds{MaxLease: 6 * time.Second}, startTime)}
	request := chutecapacity.Resources{Processor: 1000, Memory: 1000, Accelerators: 1}
	submission := chutetask.Submission{ID: testID, Attempts: 3, Spec: chutegraph.Spec{
		Steps: []chutegraph.Step{{Count: count, Request: request, Gang: gang}},
	}}
	j := chutetask.New(submission, 1, startTime).WithOccurrenceBegun(0).WithPhase(chutetask.PhaseRunning)
	for i := range count {
		run := taskRun(i, 1)
		j = j.WithTask(run.Task, chutetask.Task{}.WithRun(1, workerID(i)))
		w := chutepool.NewWorker(chutepool.Listing{
			ID: workerID(i), Address: "10.0.0.1:1", Incarnation: 1, Capacity: chutecapacity.Resources{Processor: 8000, Memory: 8000, Accelerators: 8},
		}, startTime)
		w.Contacted = true
		w.Clock = chutepool.Clock{Reading: time.Hour, ReadAt: startTime}
		s.state.Pool = s.state.Pool.With(w.WithRun(chutepool.Run{ID: run, Reserved: request}.WithPhase(chutepool.RunOrdered, startTime)))
	}
	s.state.Live = s.state.Live.Set(testID, j)
	s.state.List = chutefreshness.New(startTime, 0)
	return s
}

func workerID(index int) chutetask.WorkerID {
	return chutetask.WorkerID("w" + string(rune('0'+index)))
}

func taskRun(index, number int) chutegraph.RunID {
	return chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: testID}, Index: index}, Number: number}
}

// handle lets the scheduler handle one event after the given time, and returns the orders that it sends.
func (s *scheduler) handle(after time.Duration, act func(*chuterunner.Transition)) []chuteaction.Effect {
	s.now = s.now.Add(after)
	s.state.List = chutefreshness.New(s.state.List.KnownAt(), time.Duration(s.now.UnixNano()))
	s.environment.ConfirmedAt = s.now
	t := chuterunner.NewTransition(chuteaction.NewTransition(s.now, 0), s.state, s.environment)
	act(t)
	s.state = t.State
	var orders []chuteaction.Effect
	for _, effect := range t.Effects {
		if order, ok := effect.(chuteaction.OrderEffect); ok {
			orders = append(orders, order)
		}
	}
	s.orders = append(s.orders, orders...)
	return orders
}

func (s *scheduler) start(index int) {
	s.handle(0, func(t *chuterunner.Transition) {
		w, r, _ := t.Pool.FindRun(workerID(index), taskRun(index, 1))
		t.OrderStart(w, r)
	})
}

func (s *scheduler) startEnds(index int, outcome chuteaction.OrderOutcome, reason chuteaction.RefusalReason) {
	s.handle(300*time.Millisecond, func(t *chuterunner.Transition) {
		t.HandleRunStarted(chuteaction.RunStarted{
			Epoch: epoch, Worker: workerID(index), Address: s.worker(index).Address, Run: taskRun(index, 1), Outcome: outcome, Reason: reason,
			Clock: time.Hour,
		})
	})
}

// report lets a worker answer a renewal that was sent just now.
func (s *scheduler) report(index int, running []chutetask.RunReport, ended []chutetask.RunEnd) {
	s.reportOfIncarnation(index, 1, running, ended)
}

// reportOfIncarnation lets an incarnation of a worker answer a renewal that was sent just now.
func (s *scheduler) reportOfIncarnation(index int, incarnation int64, running []chutetask.RunReport, ended []chutetask.RunEnd) {
	s.handle(100*time.Millisecond, func(t *chuterunner.Transition) {
		chuterenewal.Handle(t, chuteaction.LeaseRenewed{
			Epoch: epoch, Worker: workerID(index), SentAt: s.now, Outcome: chuteaction.OrderAccepted,
			Clock: time.Hour + s.now.Sub(startTime), Incarnation: incarnation, Running: running, Ended: ended,
		})
	})
}

func (s *scheduler) task(index int) chutetask.Task {
	j, _ := s.state.Job(testID)
	task, _ := j.Task(taskRun(index, 1).Task)
	return task
}

// TestARunThatEndedBeforeItsRepeatedStartIsNotStartedAgain guards against a start whose answer is lost: the run ends
// well, the repeated order is refused as stale, and the task must not be taken for one that has not run.
func TestARunThatEndedBeforeItsRepeatedStartIsNotStartedAgain(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, false)
	s.start(0)
	s.startEnds(0, chuteaction.OrderUnknown, 0)
	is.Equal(len(s.orders), 2) // the order is repeated under the same number
	s.startEnds(0, chuteaction.OrderRefused, chuteaction.RefusedStale)
	is.Equal(s.task(0).Phase, chutetask.TaskActive) // the worker's next report tells how the run ended
	s.report(0, nil, []chutetask.RunEnd{{Number: 1, Run: taskRun(0, 1), Kind: chutetask.EndDone}})
	is.Equal(s.task(0).Phase, chutetask.TaskDone)
	is.Equal(s.task(0).Run, 1)
}

// TestARefusedFirstStartFreesTheTask checks that a start which certainly has no effect makes the task wait again.
func TestARefusedFirstStartFreesTheTask(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, false)
	s.start(0)
	s.startEnds(0, chuteaction.OrderRefused, chuteaction.RefusedCapacity)
	is.Equal(s.task(0).Phase, chutetask.TaskWaiting)
}

// stopped returns the runs for which stop orders were sent.
func (s *scheduler) stopped() []chutegraph.RunID {
	var runs []chutegraph.RunID
	for _, order := range s.orders {
		if o, ok := order.(chuteaction.StopRun); ok {
			runs = append(runs, o.Run)
		}
	}
	return runs
}

// TestNoMemberOfAGangIsLeftWaitingForAnother lists the ways in which one member of a gang does not start or ends early
// while the other has started. The other must be stopped at once: left alone, it would wait for the gang's timeout.
func TestNoMemberOfAGangIsLeftWaitingForAnother(t *testing.T) {
	end := func(kind chutetask.EndKind) func(*scheduler) {
		return func(s *scheduler) {
			s.startEnds(1, chuteaction.OrderAccepted, 0)
			s.report(1, nil, []chutetask.RunEnd{{Number: 1, Run: taskRun(1, 1), Kind: kind}})
		}
	}
	refuse := func(reason chuteaction.RefusalReason) func(*scheduler) {
		return func(s *scheduler) { s.startEnds(1, chuteaction.OrderRefused, reason) }
	}
	cases := []struct {
		name string
		run  func(*scheduler)
	}{
		{"start refused for lack of capacity", refuse(chuteaction.RefusedCapacity)},
		{"start refused because its lease has expired", refuse(chuteaction.RefusedExpired)},
		{"start refused for its ticket", refuse(chuteaction.RefusedTicket)},
		{"start refused as stale", refuse(chuteaction.RefusedStale)},
		{"worker unhealthy", func(s *scheduler) { s.startEnds(1, chuteaction.OrderUnhealthy, 0) }},
		{"another worker at the address", func(s *scheduler) { s.startEnds(1, chuteaction.OrderMisdirected, 0) }},
		{"no start order answered", func(s *scheduler) {
			for range 3 {
				s.startEnds(1, chuteaction.OrderUnknown, 0)
			}
		}},
		{"refused after an order without an answer", func(s *scheduler) {
			s.startEnds(1, chuteaction.OrderUnknown, 0)
			s.startEnds(1, chuteaction.OrderRefused, chuteaction.RefusedCapacity)
		}},
		{"failed", end(chutetask.EndFailed)},
		{"stopped", end(chutetask.EndStopped)},
		{"lease expired", end(chutetask.EndLeaseExpired)},
		{"missing in the worker's report", func(s *scheduler) {
			s.startEnds(1, chuteaction.OrderAccepted, 0)
			s.report(1, nil, nil)
		}},
		{"worker lost", func(s *scheduler) {
			s.startEnds(1, chuteaction.OrderAccepted, 0)
			s.handle(0, func(t *chuterunner.Transition) {
				w, _ := t.Pool.Get(workerID(1))
				t.MarkLost(w)
			})
		}},
		{"worker restarted", func(s *scheduler) {
			s.startEnds(1, chuteaction.OrderAccepted, 0)
			s.report(1, []chutetask.RunReport{{Run: taskRun(1, 1)}}, nil)
			s.handle(0, func(t *chuterunner.Transition) {
				w, _ := t.Pool.Get(workerID(1))
				t.ApplyIncarnation(w, 2)
			})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newScheduler(2, true)
			s.start(0)
			s.start(1)
			s.startEnds(0, chuteaction.OrderAccepted, 0)
			c.run(s)
			is.True(slices.Contains(s.stopped(), taskRun(0, 1)))
		})
	}
}

// TestASlowWorkerIsNotGivenUp guards against a worker that answers each start order a little after its timeout, so that
// its runs are stopped one after the other although it starts them.
func TestASlowWorkerIsNotGivenUp(t *testing.T) {
	for _, latency := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 650 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			is := is.New(t)
			s := newScheduler(1, false)
			s.start(0)
			for range 10 {
				order, ok := s.orders[len(s.orders)-1].(chuteaction.StartRun)
				is.True(ok) // the run is not stopped
				if order.Timeout >= latency {
					s.startEnds(0, chuteaction.OrderAccepted, 0)
					break
				}
				s.startEnds(0, chuteaction.OrderUnknown, 0)
			}
			_, r, _ := s.state.Pool.FindRun(workerID(0), taskRun(0, 1))
			is.Equal(r.Phase, chutepool.RunStarted)
		})
	}
}

// TestAReportConfirmsAStartWithoutAnswer checks that a start without an answer makes a report due, and that the run
// counts as started once the worker reports it.
func TestAReportConfirmsAStartWithoutAnswer(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, false)
	s.start(0)
	s.startEnds(0, chuteaction.OrderUnknown, 0)
	w, _, _ := s.state.Pool.FindRun(workerID(0), taskRun(0, 1))
	is.True(w.ReportDue)
	s.report(0, []chutetask.RunReport{{Run: taskRun(0, 1)}}, nil)
	_, r, _ := s.state.Pool.FindRun(workerID(0), taskRun(0, 1))
	is.Equal(r.Phase, chutepool.RunStarted)
	orders := len(s.orders)
	s.startEnds(0, chuteaction.OrderUnknown, 0) // the repeated order gets no answer either
	is.Equal(len(s.orders), orders)
}
