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
type Queue struct {
	ByClass    [chuteevent.ClassCount][]chuteevent.ExchangeID
	Dispatches int
	retries    float64 // retries that may be made now
}

// Len returns the number of requests that wait.
func (l Queue) Len() int {
	total := 0
	for _, q := range l.ByClass {
		total += len(q)
	}
	return total
}

// WithQueued returns the lane with the request at the end of its class.
func (l Queue) WithQueued(class chuteevent.Class, id chuteevent.ExchangeID) Queue {
	l.ByClass[class] = append(l.ByClass[class][:len(l.ByClass[class]):len(l.ByClass[class])], id)
	return l
}

// WithoutFirst returns the lane without the request that has waited the longest in the class.
func (l Queue) WithoutFirst(class chuteevent.Class) Queue {
	l.ByClass[class] = l.ByClass[class][1:]
	return l
}

// Without returns the lane without the request.
func (l Queue) Without(class chuteevent.Class, id chuteevent.ExchangeID) Queue {
	l.ByClass[class] = slices.DeleteFunc(slices.Clone(l.ByClass[class]), func(q chuteevent.ExchangeID) bool { return q == id })
	return l
}

// WithTurn returns the lane with one more dispatch counted.
func (l Queue) WithDispatch() Queue {
	l.Dispatches++
	return l
}

// WithEarned returns the lane after a success: it adds what a success earns to the retry budget.
func (l Queue) WithRetryEarned() Queue {
	l.retries = min(l.retries+retryShare, maxRetryBudget)
	return l
}

// WithSpent returns the lane with one retry less in its budget.
func (l Queue) WithRetrySpent() Queue {
	l.retries--
	return l
}

// New returns an empty lane with a full retry budget.
func New() Queue {
	return Queue{retries: maxRetryBudget}
}

// Full reports whether no more requests may wait.
func (l Queue) Full() bool {
	return l.Len() >= MaxQueued
}

// MayRetry reports whether the budget allows a retry.
func (l Queue) MayRetry() bool {
	return l.retries >= 1
}

// LowestBelow returns the least urgent class below the given one that has a request waiting.
func (l Queue) LeastUrgentBelow(class chuteevent.Class) (chuteevent.Class, bool) {
	for c := chuteevent.ClassCount - 1; c > class; c-- {
		if len(l.ByClass[c]) > 0 {
			return c, true
		}
	}
	return 0, false
}
