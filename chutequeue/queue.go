package chutequeue

import (
	"slices"

	"monsoonchute.example/monsoonchute/chuteevent"
)

const (
	// MaxQueued is the number of requests of one service that wait at most.
	MaxQueued = 1024
	// retryShare is the number of retries that each success earns.
	retryShare = 0.1
	// maxRetryBudget is the number of retries that can be saved up for one service.
	maxRetryBudget = 20.0
)

// Lane is the queues and the retry budget of one service.
type Lane struct {
	Queues  [chuteevent.ClassCount][]chuteevent.ExchangeID
	Turns   int
	retries float64 // retries that may be made now
}

// Len returns the number of requests that wait.
func (l Lane) Len() int {
	total := 0
	for _, q := range l.Queues {
		total += len(q)
	}
	return total
}

// WithQueued returns the lane with the request at the end of its class.
func (l Lane) WithQueued(class chuteevent.Class, id chuteevent.ExchangeID) Lane {
	l.Queues[class] = append(l.Queues[class][:len(l.Queues[class]):len(l.Queues[class])], id)
	return l
}

// WithoutFirst returns the lane without the request that has waited the longest in the class.
func (l Lane) WithoutFirst(class chuteevent.Class) Lane {
	l.Queues[class] = l.Queues[class][1:]
	return l
}

// Without returns the lane without the request.
func (l Lane) Without(class chuteevent.Class, id chuteevent.ExchangeID) Lane {
	l.Queues[class] = slices.DeleteFunc(slices.Clone(l.Queues[class]), func(q chuteevent.ExchangeID) bool { return q == id })
	return l
}

// WithTurn returns the lane with one more dispatch counted.
func (l Lane) WithTurn() Lane {
	l.Turns++
	return l
}

// WithEarned returns the lane after a success: it adds what a success earns to the retry budget.
func (l Lane) WithEarned() Lane {
	l.retries = min(l.retries+retryShare, maxRetryBudget)
	return l
}

// WithSpent returns the lane with one retry less in its budget.
func (l Lane) WithSpent() Lane {
	l.retries--
	return l
}

// New returns an empty lane with a full retry budget.
func New() Lane {
	return Lane{retries: maxRetryBudget}
}

// Full reports whether no more requests may wait.
func (l Lane) Full() bool {
	return l.Len() >= MaxQueued
}

// MayRetry reports whether the budget allows a retry.
func (l Lane) MayRetry() bool {
	return l.retries >= 1
}

// LowestBelow returns the least urgent class below the given one that has a request waiting.
func (l Lane) LowestBelow(class chuteevent.Class) (chuteevent.Class, bool) {
	for c := chuteevent.ClassCount - 1; c > class; c-- {
		if len(l.Queues[c]) > 0 {
			return c, true
		}
	}
	return 0, false
}
