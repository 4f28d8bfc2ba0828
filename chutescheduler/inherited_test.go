package chutescheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteleader"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutetask"
)

// silentLeader returns a leader that may still be running.
func silentLeader() chuteleader.Predecessor {
	return chuteleader.Predecessor{Row: chuteaction.LeaderRow{Epoch: epoch - 1, Host: "host", Process: "host-1"}, Version: 7}
}

// newSuccessorOfLostWorker returns a scheduler that takes over one run, on a worker that nobody lists or reaches any more.
func newSuccessorOfLostWorker(predecessor chuteleader.Predecessor) *successor {
	s := newSuccessor(predecessor)
	s.submissions(true, submissionRow(1))
	s.answerReads(chuteaction.TableHosts)
	s.answerReads(chuteaction.TableProgress, recordedRow(1, chutetask.TaskActive))
	s.answerPoll(0, true)
	return s
}

// freedAfter returns when, after the takeover, the run has been taken as lost, or the limit.
func (s *successor) freedAfter(limit time.Duration) time.Duration {
	begun := s.now
	for s.now.Sub(begun) < limit {
		s.tick(100 * time.Millisecond)
		if row, ok := s.flush(); ok && row.Occurrences[0][0][0].Phase != chutetask.TaskActive {
			break
		}
	}
	return s.now.Sub(begun)
}

// hosts delivers a change of the former leader's row.
func (s *successor) hosts(process string, version chuteaction.RowVersion) {
	s.handle(0, func(t *chuteaction.Transition, environment chuteledger.Environment) {
		s.state = s.state.HandleHosts(t, environment, []chuteaction.Row{
			{RowKey: chuteaction.HostKey("host"), Version: version, Value: chuteaction.HostRow{Host: "host", Process: process}},
		})
	})
}

const (
	longestLease            = 6400 * time.Millisecond
	longestUnconfirmedLease = 14620 * time.Millisecond
)

// TestTheRestartOfTheFormerLeaderShortensTheWaitForLostWorkers guards against work that stands still as if a leader went on whose
// host has started another process since the takeover.
func TestTheRestartOfTheFormerLeaderShortensTheWaitForLostWorkers(t *testing.T) {
	cases := []struct {
		name    string
		process string
		version chuteaction.RowVersion
		want    time.Duration
	}{
		{"another process", "host-2", 9, longestLease},
		{"the same process", "host-1", 9, longestUnconfirmedLease - 2*time.Second},
		{"a process from before", "host-0", 6, longestUnconfirmedLease - 2*time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSuccessorOfLostWorker(silentLeader())
			s.tick(2 * time.Second)
			s.hosts(c.process, c.version)
			waited := s.freedAfter(20 * time.Second)
			is.New(t).True((waited - c.want).Abs() <= 200*time.Millisecond)
		})
	}
}
