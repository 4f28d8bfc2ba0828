package chuteapproval

import (
	"maps"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// ticketMargin is the longest time before its expiry from which on a ticket is no longer used.
	ticketMargin = 500 * time.Millisecond
	// marginShare is the share of its validity, as a divisor, from which on a ticket of short validity is no longer used.
	marginShare = 4
	// allRefusedDelay is the wait after all workers have been refused.
	allRefusedDelay = 2 * time.Second
)

// approval is the state of the approval of workers for a step.
type approval struct {
	tickets     map[chutetask.WorkerID]string // tickets of the approved workers; never changed once stored
	usableUntil time.Time                     // when the tickets are no longer used
	requested   map[chutetask.WorkerID]bool   // workers that a request has named; never changed once stored
	fruitless   int                           // requests since the latest ticket
	retryAt     time.Time                     // no request is sent before this time
}

// valid reports whether there are tickets that may still be used.
func (a approval) valid(now time.Time) bool {
	return len(a.tickets) > 0 && now.Before(a.usableUntil)
}

// withRequest returns the approval after a request that names the workers.
func (a approval) withRequest(workers []chutetask.WorkerID) approval {
	requested := make(map[chutetask.WorkerID]bool, len(a.requested)+len(workers))
	maps.Copy(requested, a.requested)
	for _, w := range workers {
		requested[w] = true
	}
	a.requested = requested
	a.fruitless++
	return a
}

// withAnswer returns the approval after an answer of the approval service. Tickets that are still valid stay.
func (a approval) withAnswer(e chuteaction.StepApproved, now time.Time) approval {
	usableUntil := now.Add(e.Validity - min(ticketMargin, e.Validity/marginShare))
	tickets := make(map[chutetask.WorkerID]string, len(e.Tickets))
	if a.valid(now) {
		maps.Copy(tickets, a.tickets)
		if a.usableUntil.Before(usableUntil) {
			usableUntil = a.usableUntil
		}
	}
	maps.Copy(tickets, e.Tickets)
	a.tickets, a.usableUntil = tickets, usableUntil
	if len(e.Tickets) > 0 {
		a.fruitless = 0
	}
	return a
}

// withoutAnswer returns the approval after a request without an answer: its workers are named again.
func (a approval) withoutAnswer() approval {
	a.requested = nil
	return a
}
