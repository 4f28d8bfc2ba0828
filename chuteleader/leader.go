package chuteleader

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
)

const (
	// HeartbeatInterval is the time since its latest successful write after which a leader writes its row again.
	HeartbeatInterval = 500 * time.Millisecond
	// leaderTimeout is how long the leader's row may stay unchanged before another host takes over.
	leaderTimeout = 1400 * time.Millisecond
	// firstLeaderWait is how long a host waits for the rows of other hosts if no leader's row exists, so that it knows
	// whether a larger host should lead.
	firstLeaderWait = 500 * time.Millisecond
	// maxContactAge is the age of the store's latest answer about the leader's row beyond which a follower does not take
	// over, since it may have missed writes of the leader.
	maxContactAge = time.Second
	// fenceProofLimit is how long a leader that a worker has refused as fenced goes on without a successful write since then.
	fenceProofLimit = 2 * HeartbeatInterval
	// resendDelay is the delay before a refused or unanswered write is sent again.
	resendDelay = 100 * time.Millisecond
	// UnconfirmedLimit is how long a leader keeps the leadership without a successful write. Its successor waits as long
	// for workers that it cannot reach.
	UnconfirmedLimit = 8 * time.Second
	component        = "leader"
)

// Outcome is the change that an event made to the leadership of this host.
type Outcome int

// The outcomes of an event.
const (
	OutcomeNone      Outcome = iota // no write of the leader was confirmed, and the leadership is unchanged
	OutcomeElected                  // this host has become the leader
	OutcomeCommitted                // a write of this leader was confirmed
	OutcomeRejected                 // the store will never take the latest write of this leader, which has written nothing
	OutcomeDeposed                  // this host has lost or given up the leadership
)

// HandleLeaderRows handles an answer of the store about the leader's row; rows is empty if the row has not changed.
func (s State) HandleLeaderRows(t *chuteaction.Transition, rows []chuteaction.Row) State {
	s.contactAt = t.Now
	if s.changedAt.IsZero() {
		s.changedAt = t.Now
	}
	if s.role != RoleFollower {
		return s
	}
	for _, r := range rows {
		if r.RowKey == chuteaction.LeaderKey() && r.Version > s.version {
			s = s.adopt(t, r)
		}
	}
	return s
}

// adopt takes note of a version of the leader's row.
func (s State) adopt(t *chuteaction.Transition, r chuteaction.Row) State {
	if row, ok := r.Value.(chuteaction.LeaderRow); ok && row.Epoch <= int64(r.Version) {
		return s.adoptRow(t, row, r.Version)
	}
	return s.adoptUnreadable(t, r)
}

// adoptUnreadable takes note of a version of the leader's row that no leader has written. Any host may write over it. Each
// epoch began with a write of its own, so that no epoch is higher than the row's version.
func (s State) adoptUnreadable(t *chuteaction.Transition, r chuteaction.Row) State {
	t.Count("leader-malformed", "row")
	t.Warn(component, "the leader's row cannot be read; a host takes over", "", "version", r.Version, "deleted", r.Deleted)
	s.row = chuteaction.LeaderRow{
		Epoch: max(s.row.Epoch, int64(r.Version)), Pending: s.row.Pending, CountedAt: s.row.CountedAt, Partial: s.row.Partial,
	}
	s.version = r.Version
	if r.Deleted {
		s.version = 0
	}
	s.changedAt = t.Now
	return s
}

// HandleProcess handles the host's row with its current process, as written in the version. If that version is later than
// the leader's latest write and the leader is another process of the same host, the leader's process has ended.
func (s State) HandleProcess(t *chuteaction.Transition, host, process string, version chuteaction.RowVersion) State {
	later := version > s.version
	if host != s.row.Host || process == s.row.Process || s.endedProcess == s.row.Process || s.role != RoleFollower || !later {
		return s
	}
	t.Log(component, "the leader's process has ended; another host may take over", "", "leader", host, "epoch", s.row.Epoch)
	s.endedProcess = s.row.Process
	s.changedAt = t.Now
	return s
}

func (s State) adoptRow(t *chuteaction.Transition, row chuteaction.LeaderRow, version chuteaction.RowVersion) State {
	if row.Epoch != s.row.Epoch {
		t.Log(component, "another host leads", "", "leader", row.Host, "epoch", row.Epoch, "version", version)
	}
	s.row = row
	s.version = version
	s.changedAt = t.Now
	return s
}

