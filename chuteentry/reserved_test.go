package chuteentry_test

import (
	"testing"
	"time"
)

// TestAJobDoesNotStandBesideWorkersKeptForAGang guards against jobs that have nothing running beside idle workers, as these are kept for
// a gang that waits for other runs to end.
func TestAJobDoesNotStandBesideWorkersKeptForAGang(t *testing.T) {
	const maxWait = 3 * time.Second
	sm := newSimulation(1, 3, 8)
	sm.run(4 * time.Second)
	sm.clients.submit("normal", 20*time.Second, gangStep(1, 8))
	sm.run(time.Second)
	sm.clients.submit("normal", time.Second, gangStep(8, 8))
	sm.run(6 * time.Second)
	for _, queue := range []string{"normal", "low"} {
		j := sm.clients.submit(queue, time.Second, gangStep(1, 1))
		submitted := sm.now
		sm.runUntil(30*time.Second, func() bool { return len(j.starts) > 0 })
		if waited := sm.now.Sub(submitted); waited > maxWait {
			t.Errorf("%s: a task has waited %s beside 7 idle workers of 8", queue, waited)
		}
	}
	sm.failOnViolations(t)
}
