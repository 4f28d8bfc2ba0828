package chutequeue

import (
	"slices"

	"monsoonchute.example/monsoonchute/chuteevent"
)

const (
	// MaxQueued is the highest number of requests that wait in the queue of one service.
	MaxQueued = 1024
	// retriesPerSuccess is the number of retries that each success adds to the budget.
	retriesPerSuccess = 0.1
	// maxRetryBudget is the highest number of retries in the budget of one service.
	maxRetryBudget = 20.0
)

// Queue is the immutable request queue of one service, with its retry budget.
type Queue struct {
	ByClass    [chuteevent.ClassCount][]chuteevent.ExchangeID // waiting requests of each class, first in, first out
	Dispatches int                                            // requests that left the queue for a backend server
	retries    float64                                        // remaining retry budget
}

// Len returns the number of waiting requests of all classes.
func (q Queue) Len() int {
	total := 0
	for _, ids := range q.ByClass {
		total += len(ids)
	}
	return total
}

// WithQueued returns the queue with the request added at the end of its class.
func (q Queue) WithQueued(class chuteevent.Class, id chuteevent.ExchangeID) Queue {
	q.ByClass[class] = append(q.ByClass[class][:len(q.ByClass[class]):len(q.ByClass[class])], id)
	return q
}

// WithoutFirst returns the queue without the first request of the class, which must not be empty.
func (q Queue) WithoutFirst(class chuteevent.Class) Queue {
	q.ByClass[class] = q.ByClass[class][1:]
	return q
}

// Without returns the queue without the request of the class.
func (q Queue) Without(class chuteevent.Class, id chuteevent.ExchangeID) Queue {
	q.ByClass[class] = slices.DeleteFunc(slices.Clone(q.ByClass[class]), func(x chuteevent.ExchangeID) bool { return x == id })
	return q
}

// WithDispatch returns the queue with one more dispatch counted.
func (q Queue) WithDispatch() Queue {
	q.Dispatches++
	return q
}

// WithRetryEarned returns the queue after a success, which adds a fraction of a retry to the budget.
func (q Queue) WithRetryEarned() Queue {
	q.retries = min(q.retries+retriesPerSuccess, maxRetryBudget)
	return q
}

// WithRetrySpent returns the queue with one retry less in its budget.
func (q Queue) WithRetrySpent() Queue {
	q.retries--
	return q
}

// New returns an empty queue with a full retry budget.
func New() Queue {
	return Queue{retries: maxRetryBudget}
}

// Full reports whether the queue has no space for another request.
func (q Queue) Full() bool {
	return q.Len() >= MaxQueued
}

// MayRetry reports whether the retry budget allows a retry.
func (q Queue) MayRetry() bool {
	return q.retries >= 1
}

// LeastUrgentBelow returns the least urgent class with a waiting request, and false if no class less urgent than the
// given one has any.
func (q Queue) LeastUrgentBelow(class chuteevent.Class) (chuteevent.Class, bool) {
	for c := chuteevent.ClassCount - 1; c > class; c-- {
		if len(q.ByClass[c]) > 0 {
			return c, true
		}
	}
	return 0, false
}
