package chutescheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutetask"
)

// withoutSubmission lets the scheduler read the recorded run of a job whose submission it has not seen.
func (s *successor) withoutSubmission() {
	s.submissions(true)
	s.answerReads(chuteaction.TableHosts)
	s.answerReads(chuteaction.TableProgress, recordedRow(1, chutetask.TaskActive))
	s.listWorker()
	s.tick(200 * time.Millisecond)
}

// acknowledged returns up to which number the worker has been told to delete its ends.
func (s *successor) acknowledged() int64 {
	number := int64(0)
	for _, effect := range s.effects {
		if renewal, ok := effect.(chuteaction.RenewLease); ok {
			number = max(number, renewal.AcknowledgedEnd)
		}
	}
	return number
}

// TestTheDoneEndOfARunWhoseJobIsNotKnownYetCompletesIt guards against a task that runs again, as its end was deleted before its
// submission came.
func TestTheDoneEndOfARunWhoseJobIsNotKnownYetCompletesIt(t *testing.T) {
	is := is.New(t)
	s := newSuccessor(released())
	s.withoutSubmission()
	s.report(1, nil, []chutetask.RunEnd{{Number: 1, Run: runID(0), Kind: chutetask.EndDone}})
	s.flush()
	s.tick(500 * time.Millisecond)
	is.Equal(s.acknowledged(), int64(0)) // the end would be lost
	s.submissions(false, submissionRow(1))
	s.report(1, nil, []chutetask.RunEnd{{Number: 1, Run: runID(0), Kind: chutetask.EndDone}})
	row, ok := s.flush()
	is.True(ok)
	is.Equal(row.Phase, chutetask.PhaseCompleted)
}

// TestARunWhoseJobIsNotKnownYetGoesOn guards against the stop of sound work whose submission comes a moment later.
func TestARunWhoseJobIsNotKnownYetGoesOn(t *testing.T) {
	s := newSuccessor(released())
	s.withoutSubmission()
	s.report(1, []chutetask.RunReport{{Run: runID(0)}}, nil)
	for _, effect := range s.effects {
		if stop, ok := effect.(chuteaction.StopRun); ok {
			t.Errorf("%s is stopped", stop.Run)
		}
	}
}

// TestALateSubmissionDoesNotEndTheLeaseOfItsWorker guards against a run that starts elsewhere while its silent worker goes on.
func TestALateSubmissionDoesNotEndTheLeaseOfItsWorker(t *testing.T) {
	s := newSuccessor(silentLeader())
	s.withoutSubmission()
	s.handle(0, func(t *chuteaction.Transition, environment chuteledger.Environment) {
		s.state, _ = s.state.HandleLeaseRenewed(t, environment, chuteaction.LeaseRenewed{Epoch: epoch, Worker: workerID, SentAt: s.now, Outcome: chuteaction.OrderUnknown})
	})
	s.submissions(false, submissionRow(1))
	s.tick(500 * time.Millisecond)
	if row, ok := s.flush(); ok {
		t.Errorf("the job is recorded as %s with %+v", row.Phase, row.Occurrences)
	}
}

// TestAnIdleWorkerThatMovedWithItsClockSetBackIsUsed guards against a worker that gets no work any more, since its entry seems to be
// that of an earlier process.
func TestAnIdleWorkerThatMovedWithItsClockSetBackIsUsed(t *testing.T) {
	const before, after, address = 60_000, 30_000, "10.0.0.2:1"
	is := is.New(t)
	s := newSuccessor(released())
	s.submissions(true)
	s.answerReads(chuteaction.TableHosts)
	s.answerReads(chuteaction.TableProgress)
	s.answerPoll(0, true, startedAt(1, before))
	s.tick(200 * time.Millisecond)
	s.report(before, nil, nil)
	s.tick(500 * time.Millisecond)
	moved := startedAt(2, after)
	listing := moved.Value.(chuteaction.WorkerRow).Listing
	listing.Address = address
	moved.Value = chuteaction.WorkerRow{Listing: listing}
	asked := false
	for version := range 6 {
		moved.Version = chuteaction.RowVersion(2 + version)
		s.answerPoll(0, false, moved)
		s.tick(1500 * time.Millisecond)
	}
	for _, effect := range s.effects {
		renewal, ok := effect.(chuteaction.RenewLease)
		asked = asked || ok && renewal.Address == address
	}
	is.True(asked)
}
