package chuterunner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// stopAnswered lets the answer of a worker to a stop order arrive that was sent at the given time.
func (s *scheduler) stopAnswered(sentAt time.Time) {
	s.handle(10*time.Millisecond, func(t *chuterunner.Transition) {
		t.HandleRunStopped(chuteaction.RunStopped{
			Epoch: epoch, Worker: workerID(0), Address: s.worker(0).Address, SentAt: sentAt, Run: taskRun(0, 1), Outcome: chuteaction.OrderAccepted,
		})
	})
}

// newSchedulerWithAbandonedStart returns a scheduler that stops a run whose start orders got no answer.
func newSchedulerWithAbandonedStart() *scheduler {
	s := newScheduler(1, false)
	s.start(0)
	for range 3 {
		s.startEnds(0, chuteaction.OrderUnknown, 0)
	}
	return s
}

// TestAStopThatAFormerIncarnationAnsweredReleasesNoRunOfTheNext guards against a late start order that the next incarnation carries out beside a new run.
func TestAStopThatAFormerIncarnationAnsweredReleasesNoRunOfTheNext(t *testing.T) {
	cases := []struct {
		name    string
		restart func(s *scheduler, sentAt time.Time)
	}{
		{"its answer arrived before the restart was learned", func(s *scheduler, sentAt time.Time) {
			s.stopAnswered(sentAt)
			s.reportOfIncarnation(0, 2, nil, nil)
		}},
		{"its answer arrived later", func(s *scheduler, sentAt time.Time) {
			s.reportOfIncarnation(0, 2, nil, nil)
			s.stopAnswered(sentAt)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSchedulerWithAbandonedStart()
			is.Equal(s.stopped(), []chutegraph.RunID{taskRun(0, 1)})
			c.restart(s, s.now)
			is.Equal(s.stopped(), []chutegraph.RunID{taskRun(0, 1), taskRun(0, 1)}) // the new incarnation is told as well
			s.reportOfIncarnation(0, 2, nil, nil)
			is.Equal(s.task(0).Phase, chutetask.TaskActive)

			s.stopAnswered(s.now)
			s.reportOfIncarnation(0, 2, nil, nil)
			is.Equal(s.task(0).Phase, chutetask.TaskWaiting)
		})
	}
}
