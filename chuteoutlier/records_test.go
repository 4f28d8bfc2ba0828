package chuteoutlier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteoutlier"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// service is the records of ten workers in racks of five, and the time.
type service struct {
	chuteoutlier.Records
	now     time.Time
	workers []chutepool.Worker
}

func newService() *service {
	s := &service{Records: chuteoutlier.New(), now: time.Unix(1000, 0)}
	for i := range 10 {
		listing := chutepool.Listing{ID: id(i), Service: "main", Rack: fmt.Sprint(i / 5), Zone: "zone"}
		w := chutepool.NewWorker(listing, s.now)
		w.Listed = true
		s.workers = append(s.workers, w)
	}
	return s
}

func id(i int) chutetask.WorkerID {
	return chutetask.WorkerID(fmt.Sprintf("worker-%d", i))
}

// end ends a run of the job and queue on the worker a second later; the run has begun half a second before.
func (s *service) end(worker int, job, queue string, kind chutetask.EndKind) {
	s.now = s.now.Add(time.Second)
	run := chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: chutegraph.JobID(job)}}, Number: 1}
	s.Records, _ = s.WithEnd(id(worker), queue, chutetask.RunEnd{Run: run, Kind: kind}, s.now.Add(-time.Second/2), s.now)
}

func (s *service) verdict(worker int) chuteoutlier.Verdict {
	return s.Judge(s.workers, s.now).Of(id(worker))
}

// TestAWorkerIsHeldAfterFailuresOfTwoJobsAndReadmittedInSteps guards against a worker that fails all it starts and gets as many
// runs as fit, at once or after a fixed time.
func TestAWorkerIsHeldAfterFailuresOfTwoJobsAndReadmittedInSteps(t *testing.T) {
	is := is.New(t)
	s := newService()
	s.end(0, "a", "q", chutetask.EndFailed)
	is.Equal(s.verdict(0), chuteoutlier.Limited{Starts: 2, Cause: chuteoutlier.CauseFailures})
	s.end(0, "b", "q", chutetask.EndFailed)
	is.Equal(s.verdict(0), chuteoutlier.Held{Cause: chuteoutlier.CauseFailures})
	s.now = s.now.Add(2 * time.Second)
	is.Equal(s.verdict(0), chuteoutlier.Limited{Starts: 1, Cause: chuteoutlier.CauseFailures})
	s.end(0, "c", "q", chutetask.EndFailed) // held for longer
	s.now = s.now.Add(3 * time.Second)
	is.Equal(s.verdict(0), chuteoutlier.Held{Cause: chuteoutlier.CauseFailures})
	s.now = s.now.Add(time.Second)
	for _, starts := range []int{2, 4} {
		s.end(0, "d", "q", chutetask.EndDone)
		is.Equal(s.verdict(0), chuteoutlier.Limited{Starts: starts, Cause: chuteoutlier.CauseFailures})
	}
	s.end(0, "d", "q", chutetask.EndDone)
	is.Equal(s.verdict(0), chuteoutlier.Admitted{})
}

// TestAQueueThatFailsEverywhereHoldsNoWorker guards against workers that are withheld from others since a queue's own tasks fail.
func TestAQueueThatFailsEverywhereHoldsNoWorker(t *testing.T) {
	is := is.New(t)
	s := newService()
	for i := range 10 {
		s.end(i, "ok", "sound", chutetask.EndDone)
	}
	for round := range 2 {
		for i := range 9 {
			s.end(i, fmt.Sprint(round, i), "broken", chutetask.EndFailed)
		}
	}
	held := 0
	for i := range 10 {
		if _, ok := s.verdict(i).(chuteoutlier.Admitted); !ok {
			held++
		}
	}
	is.True(held <= 3)
}

// TestNoRackAndNoMoreThanHalfOfAServiceIsHeld guards against a service without workers, and workers that are blamed for their rack.
func TestNoRackAndNoMoreThanHalfOfAServiceIsHeld(t *testing.T) {
	cases := []struct {
		slow []int
		held int
	}{
		{nil, 0},
		{[]int{0, 1, 2}, 3},
		{[]int{0, 1, 2, 3, 4}, 0},             // a rack
		{[]int{0, 1, 2, 3, 5, 6, 7, 8}, 5},    // half of the service
		{[]int{0, 1, 2, 3, 4, 5, 6, 7, 8}, 0}, // the zone
	}
	for _, c := range cases {
		s := newService()
		for _, i := range c.slow {
			s.Records = s.WithSpeed(id(i), 0.2, true, s.now)
		}
		withheld := 0
		for i := range 10 {
			if s.Judge(s.workers, s.now).Withhold(id(i)) {
				withheld++
			}
		}
		if withheld != c.held {
			t.Errorf("workers %v are slow, %d are held, want %d", c.slow, withheld, c.held)
		}
	}
}
