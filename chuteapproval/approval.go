package chuteapproval

import (
	"maps"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// approvalBatch is the number of workers that one approval request names at most.
	approvalBatch = 30
	// ticketMargin is the time before its expiry from which on a ticket is no longer used.
	ticketMargin = 500 * time.Millisecond
	// maxPendingRequests is the number of approval requests that may be without an answer at once.
	maxPendingRequests = 4
	// approvalRetryDelay is the wait after a request that got no answer.
	approvalRetryDelay = 300 * time.Millisecond
	// allRefusedDelay is the wait after all workers have been refused.
	allRefusedDelay = 2 * time.Second
)

// approval is the state of the approval of workers for a step.
type approval struct {
	tickets   map[chutetask.WorkerID]string // tickets of the approved workers; never changed once stored
	expiresAt time.Time                     // when the tickets expire
	requested map[chutetask.WorkerID]bool   // workers that a request has named; never changed once stored
	pending   bool                          // a request has no answer yet
	retryAt   time.Time                     // no request is sent before this time
}

// valid reports whether there are tickets that may still be used.
func (a approval) valid(now time.Time) bool {
	return len(a.tickets) > 0 && now.Add(ticketMargin).Before(a.expiresAt)
}

// withAnswer returns the approval after an answer of the approval service. Tickets that are still valid stay.
func (a approval) withAnswer(e chuteaction.StepApproved, now time.Time) approval {
	expiresAt := now.Add(e.Validity)
	tickets := make(map[chutetask.WorkerID]string, len(e.Tickets))
	if a.valid(now) {
		maps.Copy(tickets, a.tickets)
		if a.expiresAt.Before(expiresAt) {
			expiresAt = a.expiresAt
		}
	}
	maps.Copy(tickets, e.Tickets)
	a.tickets, a.expiresAt = tickets, expiresAt
	return a
}