// Tick handles timeouts: a follower takes over from a silent leader, a leader without a confirmed write gives up the
// leadership, and a refused or unanswered write is sent again.
func (s State) Tick(t *chuteaction.Transition) (State, Outcome) {
	switch {
	case s.inFlight && !s.resendAt.IsZero() && !t.Now.Before(s.resendAt):
		return s.resend(t), OutcomeNone
	case s.role == RoleFollower && s.mayTakeOver(t.Now):
		return s.takeOver(t), OutcomeNone
	case s.role == RoleLeader && !s.fencedAt.IsZero() && t.Now.Sub(s.fencedAt) > fenceProofLimit:
		t.Warn(component, "worker has seen a higher epoch; this host gives up the leadership", "", "epoch", s.row.Epoch)
		return s.StepDown(t.Now), OutcomeDeposed
	case s.role == RoleLeader && t.Now.Sub(s.confirmedAt) > UnconfirmedLimit:
		t.Warn(component, "this host gives up the leadership: the store has not confirmed a write in time", "",
			"epoch", s.row.Epoch, "unproved", t.Now.Sub(s.confirmedAt))
		return s.StepDown(t.Now), OutcomeDeposed
	}
	return s, OutcomeNone
}

// mayTakeOver reports whether the leader's row has been unchanged for long enough, as far as this host knows.
func (s State) mayTakeOver(now time.Time) bool {
	if s.contactAt.IsZero() || now.Sub(s.contactAt) > maxContactAge {
		return false
	}
	wait, _ := s.takeoverWait()
	return now.Sub(s.changedAt) >= wait
}

// takeoverWait returns how long the leader's row must be unchanged before this host takes over, and why it then may.
func (s State) takeoverWait() (wait time.Duration, reason string) {
	switch {
	case s.version == 0:
		return s.takeoverDelay + firstLeaderWait + s.jitter, "none"
	case s.row.Released:
		return s.takeoverDelay + s.handOverDelay + s.jitter/4, "released"
	case s.row.Process != "" && s.endedProcess == s.row.Process:
		return s.takeoverDelay + s.jitter/4, "ended"
	}
	return s.takeoverDelay + leaderTimeout + s.jitter, "silent"
}

func (s State) takeOver(t *chuteaction.Transition) State {
	_, reason := s.takeoverWait()
	t.Count("takeover", reason)
	t.Log(component, "takeover tried", "", "former", s.row.Host, "epoch", s.row.Epoch+1, "reason", reason,
		"unchanged", t.Now.Sub(s.changedAt), "version", s.version)
	s.role = RoleCandidate
	s.predecessor = Predecessor{Row: s.row, Version: s.version, ObservedAt: s.changedAt}
	row := chuteaction.LeaderRow{
		Epoch: s.row.Epoch + 1, Host: s.host, Process: s.process, Pending: s.row.Pending, CountedAt: s.row.CountedAt, Partial: s.row.Partial,
		Handover: s.handover(t.Now),
	}
	return s.send(t, row, nil)
}

// handover returns what the takeover of this host tells its own successor: what the present leader told, since this host has not
// heard of any worker yet.
func (s State) handover(now time.Time) chuteaction.Handover {
	handover := s.row.Handover
	handover.FormerLeaseEnd = s.formerLeaseEnd(now)
	return handover
}

// formerLeaseEnd returns when, by the store's clock, all leases have expired that the present leader and earlier ones have
// granted. Each of them may go on for a while although others have led since.
func (s State) formerLeaseEnd(now time.Time) time.Duration {
	if s.row.Epoch == 0 || !s.storeClock.Known() {
		return s.row.Handover.FormerLeaseEnd
	}
	end := s.changedAt.Add(s.leaseAfterWrite)
	if s.leaderEnded() {
		end = now.Add(s.longestLease)
	}
	return max(s.row.Handover.FormerLeaseEnd, s.storeClock.Latest(end))
}

// leaderEnded reports whether the leader has stopped, or its process is known to have ended.
func (s State) leaderEnded() bool {
	return s.row.Released || s.row.Process != "" && s.endedProcess == s.row.Process
}

// HandleFenced notes that a worker says it has seen a higher epoch. The leader goes on if a write that is sent after that
// succeeds: a leader of a higher epoch would have written the row before, so that the worker has its epoch from elsewhere.
func (s State) HandleFenced(t *chuteaction.Transition) State {
	if s.role != RoleLeader || !s.fencedAt.IsZero() {
		return s
	}
	t.Count("leader-fenced", "worker")
	if !s.fenceLogged {
		t.Log(component, "worker has seen a higher epoch; the next write shows whether this host still leads", "", "epoch", s.row.Epoch)
	}
	s.fencedAt, s.fenceLogged = t.Now, true
	return s
}

// StepDown returns the state as a follower. It is also called when the scheduler of this host stops.
func (s State) StepDown(now time.Time) State {
	s.role = RoleFollower
	s.inFlight = false
	s.changedAt = now
	s.fencedAt, s.fenceLogged = time.Time{}, false
	return s
}
