package chuteleader

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteclock"
)

// Role is the role of a host in the election.
type Role int

// The roles of a host.
const (
	RoleFollower Role = iota
	RoleCandidate
	RoleLeader
)

// State is the immutable state of the election as one host sees it.
type State struct {
	host            string
	process         string
	jitter          time.Duration // added to the takeover time, so that hosts do not take over at the same time
	takeoverDelay   time.Duration // how much longer than others this host waits before it takes over
	handOverDelay   time.Duration // how much longer than others it waits before it takes over from a leader that has stopped
	longestLease    time.Duration // how long a lease may last
	leaseAfterWrite time.Duration // how long after a leader's latest write the leases that it has granted may last
	storeClock      chuteclock.Store
	role            Role
	row             chuteaction.LeaderRow
	predecessor     Predecessor
	version         chuteaction.RowVersion
	changedAt       time.Time // when this host last saw the row change; zero before the first answer
	contactAt       time.Time // time of the store's latest answer about the row
	endedProcess    string    // a process that is known to have ended; empty for none
	inFlight        bool
	write           chuteaction.WriteRows // the latest write; a resend changes only its token
	writtenRow      chuteaction.LeaderRow // the leader's row in the latest write
	sentAt          time.Time             // when the latest write was first sent
	resendAt        time.Time             // when to send the write again; zero while it waits for an answer
	quietUntil      time.Time             // no write is sent before this time, after one that was rejected
	confirmedAt     time.Time             // when the latest successful write was first sent
	fencedAt        time.Time             // when a worker said it has seen a higher epoch; zero after a later successful write
	fenceLogged     bool                  // such an answer was logged since this host leads
}

// New returns the state of a follower. The jitter keeps hosts from taking over at the same time.
func New(host, process string, jitter time.Duration) State {
	return State{host: host, process: process, jitter: jitter}
}

// WithTakeoverDelay returns the state of a host that waits by the delay longer than others before it takes over.
func (s State) WithTakeoverDelay(delay time.Duration) State {
	s.takeoverDelay = delay
	return s
}

// WithHandOverDelay returns the state of a host that waits by the delay longer than others before it takes over from a
// leader that has released the leadership.
func (s State) WithHandOverDelay(delay time.Duration) State {
	s.handOverDelay = delay
	return s
}

// WithLongestLeases returns the state for leaders whose leases last so long at most, and end so long after their latest write.
func (s State) WithLongestLeases(lease, afterWrite time.Duration) State {
	s.longestLease, s.leaseAfterWrite = lease, afterWrite
	return s
}

// WithStoreClock returns the state with the reading of the store's clock.
func (s State) WithStoreClock(clock chuteclock.Store) State {
	s.storeClock = clock
	return s
}

// Role returns the role of this host.
func (s State) Role() Role {
	return s.role
}

// Epoch returns the epoch of the current leader.
func (s State) Epoch() int64 {
	return s.row.Epoch
}

// Row returns the latest known row of the current leader.
func (s State) Row() chuteaction.LeaderRow {
	return s.row
}

// Predecessor is the leader that a host took over from.
type Predecessor struct {
	Row        chuteaction.LeaderRow
	Version    chuteaction.RowVersion // version of its latest write
	ObservedAt time.Time              // when this host saw that write
}

// Predecessor returns the leader that this host took over from.
func (s State) Predecessor() Predecessor {
	return s.predecessor
}

// ConfirmedAt returns when this leader first sent its latest successful write.
func (s State) ConfirmedAt() time.Time {
	return s.confirmedAt
}

// MayWrite reports whether a write may be sent now: none waits for an answer or a resend, and none was rejected just before.
func (s State) MayWrite(now time.Time) bool {
	return !s.inFlight && !now.Before(s.quietUntil)
}
