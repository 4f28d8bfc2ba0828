package chuteleader

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
)

const (
	// HeartbeatInterval is the longest time between two writes of a leader.
	HeartbeatInterval = 500 * time.Millisecond
	// lapseAfter is how long a leader's row may stay unchanged before another host takes over.
	lapseAfter = 1400 * time.Millisecond
	// firstLeaderWait is how long hosts that find no leader's row wait for news of each other.
	firstLeaderWait = 500 * time.Millisecond
	// contactLimit is the age of the latest answer about the leader's row over which a follower judges nobody.
	contactLimit = time.Second
	// resendAfter is the wait before a write without a definite answer is sent again.
	resendAfter = 100 * time.Millisecond
	// UnprovedLimit is how long a leader goes on without a successful write. Its successor waits as long for workers
	// that it cannot reach.
	UnconfirmedLimit = 8 * time.Second
	part             = "leader"
)

// Role is what a host is in its shard.
type Role int

// The roles.
const (
	RoleFollower Role = iota
	RoleCandidate
	RoleLeader
)

// Verdict tells what became of a leader's write.
type Outcome int

// The verdicts.
const (
	OutcomeNone      Outcome = iota // no write of the leader has ended
	OutcomeElected                  // this host leads from now on
	OutcomeCommitted                // the rows are written
	OutcomeDeposed                  // another host leads
)

// State is the immutable state of the election.
type State struct {
	host      string
	process   string
	jitter    time.Duration // spreads the moments at which hosts take over
	patience  time.Duration // by how much longer this host waits than others before it takes over
	role      Role
	row       chuteaction.LeaderRow
	former    Predecessor
	version   chuteaction.RowVersion
	changedAt time.Time // when the row was last seen to change; zero before the first news
	heardAt   time.Time // of the latest news about the row
	ended     string    // a process that has certainly ended; empty for none
	inFlight  bool
	write     chuteaction.WriteRows // the latest write, to be sent again as it is
	put       chuteaction.LeaderRow // what the write puts
	sentAt    time.Time             // when the write was first sent
	resendAt  time.Time             // zero while an answer is awaited
	provedAt  time.Time             // when the latest successful write was sent
}

// New returns a follower. The jitter keeps hosts from taking over at the same moment.
func New(host, process string, jitter time.Duration) State {
	return State{host: host, process: process, jitter: jitter}
}

// WithPatience returns the state of a host that waits so much longer than others before it takes over.
func (s State) WithTakeoverDelay(patience time.Duration) State {
	s.patience = patience
	return s
}

// Role returns what the host is.
func (s State) Role() Role {
	return s.role
}

// Epoch returns the epoch of the leader, this host or another.
func (s State) Epoch() int64 {
	return s.row.Epoch
}

// Row returns the latest known row of the leader.
func (s State) Row() chuteaction.LeaderRow {
	return s.row
}

// Former is the leader that a host took over from.
type Predecessor struct {
	Row        chuteaction.LeaderRow
	Version    chuteaction.RowVersion // of its latest write
	ObservedAt time.Time              // when that write was seen
}

// Former returns the leader that this host took over from.
func (s State) Predecessor() Predecessor {
	return s.former
}

// HeardAt returns when the store last answered about the leader's row.
func (s State) HeardAt() time.Time {
	return s.heardAt
}

// ProvedAt returns when the latest successful write of this leader was sent.
func (s State) ConfirmedAt() time.Time {
	return s.provedAt
}

// Busy reports whether a write is on the way.
func (s State) WriteInFlight() bool {
	return s.inFlight
}

// WithNews returns the state after the store told of the leader's row, changed or not.
func (s State) HandleLeaderRows(t *chuteaction.Transition, rows []chuteaction.Row) State {
	s.heardAt = t.Now
	if s.changedAt.IsZero() {
		s.changedAt = t.Now
	}
	if s.role != RoleFollower {
		return s
	}
	for _, r := range rows {
		if row, ok := r.Value.(chuteaction.LeaderRow); ok && r.Version > s.version {
			s = s.withRow(t, row, r.Version)
		}
	}
	return s
}

// WithProcess returns the state after the process of a host was recorded by the version. If that was after the leader's
// latest write, and the leader was another process of the same host, this one has ended.
func (s State) HandleProcess(t *chuteaction.Transition, host, process string, version chuteaction.RowVersion) State {
	later := version > s.version
	if host != s.row.Host || process == s.row.Process || s.ended == s.row.Process || s.role != RoleFollower || !later {
		return s
	}
	t.Log(part, "the leader's process has ended", "", "leader", host, "epoch", s.row.Epoch)
	s.ended = s.row.Process
	s.changedAt = t.Now
	return s
}

func (s State) withRow(t *chuteaction.Transition, row chuteaction.LeaderRow, version chuteaction.RowVersion) State {
	if row.Epoch != s.row.Epoch {
		t.Log(part, "another host leads", "", "leader", row.Host, "epoch", row.Epoch, "version", version)
	}
	s.row = row
	s.version = version
	s.changedAt = t.Now
	return s
}

