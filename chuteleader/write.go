package chuteleader

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutebacklog"
)

// Report is what the leader's row tells others.
type Report struct {
	Pending   map[string]int // number of accepted jobs of which no task has started, by queue; nil if they have not been counted
	CountedAt time.Duration  // by the store's clock; 0 if that is not known
	Backlog   chutebacklog.Report
	Handover  chuteaction.Handover
}

// Write sends the rows together with the leader's own row. The caller must lead and have no write in flight.
func (s State) Write(t *chuteaction.Transition, put []chuteaction.Row, report Report) State {
	row := s.row
	row.Sequence++
	row.Handover = report.Handover
	row.Backlog = report.Backlog
	if report.Pending != nil {
		row.Pending, row.Partial = boundedPending(report.Pending)
		row.CountedAt = report.CountedAt
	}
	return s.send(t, row, put)
}

// Release sends the leader's row with the mark that any host may take over. The caller must lead and have no write in
// flight.
func (s State) Release(t *chuteaction.Transition) State {
	row := s.row
	row.Sequence++
	row.Released = true
	return s.send(t, row, nil)
}

func (s State) send(t *chuteaction.Transition, row chuteaction.LeaderRow, put []chuteaction.Row) State {
	key := chuteaction.LeaderKey()
	s.writtenRow = row
	s.write = chuteaction.WriteRows{
		Token:      t.NewToken(),
		Conditions: []chuteaction.Condition{{RowKey: key, Version: s.version}},
		Put:        append([]chuteaction.Row{{RowKey: key, Value: row}}, put...),
	}
	s.inFlight = true
	s.sentAt = t.Now
	s.resendAt = time.Time{}
	t.Emit(s.write)
	return s
}

func (s State) resend(t *chuteaction.Transition) State {
	s.write.Token = t.NewToken()
	s.resendAt = time.Time{}
	t.Emit(s.write)
	return s
}

// OwnsWrite reports whether the token belongs to the write in flight.
func (s State) OwnsWrite(token chuteaction.Token) bool {
	return s.inFlight && s.write.Token == token
}

// HandleRowsWritten handles the result of the write in flight. A refused or unanswered write is sent again under the
// same condition, so that it commits at most once.
func (s State) HandleRowsWritten(t *chuteaction.Transition, e chuteaction.RowsWritten) (State, Outcome) {
	switch e.Outcome {
	case chuteaction.StoreDone:
		return s.handleCommit(t, e.Version)
	case chuteaction.StoreConflict:
		return s.handleConflict(t, e.Current)
	case chuteaction.StoreRefused, chuteaction.StoreUnknown:
		t.Count("leader-write-repeated", outcomeName(e.Outcome))
		s.resendAt = t.Now.Add(resendDelay)
	case chuteaction.StoreRejected:
		return s.handleRejection(t)
	}
	return s, OutcomeNone
}

// handleRejection handles that the store will never take the write in flight. The next one has a higher sequence, so that the two
// cannot be mistaken for each other.
func (s State) handleRejection(t *chuteaction.Transition) (State, Outcome) {
	t.Count("leader-write-rejected", "")
	if s.role != RoleLeader {
		t.Warn(component, "the store rejects the row of a takeover", "", "epoch", s.writtenRow.Epoch)
		return s.StepDown(t.Now), OutcomeNone
	}
	s.inFlight = false
	s.row.Sequence = s.writtenRow.Sequence
	s.quietUntil = t.Now.Add(resendDelay)
	return s, OutcomeRejected
}

func outcomeName(o chuteaction.StoreOutcome) string {
	if o == chuteaction.StoreRefused {
		return "refused"
	}
	return "no-answer"
}

func (s State) handleCommit(t *chuteaction.Transition, version chuteaction.RowVersion) (State, Outcome) {
	s.inFlight = false
	s.row = s.writtenRow
	s.version = version
	s.changedAt = t.Now
	s.confirmedAt = s.sentAt
	if s.sentAt.After(s.fencedAt) {
		s.fencedAt = time.Time{}
	}
	if s.role == RoleCandidate {
		s.role = RoleLeader
		t.Log(component, "this host leads", "", "epoch", s.row.Epoch, "version", version)
		return s, OutcomeElected
	}
	return s, OutcomeCommitted
}

// handleConflict handles a failed condition: either an earlier attempt of the same write has committed and its answer
// was lost, or another host has written the leader's row.
func (s State) handleConflict(t *chuteaction.Transition, current []chuteaction.Row) (State, Outcome) {
	for _, r := range current {
		if r.RowKey != chuteaction.LeaderKey() {
			continue
		}
		row, ok := r.Value.(chuteaction.LeaderRow)
		if ok && row.Process == s.writtenRow.Process && row.Epoch == s.writtenRow.Epoch && row.Sequence == s.writtenRow.Sequence {
			return s.handleCommit(t, r.Version)
		}
		s, outcome := s.superseded(t.Now)
		return s.adopt(t, r), outcome
	}
	s, outcome := s.superseded(t.Now)
	return s.adoptUnreadable(t, chuteaction.Row{Deleted: true}), outcome
}

// superseded returns the state as a follower after a write of another host, and whether this deposes a leader.
func (s State) superseded(now time.Time) (State, Outcome) {
	if s.role == RoleLeader {
		return s.StepDown(now), OutcomeDeposed
	}
	return s.StepDown(now), OutcomeNone
}
