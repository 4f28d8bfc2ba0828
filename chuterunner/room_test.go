package chuterunner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutefreshness"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutemembership"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// shrink lists the worker with less capacity than its run reserves.
func (s *scheduler) shrink(index int) {
	listing := s.worker(index).Listing
	listing.Capacity = chutecapacity.Resources{Processor: 500, Memory: 8000, Accelerators: 8}
	s.handle(0, func(t *chuterunner.Transition) { chutemembership.ApplyListing(t, listing, 7, t.List.StoreClock()) })
}

// drain lists the worker as one that drains.
func (s *scheduler) drain(index int) {
	listing := s.worker(index).Listing
	listing.Draining = true
	s.handle(0, func(t *chuterunner.Transition) { chutemembership.ApplyListing(t, listing, 7, t.List.StoreClock()) })
}

// TestAnUnansweredStartIsRepeatedOnlyWhereRunsMayStart guards against a start on a worker that may get none since the first order.
func TestAnUnansweredStartIsRepeatedOnlyWhereRunsMayStart(t *testing.T) {
	cases := []struct {
		name     string
		change   func(*scheduler)
		repeated bool
	}{
		{"nothing has changed", func(*scheduler) {}, true},
		{"worker has shrunk", func(s *scheduler) { s.shrink(0) }, false},
		{"worker drains", func(s *scheduler) { s.drain(0) }, false},
		{"worker is no longer listed", func(s *scheduler) {
			s.handle(0, func(t *chuterunner.Transition) {
				chutemembership.MarkUnlisted(t, workerID(0), chutemembership.RemovalDeleted)
			})
		}, false},
		{"zone is evacuated", func(s *scheduler) { s.environment.EvacuatedZones = map[string]bool{s.worker(0).Zone: true} }, false},
		{"worker is cordoned", func(s *scheduler) { s.state.Cordoned = map[chutetask.WorkerID]bool{workerID(0): true} }, false},
		{"list of workers is old", func(s *scheduler) { s.state.List = chutefreshness.New(s.now.Add(-time.Hour), 0) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newScheduler(1, false)
			s.start(0)
			c.change(s)
			before := len(s.orders)
			s.startEnds(0, chuteaction.OrderUnknown, 0)
			is.Equal(len(s.orders), before+1)
			_, stopped := s.orders[before].(chuteaction.StopRun) // the start may still be carried out
			is.Equal(stopped, !c.repeated)
		})
	}
}

func TestNothingStartsByAnOldListOfWorkers(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, false)
	s.shrink(0) // marks the worker as listed
	s.state.List = chutefreshness.New(s.now, 0)
	s.handle(2*time.Second, func(t *chuterunner.Transition) { is.True(t.MayStartOn(s.worker(0))) })
	s.handle(2*time.Second, func(t *chuterunner.Transition) { is.Equal(t.MayStartOn(s.worker(0)), false) })
}

func TestARunOfAnUnknownJobTakesTheWholeWorker(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, false)
	unknown := chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: "00000000000000bb"}}, Number: 1}
	s.report(0, []chutetask.RunReport{{Run: unknown}}, nil)
	free := s.worker(0).Free()
	is.True(free.Accelerators <= 0)
}