// Tick lets time pass: a follower takes over from a leader that is silent, and a write without an answer is repeated.
func (s State) Tick(t *chuteaction.Transition) (State, Outcome) {
	switch {
	case s.inFlight && !s.resendAt.IsZero() && !t.Now.Before(s.resendAt):
		return s.resend(t), OutcomeNone
	case s.role == RoleFollower && s.mayTakeOver(t.Now):
		return s.takeOver(t), OutcomeNone
	case s.role == RoleLeader && t.Now.Sub(s.provedAt) > UnconfirmedLimit:
		t.Warn(part, "leadership given up without contact to the store", "", "epoch", s.row.Epoch,
			"unproved", t.Now.Sub(s.provedAt))
		return s.follow(t.Now), OutcomeDeposed
	}
	return s, OutcomeNone
}

func (s State) mayTakeOver(now time.Time) bool {
	if s.heardAt.IsZero() || now.Sub(s.heardAt) > contactLimit {
		return false
	}
	unchanged := now.Sub(s.changedAt) - s.patience
	switch {
	case s.version == 0:
		return unchanged >= firstLeaderWait+s.jitter
	case s.row.Released || s.ended == s.row.Process:
		return unchanged >= s.jitter/4
	}
	return unchanged >= lapseAfter+s.jitter
}

func (s State) takeOver(t *chuteaction.Transition) State {
	reason := "silent"
	switch {
	case s.version == 0:
		reason = "none"
	case s.row.Released:
		reason = "released"
	case s.ended == s.row.Process:
		reason = "ended"
	}
	t.Count("takeover", reason)
	t.Log(part, "takeover tried", "", "former", s.row.Host, "epoch", s.row.Epoch+1, "reason", reason,
		"unchanged", t.Now.Sub(s.changedAt), "version", s.version)
	s.role = RoleCandidate
	s.former = Predecessor{Row: s.row, Version: s.version, ObservedAt: s.changedAt}
	row := chuteaction.LeaderRow{Epoch: s.row.Epoch + 1, Host: s.host, Process: s.process, Pending: s.row.Pending}
	return s.send(t, row, nil, nil)
}

// Write sends the rows together with the leader's own row. Only a leader without a write on the way may call it.
func (s State) Write(t *chuteaction.Transition, put []chuteaction.Row, drop []chuteaction.RowKey, pending map[string]int) State {
	row := s.row
	row.Sequence++
	row.Pending = pending
	return s.send(t, row, put, drop)
}

// Release sends the leader's row as one that anyone may take.
func (s State) Release(t *chuteaction.Transition) State {
	row := s.row
	row.Sequence++
	row.Released = true
	return s.send(t, row, nil, nil)
}

func (s State) send(t *chuteaction.Transition, row chuteaction.LeaderRow, put []chuteaction.Row, drop []chuteaction.RowKey) State {
	key := chuteaction.LeaderKey()
	s.put = row
	s.write = chuteaction.WriteRows{
		Token:      t.NewToken(),
		Conditions: []chuteaction.Condition{{RowKey: key, Version: s.version}},
		Put:        append([]chuteaction.Row{{RowKey: key, Value: row}}, put...),
		Delete:     drop,
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

// Owns reports whether the token belongs to the leader's latest write.
func (s State) OwnsWrite(token chuteaction.Token) bool {
	return s.inFlight && s.write.Token == token
}

// Written handles the end of the latest write. A write without an answer is sent again under the same condition, so
// that it takes effect at most once.
func (s State) HandleRowsWritten(t *chuteaction.Transition, e chuteaction.RowsWritten) (State, Outcome) {
	switch e.Outcome {
	case chuteaction.StoreDone:
		return s.committed(t, e.Version)
	case chuteaction.StoreConflict:
		return s.conflict(t, e.Current)
	case chuteaction.StoreRefused, chuteaction.StoreUnknown:
		t.Count("leader-write-repeated", outcomeName(e.Outcome))
		s.resendAt = t.Now.Add(resendAfter)
	}
	return s, OutcomeNone
}

func outcomeName(o chuteaction.StoreOutcome) string {
	if o == chuteaction.StoreRefused {
		return "refused"
	}
	return "no-answer"
}

func (s State) committed(t *chuteaction.Transition, version chuteaction.RowVersion) (State, Outcome) {
	s.inFlight = false
	s.row = s.put
	s.version = version
	s.changedAt = t.Now
	s.provedAt = s.sentAt
	if s.role == RoleCandidate {
		s.role = RoleLeader
		t.Log(part, "this host leads", "", "epoch", s.row.Epoch, "version", version)
		return s, OutcomeElected
	}
	return s, OutcomeCommitted
}

// conflict tells a write that took effect although its answer was lost from one that another host forestalled.
func (s State) conflict(t *chuteaction.Transition, current []chuteaction.Row) (State, Outcome) {
	for _, r := range current {
		row, ok := r.Value.(chuteaction.LeaderRow)
		if !ok {
			continue
		}
		if row.Process == s.put.Process && row.Epoch == s.put.Epoch && row.Sequence == s.put.Sequence {
			return s.committed(t, r.Version)
		}
		led := s.role == RoleLeader
		s = s.follow(t.Now).withRow(t, row, r.Version)
		if led {
			return s, OutcomeDeposed
		}
		return s, OutcomeNone
	}
	led := s.role == RoleLeader
	s = s.follow(t.Now)
	if led {
		t.Warn(part, "the leader's row is gone or cannot be read", "")
		return s, OutcomeDeposed
	}
	return s, OutcomeNone
}

// Depose returns the state of a host whose orders another host's epoch fences.
func (s State) StepDown(now time.Time) State {
	return s.follow(now)
}

func (s State) follow(now time.Time) State {
	s.role = RoleFollower
	s.inFlight = false
	s.changedAt = now
	return s
}
