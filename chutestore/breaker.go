package chutestore

import (
	"sync"
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
)

const (
	// downThreshold is the number of consecutive failed calls after which the table service counts as down.
	downThreshold = 3
	// slowThreshold is the mean latency above which the table service counts as slow.
	slowThreshold = 400 * time.Millisecond
	// meanWeightDivisor is the reciprocal of the weight of one call in the moving average of the latency.
	meanWeightDivisor = 8
)

// breaker derives the state of the table service from the results of calls. It is safe for concurrent use.
type breaker struct {
	mutex       sync.Mutex
	state       chuteevent.StoreState
	failures    int
	meanLatency time.Duration
}

func newBreaker() *breaker {
	return &breaker{state: chuteevent.StoreUp}
}

// record adds the result of a call. It returns the state of the service and whether that call changed it.
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
