package chuteentry_test

import (
	"testing"
	"time"
)

// TestARunThatFailsBehindACutCountsAsAnAttempt guards against a start after as many failed runs as the job has attempts.
func TestARunThatFailsBehindACutCountsAsAnAttempt(t *testing.T) {
	forEachSeed(t, 1, func(t *testing.T, sm *simulation) {
		k := sm.randomWorker()
		k.failsRuns = true
		j := sm.clients.submit("urgent", time.Second, taskStep(1))
		for len(k.runs) == 0 {
			sm.run(10 * time.Millisecond)
		}
		k.disconnected = true
		sm.run(20 * time.Second) // the run fails, and the worker's lease expires
		k.disconnected = false
		sm.run(20 * time.Second)
		sm.checkPhases(t, "failed", j)
		for id, starts := range j.starts {
			if starts != 3 {
				t.Errorf("%s was started %d times, its job has 3 attempts", id, starts)
			}
		}
	})
}
