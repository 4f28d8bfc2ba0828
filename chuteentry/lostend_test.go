package chuteentry_test

import (
	"testing"
	"time"
)

// submitShortJobs submits a job of one task every 100 ms.
func (sm *simulation) submitShortJobs(count int, duration time.Duration) {
	for i := range count {
		sm.after(time.Duration(i)*100*time.Millisecond, func() { sm.clients.submit("normal", duration, taskStep(1)) })
	}
}

// TestEndsOfARestartedWorkerAreAcknowledgedOnlyOnceRecorded guards against numbers of an earlier incarnation that count for a later one.
func TestEndsOfARestartedWorkerAreAcknowledgedOnlyOnceRecorded(t *testing.T) {
	for _, seed := range seeds(t, 40) {
		sm := newSimulation(seed, 2, 1)
		sm.run(4 * time.Second)
		sm.submitShortJobs(80, 20*time.Millisecond+time.Duration(seed)*10*time.Millisecond)
		for range 10 {
			sm.run(sm.jittered(800 * time.Millisecond))
			sm.workers["worker-00"].restart()
		}
		sm.crashHost(sm.leader().name)
		sm.run(10 * time.Second)
		sm.failOnViolations(t)
	}
}

// TestAWorkerWhoseEntryExpiredKeepsItsRuns guards against a second run while a worker without an entry answers but once too late.
func TestAWorkerWhoseEntryExpiredKeepsItsRuns(t *testing.T) {
	for _, duration := range []time.Duration{2700 * time.Millisecond, 6 * time.Second} {
		t.Run(duration.String(), func(t *testing.T) {
			sm := newSimulation(1, 2, 3)
			sm.run(6 * time.Second)
			j := sm.clients.submit("normal", duration, taskStep(1))
			sm.run(time.Second)
			k := sm.workerOf(j)
			sm.store.deleteRow(k.key(), nil)
			sm.run(time.Second)
			k.disconnected = true
			sm.run(time.Second)
			k.disconnected = false
			k.publishListing()
			sm.run(10 * time.Second)
			sm.failOnViolations(t)
		})
	}
}
