package chutegang_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutetopology"
)

var startTime = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

// shard drives the gangs of a shard whose workers have one accelerator each.
type shard struct {
	state chutegang.State
	now   time.Time
}

func workerID(index int) chutetopology.WorkerID {
	return chutetopology.WorkerID(fmt.Sprintf("w%d", index))
}

func newShard(workers int) *shard {
	var list []chutetopology.Worker
	for i := range workers {
		list = append(list, chutetopology.Worker{ID: workerID(i), Zone: "z", Rack: "r", Accelerators: 1})
	}
	return &shard{now: startTime, state: chutegang.New(1, 1, 1, chutetopology.New(list))}
}

func (s *shard) handle(act func(*chutegang.Transition)) {
	s.now = s.now.Add(time.Second)
	environment := chutegang.Environment{Now: s.now, LeaseValid: true, MayStart: true, StoreUp: true}
	environment.Document.Policy.MaxFailures = 3
	t := chutegang.NewTransition(s.state, environment)
	act(t)
	s.state = t.State
}

// run lets the job run, with a part on each of the workers.
func (s *shard) run(id chutejob.ID, workers ...int) {
	s.handle(func(t *chutegang.Transition) {
		blocks := make([]chutetopology.Block, len(workers))
		for i, w := range workers {
			blocks[i] = chutetopology.Block{Worker: workerID(w), Mask: 1}
		}
		t.State.Inventory = t.State.Inventory.WithHeld(blocks, false)
		j := chutejob.New(id, chutejob.Spec{Repeatable: true}, s.now).WithGrant(chutejob.PhaseReserved, blocks, false, s.now)
		j = j.WithReserved(make([]string, len(workers)), s.now).WithStartOrdered(s.now)
		for part := range workers {
			j = j.WithPart(part, chutejob.PartRunning)
		}
		t.PutJob(j.WithRunning(s.now))
		t.AttachJob(j)
	})
}

// task returns the report of a part of the job's first attempt.
func task(id chutejob.ID, part int, state chuteorder.TaskState) chuteorder.TaskReport {
	return chuteorder.TaskReport{Task: chuteorder.TaskID{Job: id, Attempt: 1, Part: part}, State: state}
}

// report lets a worker answer a poll with the tasks.
func (s *shard) report(worker int, tasks ...chuteorder.TaskReport) {
	s.handle(func(t *chutegang.Transition) {
		report := chuteorder.Report{Clock: time.Hour + s.now.Sub(startTime), Tasks: tasks}
		t.HandleReport(chuteevent.WorkerPolled{Worker: workerID(worker), SentAt: s.now, ReceivedAt: s.now, Lease: time.Minute, Report: report})
	})
}

// TestPartsThatFailSinceAnotherWasLostAreNoFailures guards against a job that fails since the parts of its gang fail with the one that a lost worker had.
func TestPartsThatFailSinceAnotherWasLostAreNoFailures(t *testing.T) {
	is := is.New(t)
	s := newShard(4)
	s.run("job", 0, 1, 2, 3)
	s.report(0) // its agent has restarted
	for worker := 1; worker < 4; worker++ {
		s.report(worker, task("job", worker, chuteorder.TaskFailed))
	}
	j, ok := s.state.LiveJob("job")
	is.True(ok)
	is.Equal(j.Phase, chutejob.PhaseWaiting)
	is.Equal(j.Failures, 0)
	is.Equal(len(j.FailedWorkers), 0)
	for worker := range 4 {
		r, _ := s.state.Registry.Get(workerID(worker))
		is.Equal(len(r.Health.FailedJobs), 0)
	}
}

// TestTheFirstPartThatFailsCounts checks that the other parts of a gang whose part fails are not charged with it.
func TestTheFirstPartThatFailsCounts(t *testing.T) {
	is := is.New(t)
	s := newShard(3)
	s.run("job", 0, 1, 2)
	for worker := range 3 {
		s.report(worker, task("job", worker, chuteorder.TaskFailed))
	}
	j, _ := s.state.LiveJob("job")
	is.Equal(j.Failures, 1)
	is.Equal(j.FailedWorkers, []chutetopology.WorkerID{workerID(0)})
}

// TestJobsThatFailEverywhereSuspendHalfOfAShard guards against a shard without workers since jobs fail on all of them.
func TestJobsThatFailEverywhereSuspendHalfOfAShard(t *testing.T) {
	for count, limit := range map[int]int{1: 0, 2: 1, 5: 2} {
		is := is.New(t)
		s := newShard(count)
		for worker := range count {
			for i := range 4 {
				id := chutejob.ID(fmt.Sprintf("job-%d-%d", worker, i))
				s.run(id, worker)
				s.report(worker, task(id, 0, chuteorder.TaskFailed))
			}
		}
		suspended := 0
		for _, r := range s.state.Registry.All() {
			if r.Health.Suspected(s.now) {
				suspended++
			}
		}
		is.Equal(suspended, limit)
	}
}

// TestAWorkerIsNotSuspendedLongerForRunsFromBefore guards against suspensions that grow though nothing was tried between them.
func TestAWorkerIsNotSuspendedLongerForRunsFromBefore(t *testing.T) {
	is := is.New(t)
	s := newShard(3)
	var failed []chuteorder.TaskReport
	for _, id := range []chutejob.ID{"a", "b", "c", "d", "e", "f"} {
		s.run(id, 0)
		failed = append(failed, task(id, 0, chuteorder.TaskFailed))
	}
	s.report(0, failed...)
	r, _ := s.state.Registry.Get(workerID(0))
	is.Equal(r.Health.Suspensions, 1)
}

// TestAReportFromBeforeAStartEndsNoPart guards against a running part that counts as lost, and whose job is started again
// beside it, since the answer to an earlier poll arrives after the answer to the start order.
func TestAReportFromBeforeAStartEndsNoPart(t *testing.T) {
	is := is.New(t)
	s := newShard(2)
	s.run("job", 0, 1)
	s.handle(func(t *chutegang.Transition) {
		sent := s.now.Add(-2 * time.Second) // a second before the start orders
		t.HandleReport(chuteevent.WorkerPolled{Worker: workerID(0), SentAt: sent, ReceivedAt: s.now, Lease: time.Minute, Report: chuteorder.Report{Clock: time.Hour}})
	})
	j, _ := s.state.LiveJob("job")
	is.Equal(j.Phase, chutejob.PhaseRunning)
}
