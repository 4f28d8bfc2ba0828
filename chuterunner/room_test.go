package chuterunner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// shrink lists the worker with less capacity than its run reserves.
func (s *scheduler) shrink(index int) {
	listing := s.worker(index).Listing
	listing.Capacity = chutecapacity.Resources{Processor: 500, Memory: 8000, Accelerators: 8}
	s.handle(0, func(t *chuterunner.Transition) { t.ApplyListing(listing, 7, t.StoreClock) })
}

func TestAStartIsNotRepeatedOnAWorkerThatHasShrunk(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, false)
	s.start(0)
	s.shrink(0)
	before := len(s.orders)
	s.startEnds(0, chuteaction.OrderUnknown, 0)
	is.Equal(len(s.orders), before+1)
	_, stopped := s.orders[before].(chuteaction.StopRun) // the start may still be carried out
	is.True(stopped)
}

func TestNothingStartsByAnOldListOfWorkers(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1, false)
	s.shrink(0) // marks the worker as listed
	s.state.ListedAt = s.now
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
