package chutescheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutetask"
)

// TestAnOutdatedListOfWorkersStartsNothingBeforeTheProgressIsRead guards against jobs that begin anew while the hosts are read.
func TestAnOutdatedListOfWorkersStartsNothingBeforeTheProgressIsRead(t *testing.T) {
	s := newSuccessor(released())
	s.submissions(true, submissionRow(1))
	s.answerReads(chuteaction.TableProgress, recordedRow(1, chutetask.TaskDone))
	s.contactWorker()
	if row, ok := s.flush(); ok {
		t.Errorf("the completed job is recorded as %s with %+v", row.Phase, row.Occurrences)
	}
}

// TestACompletedJobWhoseSubmissionComesLaterDoesNotRunAgain guards against recorded progress that is dropped with an outdated list of jobs.
func TestACompletedJobWhoseSubmissionComesLaterDoesNotRunAgain(t *testing.T) {
	s := newSuccessor(released())
	s.submissions(true)
	s.answerReads(chuteaction.TableHosts)
	s.answerReads(chuteaction.TableProgress, recordedRow(1, chutetask.TaskDone))
	s.submissions(true, submissionRow(1))
	s.contactWorker()
	if row, ok := s.flush(); ok {
		t.Errorf("the completed job is recorded as %s with %+v", row.Phase, row.Occurrences)
	}
}

// TestAJobWhoseProgressCannotBeReadDoesNotRunAgain guards against a malformed row that counts as a job without progress.
func TestAJobWhoseProgressCannotBeReadDoesNotRunAgain(t *testing.T) {
	s := newSuccessor(released())
	s.submissions(true, submissionRow(1))
	s.answerReads(chuteaction.TableHosts)
	malformed := recordedRow(1, chutetask.TaskDone)
	malformed.Value = nil
	s.answerReads(chuteaction.TableProgress, malformed)
	s.contactWorker()
	if row, ok := s.flush(); ok {
		t.Errorf("the job is recorded as %s with %+v", row.Phase, row.Occurrences)
	}
}

func TestAListOfAnEarlierWatchIsNotTakenForThePresentOne(t *testing.T) {
	is := is.New(t)
	s := newSuccessor(released())
	s.handle(0, func(t *chuteaction.Transition, environment chuteledger.Environment) {
		earlier := chuteaction.TableChanged{Watch: s.watch(chuteaction.TableJobs) - 1, Table: chuteaction.TableJobs, Complete: true}
		s.state = s.state.HandleSubmissions(t, environment, earlier)
	})
	s.answerReads(chuteaction.TableHosts)
	s.answerReads(chuteaction.TableProgress, recordedRow(1, chutetask.TaskDone))
	is.Equal(s.watch(chuteaction.TableWorkers), chuteaction.Token(0)) // nothing is merged before the present list has come
	s.submissions(true, submissionRow(1))
	is.True(s.watch(chuteaction.TableWorkers) != 0)
}

// TestAWorkerListedBeforeTheProgressIsReadKeepsItsLease guards against runs that count as lost at the first missed renewal.
func TestAWorkerListedBeforeTheProgressIsReadKeepsItsLease(t *testing.T) {
	s := newSuccessor(released())
	s.listWorker()
	s.submissions(true, submissionRow(1))
	s.answerReads(chuteaction.TableHosts)
	s.answerReads(chuteaction.TableProgress, recordedRow(1, chutetask.TaskActive))
	s.listWorker()
	s.tick(200 * time.Millisecond)
	s.handle(0, func(t *chuteaction.Transition, environment chuteledger.Environment) {
		s.state, _ = s.state.HandleLeaseRenewed(t, environment, chuteaction.LeaseRenewed{Epoch: epoch, Worker: workerID, SentAt: s.now, Outcome: chuteaction.OrderUnknown})
	})
	s.tick(500 * time.Millisecond)
	if row, ok := s.flush(); ok {
		t.Errorf("the job is recorded as %s with %+v", row.Phase, row.Occurrences)
	}
}

// TestTheRowOfAFinishedOccurrenceLeavesOutItsPlaces guards against rows of recurring jobs that outgrow the store's limit.
func TestTheRowOfAFinishedOccurrenceLeavesOutItsPlaces(t *testing.T) {
	is := is.New(t)
	s := newSuccessor(released())
	s.submissions(true, submissionRow(1))
	s.answerReads(chuteaction.TableHosts)
	s.answerReads(chuteaction.TableProgress, recordedRow(1, chutetask.TaskActive))
	s.listWorker()
	s.tick(200 * time.Millisecond)
	s.report(1, nil, []chutetask.RunEnd{{Number: 1, Run: runID(0), Kind: chutetask.EndDone, Checkpoint: "saved"}})
	row, ok := s.flush()
	is.True(ok)
	is.Equal(row.Occurrences[0][0][0], chutetask.Task{Phase: chutetask.TaskDone, Run: 1})
}

// TestRunsOfACancelledJobWhoseProgressCannotBeReadAreStopped guards against work that goes on after its cancellation was dropped.
func TestRunsOfACancelledJobWhoseProgressCannotBeReadAreStopped(t *testing.T) {
	is := is.New(t)
	s := newSuccessor(released())
	s.submissions(true, submissionRow(1))
	s.answerReads(chuteaction.TableHosts)
	malformed := recordedRow(1, chutetask.TaskActive)
	malformed.Value = nil
	s.answerReads(chuteaction.TableProgress, malformed)
	s.submissions(false, cancelRow())
	s.listWorker()
	s.tick(200 * time.Millisecond)
	s.report(1, []chutetask.RunReport{{Run: runID(0)}}, nil)
	stopped := false
	for _, effect := range s.effects {
		stop, ok := effect.(chuteaction.StopRun)
		stopped = stopped || ok && stop.Run == runID(0)
	}
	is.True(stopped)
	_, recorded := s.flush()
	is.Equal(recorded, false) // the row may say that the job has completed
}
