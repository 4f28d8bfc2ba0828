package chutescheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutetask"
)

// unansweredTime is how long a renewal without an answer takes beyond its poll timeout.
const unansweredTime = 700 * time.Millisecond

// nextRenewal returns the next renewal, and false if none is sent for two seconds.
func (s *successor) nextRenewal() (chuteaction.RenewLease, bool) {
	since := len(s.effects)
	for range 40 {
		s.tick(50 * time.Millisecond)
		for _, effect := range s.effects[since:] {
			if renewal, ok := effect.(chuteaction.RenewLease); ok {
				return renewal, true
			}
		}
	}
	return chuteaction.RenewLease{}, false
}

func TestAWorkerIsNotGivenUpAfterTwoRenewalsWithoutAnAnswer(t *testing.T) {
	is := is.New(t)
	const minTries = 4
	s := newSuccessor(released())
	s.submissions(true, submissionRow(1))
	s.answerReads(chuteaction.TableHosts)
	s.answerReads(chuteaction.TableProgress, recordedRow(1, chutetask.TaskActive))
	s.listWorker()
	s.tick(200 * time.Millisecond)
	s.report(1, []chutetask.RunReport{{Run: runID(0)}}, nil)
	tries := 0
	for {
		renewal, ok := s.nextRenewal()
		if !ok || renewal.LeaseEnd == 0 {
			break // the worker has been given up
		}
		tries++
		s.handle(renewal.PollTimeout+unansweredTime, func(t *chuteaction.Transition, environment chuteledger.Environment) {
			s.state, _ = s.state.HandleLeaseRenewed(t, environment, chuteaction.LeaseRenewed{Epoch: epoch, Worker: workerID, SentAt: s.now, Outcome: chuteaction.OrderUnknown})
		})
	}
	is.True(tries >= minTries)
}
