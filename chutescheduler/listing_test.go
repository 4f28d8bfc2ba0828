package chutescheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteledger"
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
			s.handle(100*time.Millisecond, func(t *chuteaction.Transition, environment chuteledger.Environment) {
				s.state, _ = s.state.HandleLeaseRenewed(t, environment, chuteaction.LeaseRenewed{Epoch: epoch, Worker: workerID, SentAt: s.now, Outcome: chuteaction.OrderUnreachable})
			})
			_, lost := s.flush()
			is.Equal(lost, c.lost)
		})
	}
}

// starts returns how many start orders have been sent.
func (s *successor) starts() int {
	count := 0
	for _, effect := range s.effects {
		if _, ok := effect.(chuteaction.StartRun); ok {
			count++
		}
	}
	return count
}

// startJob submits a job, and records the runs that are planned for it now.
func (s *successor) startJob() {
	s.submissions(false, submissionRow(1))
	s.tick(100 * time.Millisecond)
	s.flush()
	s.handle(0, func(t *chuteaction.Transition, environment chuteledger.Environment) {
		s.state = s.state.HandleCommit(t, environment)
	})
}

// contactWorkerOnly lets the scheduler of no jobs reach its worker.
func (s *successor) contactWorkerOnly() {
	s.submissions(true)
	s.answerReads(chuteaction.TableHosts)
	s.answerReads(chuteaction.TableProgress)
	s.listWorker()
	s.tick(200 * time.Millisecond)
	s.report(1, nil, nil)
	s.tick(500 * time.Millisecond)
}

// TestNothingStartsByAnOldListThatArrivesLate guards against starts on a worker that has shrunk or begun to drain meanwhile.
func TestNothingStartsByAnOldListThatArrivesLate(t *testing.T) {
	for _, age := range []time.Duration{100 * time.Millisecond, 4 * time.Second} {
		for _, complete := range []bool{false, true} {
			is := is.New(t)
			s := newSuccessor(released())
			s.contactWorkerOnly()
			s.tick(4 * time.Second)
			s.report(1, nil, nil)
			s.answerPoll(age, complete, entry(2))
			s.startJob()
			is.Equal(s.starts() > 0, age < 3*time.Second)
		}
	}
}

// TestStartsGoOnWhileTheListOfWorkersDoesNotChange guards against polls that the store holds and that count as old when they end.
func TestStartsGoOnWhileTheListOfWorkersDoesNotChange(t *testing.T) {
	const hold, interval, latency = 2 * time.Second, 300 * time.Millisecond, 50 * time.Millisecond
	cases := []struct {
		name string
		hold time.Duration // of the latest answer
		rows []chuteaction.Row
	}{
		{"quiet", hold, nil},
		{"one change after a long hold", hold - 100*time.Millisecond, []chuteaction.Row{entry(2)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSuccessor(released())
			s.contactWorkerOnly()
			for range 100 {
				s.tick(interval + hold + latency)
				s.answerHeldPoll(hold, latency, false)
			}
			s.tick(interval + c.hold + latency)
			s.answerHeldPoll(c.hold, latency, false, c.rows...)
			s.tick(interval + hold + latency - 100*time.Millisecond)
			s.report(1, nil, nil)
			s.startJob() // just before the next answer
			is.Equal(s.starts(), 1)
		})
	}
}

// startedAt returns a version of the worker's entry with another start of its process.
func startedAt(version chuteaction.RowVersion, incarnation int64) chuteaction.Row {
	row := entry(version)
	listing := row.Value.(chuteaction.WorkerRow).Listing
	listing.Incarnation = incarnation
	row.Value = chuteaction.WorkerRow{Listing: listing}
	return row
}

// TestAnEntryWithAStartInTheFutureEndsNoRun guards against a task that runs twice after another writer has changed an entry.
func TestAnEntryWithAStartInTheFutureEndsNoRun(t *testing.T) {
	const restart, century = 60_000, 100 * 365 * 24 * 3600 * 1000
	for incarnation, ended := range map[int64]bool{restart: true, century: false} {
		is := is.New(t)
		s := newSuccessor(released())
		s.runOnWorker()
		s.answerPoll(0, false, startedAt(2, incarnation))
		_, lost := s.flush()
		is.Equal(lost, ended)
	}
}

// TestAWorkerRefutesTheStartInItsEntry guards against a worker that gets no work any more after an entry of another writer.
func TestAWorkerRefutesTheStartInItsEntry(t *testing.T) {
	for _, contacted := range []bool{false, true} {
		is := is.New(t)
		s := newSuccessor(released())
		if contacted {
			s.contactWorkerOnly()
		} else {
			s.submissions(true)
			s.answerReads(chuteaction.TableHosts)
			s.answerReads(chuteaction.TableProgress)
		}
		s.answerPoll(0, !contacted, startedAt(2, 60_000))
		s.tick(200 * time.Millisecond)
		s.report(1, nil, nil)
		s.answerPoll(0, false, entry(3))
		s.tick(500 * time.Millisecond)
		s.report(1, nil, nil)
		s.startJob()
		is.Equal(s.starts(), 1)
	}
}

// TestAnEntryThatNamesNoWorkerIsLoggedOnce guards against a line for each heartbeat, and against none.
func TestAnEntryThatNamesNoWorkerIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	s := newSuccessor(released())
	s.contactWorkerOnly()
	for version, malformed := range []bool{true, true, true, false, true} {
		row := entry(chuteaction.RowVersion(version + 2))
		if malformed {
			row.Value = nil
		}
		s.answerPoll(0, version == 2, row)
	}
	lines := 0
	for _, effect := range s.effects {
		if line, ok := effect.(chuteaction.LogLine); ok && line.Text == "entry names no worker" {
			lines++
		}
	}
	is.Equal(lines, 2)
}

// TestTheCheckpointOfARunOnADrainingWorkerIsRecorded guards against work that is done anew since its worker leaves after the leader did.
func TestTheCheckpointOfARunOnADrainingWorkerIsRecorded(t *testing.T) {
	for _, draining := range []bool{false, true} {
		is := is.New(t)
		s := newSuccessor(released())
		s.runOnWorker()
		s.flush()
		leaving := entry(2)
		listing := leaving.Value.(chuteaction.WorkerRow).Listing
		listing.Draining, listing.TimeToLeave = draining, 3*time.Second
		leaving.Value = chuteaction.WorkerRow{Listing: listing}
		s.answerPoll(0, false, leaving)
		s.report(1, []chutetask.RunReport{{Run: runID(0), Percent: 50, Checkpoint: "saved"}}, nil)
		row, written := s.flush()
		is.Equal(written, draining)
		is.True(!draining || row.Progress.Occurrences[0][0][0].Checkpoint == "saved")
	}
}
