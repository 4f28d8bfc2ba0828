package chutescheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// runOnWorker lets the worker run the only task of a job.
func (s *successor) runOnWorker() {
	s.submissions(true, submissionRow(1))
	s.answerReads(chuteaction.TableHosts)
	s.answerReads(chuteaction.TableProgress, recordedRow(1, chutetask.TaskActive))
	s.listWorker()
	s.tick(200 * time.Millisecond)
	s.report(1, []chutetask.RunReport{{Run: runID(0)}}, nil)
}

// TestAnEntryReadAfterALateAnswerIsNotTakenForARecentHeartbeat guards against a run started twice, as an entry that expired counts as removed.
func TestAnEntryReadAfterALateAnswerIsNotTakenForARecentHeartbeat(t *testing.T) {
	cases := []struct {
		name  string
		delay time.Duration // of the store's latest answer before the worker's latest heartbeat
		lost  bool
	}{
		{"prompt answer", 10 * time.Millisecond, true},
		{"late answer", 3 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSuccessor(released())
			s.runOnWorker()
			s.tick(c.delay)
			s.answerPoll(c.delay, false)
			s.tick(300 * time.Millisecond)
			s.answerPoll(0, false, entry(2)) // written at any time since the answer before
			s.tick(1400 * time.Millisecond)
			s.report(1, []chutetask.RunReport{{Run: runID(0)}}, nil)
			removed := entry(3)
			removed.Deleted, removed.Value = true, nil
			s.answerPoll(0, false, removed)
			s.handle(100*time.Millisecond, func(t *chuteaction.Transition, environment chuterunner.Environment) {
				s.state, _ = s.state.HandleLeaseRenewed(t, environment, chuteaction.LeaseRenewed{Epoch: epoch, Worker: workerID, SentAt: s.now, Outcome: chuteaction.OrderUnreachable})
			})
			_, lost := s.flush()
			is.Equal(lost, c.lost)
		})
	}
}
