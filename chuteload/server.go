package chuteload

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
)

const (
	// Slots is the number of requests that one backend server runs at once.
	Slots = 8
	// Connections is the number of connections that one backend server takes from all entry hosts.
	Connections = 60
	// suspectFailures is the number of failures in a row that make a backend server suspected.
	suspectFailures = 3
	// probeInterval is the time between two probes of a suspected backend server.
	probeInterval = time.Second
	// listLag bounds the lag of the platform's list: news of leaving outlives it.
	listLag = 2 * time.Minute
	// latencyWeight is the weight of one answer in the running mean of the service time.
	latencyWeight = 0.05
	// slowFactor is how many times the mean service time counts as a sign of overload.
	slowFactor = 3
	// limitDecrease is the factor by which a sign of overload lowers the limit.
	limitDecrease = 0.8
)

// State tells whether a backend server gets work.
type State int

// The states of a backend server.
const (
	Up State = iota + 1
	Suspected
	Leaving
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
	}
	return "invalid"
}

// Server is what the router knows of one backend server.
type Server struct {
	ID          string
	Service     string
	Address     string
	State       State
	Running     int     // requests of this host
	PeerRunning int     // requests of the other entry hosts, as last told
	Limit       float64 // of this host's requests at once
	failures    int     // in a row
	mean        time.Duration
	leftAt      time.Time // when it was first said to be leaving
	probedAt    time.Time
}

// New returns a backend server that is up, as the platform lists it, with the requests at once that it may get first.
func New(h chuteevent.PlatformHost, limit float64) Server {
	return Server{ID: h.ID, Service: h.Service, Address: h.Address, State: Up, Limit: limit}
}

// Open reports whether the backend server may get one more request.
func (s Server) Available() bool {
	return s.State == Up && s.Running < max(1, int(s.Limit))
}

// Load returns the share of its slots known to be in use, in thousandths.
func (s Server) Load() int {
	return (s.Running + s.PeerRunning) * 1000 / Slots
}

// WithLeaving returns the backend server as leaving; the moment of the first news is kept.
func (s Server) WithLeaving(now time.Time) Server {
	if s.State != Leaving {
		s.State = Leaving
		s.leftAt = now
	}
	return s
}

// WithSuccess returns the backend server after an answer that took the time: its limit grows by one for each round of
// answers, up to the most given, and shrinks if the answer was slow.
func (s Server) WithSuccess(took time.Duration, most float64) Server {
	s.failures = 0
	if s.mean > 0 && took > slowFactor*s.mean {
		s = s.WithOverload()
	} else {
		s.Limit = min(s.Limit+1/max(s.Limit, 1), most)
	}
	if s.mean == 0 {
		s.mean = took
	}
	s.mean += time.Duration(latencyWeight * float64(took-s.mean))
	return s
}

// WithOverload returns the backend server with its limit lowered.
func (s Server) WithOverload() Server {
	s.Limit = max(1, s.Limit*limitDecrease)
	return s
}

// WithFailure returns the backend server after a failure, with its limit lowered, and suspected after several in a row.
func (s Server) WithFailure() Server {
	s.failures++
	s = s.WithOverload()
	if s.failures >= suspectFailures && s.State == Up {
		s.State = Suspected
	}
	return s
}

// WithReturn returns the backend server as up, with the lowest limit.
func (s Server) WithRecovery() Server {
	s.State = Up
	s.failures = 0
	s.Limit = 1
	return s
}

// WithListed returns the backend server as the platform lists it at the moment. News of leaving outlives the list's lag.
func (s Server) WithListed(h chuteevent.PlatformHost, now time.Time) Server {
	s.Address, s.Service = h.Address, h.Service
	switch {
	case h.Leaving:
		return s.WithLeaving(now)
	case s.State == Leaving && now.Sub(s.leftAt) > listLag:
		return s.WithRecovery()
	}
	return s
}

// ProbeDue reports whether the backend server is suspected and was not probed lately.
func (s Server) ProbeDue(now time.Time) bool {
	return s.State == Suspected && now.Sub(s.probedAt) >= probeInterval
}

// WithProbe returns the backend server as probed at the moment.
func (s Server) WithProbe(now time.Time) Server {
	s.probedAt = now
	return s
}
