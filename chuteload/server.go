package chuteload

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
)

const (
	// Slots is the number of requests that one backend server runs concurrently.
	Slots = 8
	// Connections is the number of connections that one backend server accepts from all entry hosts together.
	Connections = 60
	// suspectAfterFailures is the number of consecutive failures after which a backend server is suspected.
	suspectAfterFailures = 3
	// probeInterval is the shortest time between two probes of a suspected backend server.
	probeInterval = time.Second
	// maxListLag is the longest lag of the platform's list. A backend server that said it is leaving stays in state
	// Leaving for at least this long, even if the list has it as live.
	maxListLag = 2 * time.Minute
	// serviceTimeWeight is the weight of one answer in the exponential moving average of the service time.
	serviceTimeWeight = 0.05
	// slowFactor is the multiple of the mean service time above which an answer counts as a sign of overload.
	slowFactor = 3
	// limitDecrease is the factor that a sign of overload applies to the limit.
	limitDecrease = 0.8
)

// State tells whether a backend server receives requests.
type State int

// The states of a backend server.
const (
	Up        State = iota + 1 // receives requests
	Suspected                  // failed repeatedly; receives only probes
	Leaving                    // shuts down; receives nothing
	Unlisted                   // the platform's latest list leaves it out; receives nothing
)

// String returns the kebab-case name of the state.
func (s State) String() string {
	switch s {
	case Up:
		return "up"
	case Suspected:
		return "suspected"
	case Leaving:
		return "leaving"
	case Unlisted:
		return "unlisted"
	}
	return "invalid"
}

// Server is the immutable state of one backend server, as one entry host knows it.
type Server struct {
	ID                  string
	Service             string
	Address             string
	State               State
	Running             int     // requests that this host has running on it
	PeerRunning         int     // estimate of the other entry hosts' running requests, from the latest report of one
	Limit               float64 // highest number of concurrent requests of this host
	consecutiveFailures int
	meanServiceTime     time.Duration
	leavingSince        time.Time // time of the first report that it is leaving
	leavingHeard        bool      // only peers have reported that it is leaving
	probedAt            time.Time
}

// New returns a backend server from the platform's list, in state Up and with the given initial limit.
func New(h chuteevent.PlatformHost, limit float64) Server {
	return Server{ID: h.ID, Service: h.Service, Address: h.Address, State: Up, Limit: limit}
}

// Available reports whether this host may send one more request to the backend server.
func (s Server) Available() bool {
	return s.State == Up && s.Running < max(1, int(s.Limit))
}

// Load returns the share of the backend server's slots that are in use by all entry hosts, in thousandths.
func (s Server) Load() int {
	return (s.Running + s.PeerRunning) * 1000 / Slots
}

// WithLeaving returns the backend server in state Leaving; it keeps the time of the first report.
func (s Server) WithLeaving(now time.Time) Server {
	if s.State != Leaving {
		s.State = Leaving
		s.leavingSince = now
	}
	s.leavingHeard = false
	return s
}

// WithLeavingHeard returns the backend server in state Leaving by the report of a peer.
func (s Server) WithLeavingHeard(now time.Time) Server {
	if s.State != Leaving {
		s = s.WithLeaving(now)
		s.leavingHeard = true
	}
	return s
}

// SaysLeaving reports whether the backend server is leaving by its own word or the platform's, not by that of peers.
func (s Server) SaysLeaving() bool {
	return s.State == Leaving && !s.leavingHeard
}

// WithUnlisted returns the backend server after a list of the platform that leaves it out.
func (s Server) WithUnlisted() Server {
	if s.State != Leaving {
		s.State = Unlisted
	}
	return s
}

// WithSuccess returns the backend server after an answer with the given service time. The limit grows by its
// reciprocal, thus by one in as many answers as it allows concurrent requests, up to maxLimit. It shrinks if the service
// time is over slowFactor times the mean.
func (s Server) WithSuccess(serviceTime time.Duration, maxLimit float64) Server {
	s.consecutiveFailures = 0
	if s.meanServiceTime > 0 && serviceTime > slowFactor*s.meanServiceTime {
		s = s.WithOverload()
	} else {
		s.Limit = min(s.Limit+1/max(s.Limit, 1), maxLimit)
	}
	if s.meanServiceTime == 0 {
		s.meanServiceTime = serviceTime
	}
	s.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-s.meanServiceTime))
	return s
}

// WithOverload returns the backend server after a sign of overload, with a lower limit.
func (s Server) WithOverload() Server {
	s.Limit = max(1, s.Limit*limitDecrease)
	return s
}

// WithFailure returns the backend server after a failure, with a lower limit, and in state Suspected after several
// consecutive failures.
func (s Server) WithFailure() Server {
	s.consecutiveFailures++
	s = s.WithOverload()
	if s.consecutiveFailures >= suspectAfterFailures && s.State == Up {
		s.State = Suspected
	}
	return s
}

// WithRecovery returns the backend server in state Up, with the lowest limit.
func (s Server) WithRecovery() Server {
	s.State = Up
	s.consecutiveFailures = 0
	s.Limit = 1
	return s
}

// WithListed returns the backend server with its entry of the platform's list applied. A server that is leaving becomes
// Up again only if the list still has it as live after maxListLag.
func (s Server) WithListed(h chuteevent.PlatformHost, now time.Time) Server {
	s.Address, s.Service = h.Address, h.Service
	switch {
	case h.Leaving:
		return s.WithLeaving(now)
	case s.State == Unlisted:
		s.State = Up
	case s.State == Leaving && now.Sub(s.leavingSince) > maxListLag:
		return s.WithRecovery()
	}
	return s
}

// ProbeDue reports whether the backend server is suspected and its latest probe is at least probeInterval ago.
func (s Server) ProbeDue(now time.Time) bool {
	return s.State == Suspected && now.Sub(s.probedAt) >= probeInterval
}

// WithProbe returns the backend server with now as the time of its latest probe.
func (s Server) WithProbe(now time.Time) Server {
	s.probedAt = now
	return s
}
