package chutebudget

import "time"

// Phase is what a connection is doing.
type Phase int

// The phases of a connection.
const (
	PhaseNew     Phase = iota // nothing has arrived on it
	PhaseReading              // the header and up to 8 KiB of the body are read
	PhaseServing              // a request is read or answered
	PhaseIdle                 // its last request is answered
	PhaseClosing              // it is refused, and what its client still sends is discarded
	PhaseWriting              // part of a response is being sent
)

const (
	// newAge is the age from which a connection without a request may be closed for another one. An ordinary client sends
	// its request as soon as the connection is open.
	newAge = 200 * time.Millisecond
	// idleAge is the age from which an idle connection may be closed for another one. Clients that call in turn on more
	// connections than there are would otherwise close each other's between two calls.
	idleAge = time.Second
	// readingAge is the age from which a connection whose request is being read, or a refused one, may be closed for another
	// one. An ordinary client sends its header and the first 8 KiB of its body in one piece.
	readingAge = 5 * time.Second
	// writingAge is the age from which a connection whose client takes nothing of a response may be closed for another one.
	// What fits the buffers of the connection is sent at once.
	writingAge = 2 * time.Second
)

// Candidate is a connection that may be closed for another one.
type Candidate struct {
	From  Address
	Phase Phase
	Age   time.Duration // time in the phase
}

// closable reports whether the connection has no complete request, so that closing it loses none, or its client does not
// take the response.
func (c Candidate) closable() bool {
	switch c.Phase {
	case PhaseIdle:
		return c.Age >= idleAge
	case PhaseNew:
		return c.Age >= newAge
	case PhaseReading, PhaseClosing:
		return c.Age >= readingAge
	case PhaseWriting:
		return c.Age >= writingAge
	case PhaseServing:
	}
	return false
}

// ChooseVictim returns the index of the connection that is closed for a new one that the verdict refuses, and false if
// there is none. It is the oldest closable one of the address with the most connections, or of the new one's address if
// that address is at its limit. Those that are sent a response come last.
func (a Account) ChooseVictim(candidates []Candidate, refused Connection, verdict Verdict) (int, bool) {
	best, found := 0, false
	for i, c := range candidates {
		if !c.closable() || verdict == VerdictAddressConnections && c.From != refused.From {
			continue
		}
		if !found || a.precedes(c, candidates[best]) {
			best, found = i, true
		}
	}
	return best, found
}

// precedes reports whether the first connection is closed before the second one.
func (a Account) precedes(first, second Candidate) bool {
	if writes := second.Phase == PhaseWriting; writes != (first.Phase == PhaseWriting) {
		return writes
	}
	if first.From != second.From {
		if m, n := a.Of(first.From).Connections, a.Of(second.From).Connections; m != n {
			return m > n
		}
	}
	return first.Age > second.Age
}
