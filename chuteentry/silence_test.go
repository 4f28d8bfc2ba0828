package chuteentry_test

import (
	"testing"
	"time"
)

// relistingTime is the longest time after which a worker that reaches the store again is listed.
const relistingTime = 2 * time.Second

// TestRunsOfAWorkerThatAnswersAgainAreNotStartedElsewhere guards against a worker that is presumed to have ended on a
// renewal sent before its latest answer, as its listing expires after it was cut off for a while.
func TestRunsOfAWorkerThatAnswersAgainAreNotStartedElsewhere(t *testing.T) {
	for _, seed := range seeds(t, 12) {
		sm := newSimulation(seed, 3, 2)
		sm.run(10 * time.Second)
		running := sm.clients.submit("normal", 9*time.Second, taskStep(2))
		sm.run(500 * time.Millisecond)
		k := sm.workerOf(running)
		waiting := sm.clients.submit("normal", 2*time.Second, taskStep(3), taskStep(3))
		sm.run(5 * time.Millisecond)
		k.disconnected, k.offStore = true, true
		expiry := 3*heartbeat - time.Duration(sm.random.Int64N(int64(heartbeat)))
		reconnected := expiry - time.Duration(sm.random.Int64N(int64(time.Second)))
		sm.after(reconnected, func() { k.disconnected = false })
		sm.after(expiry, func() { sm.store.deleteRow(k.key(), nil) })
		sm.after(reconnected+relistingTime, func() { k.offStore = false; k.publishListing() })
		sm.run(25 * time.Second)
		sm.checkPhases(t, "completed", running, waiting)
		for _, violation := range sm.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}
