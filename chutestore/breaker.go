package chutestore

import (
	"sync"
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
)

const (
	// downAfter is the number of failed calls in a row after which the service counts as down.
	downThreshold = 3
	// slowLimit is the mean time of a call above which the service counts as slow.
	slowThreshold = 400 * time.Millisecond
	// meanShare is the divisor of the weight of one call in the mean.
	meanWeightDivisor = 8
)

// breaker judges the service by its calls.
type breaker struct {
	mutex       sync.Mutex
	state       chuteevent.StoreState
	failures    int
	meanLatency time.Duration
}

func newBreaker() *breaker {
	return &breaker{state: chuteevent.StoreUp}
}

// note enters the end of a call and reports the state and whether it changed.
func (b *breaker) record(answered bool, latency time.Duration) (chuteevent.StoreState, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	previous := b.state
	b.state = b.nextState(answered, latency)
	return b.state, b.state != previous
}

func (b *breaker) nextState(answered bool, latency time.Duration) chuteevent.StoreState {
	if !answered {
		b.failures++
		if b.failures >= downThreshold {
			return chuteevent.StoreDown
		}
		return b.state
	}
	b.failures = 0
	b.meanLatency += (latency - b.meanLatency) / meanWeightDivisor
	if b.meanLatency > slowThreshold {
		return chuteevent.StoreSlow
	}
	return chuteevent.StoreUp
}
