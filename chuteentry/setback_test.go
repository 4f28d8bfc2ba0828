package chuteentry_test

import (
	"fmt"
	"testing"
	"time"
)

// restartSetBack ends the worker's process and starts it again after the time, while its clock of the time of day is behind by so much
// more than before.
func (k *fakeWorker) restartSetBack(down, behind time.Duration) {
	k.clockBehind += behind
	k.fail(down)
}

// TestAWorkerWhoseClockWasSetBackIsListenedTo guards against a worker that gets work and whose answers are all taken for late ones, since
// its process says that it has started before the one that it has replaced.
func TestAWorkerWhoseClockWasSetBackIsListenedTo(t *testing.T) {
	for _, seed := range seeds(t, 8) {
		for _, down := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprint(seed, " ", down), func(t *testing.T) {
				t.Parallel()
				sm := newSimulation(seed, 3, 4)
				sm.run(4 * time.Second)
				k := sm.workers["worker-01"]
				k.restartSetBack(700*time.Millisecond, -2*time.Second) // ahead
				sm.run(1900*time.Millisecond + sm.jittered(200*time.Millisecond))
				k.restartSetBack(down, 4*time.Second)
				sm.run(down + time.Second)
				var jobs []*fakeJob
				for range 5 {
					jobs = append(jobs, sm.clients.submit("normal", time.Second, gangStep(4, 8)))
					sm.run(3 * time.Second)
				}
				sm.run(14 * time.Second)
				sm.checkPhases(t, "completed", jobs...)
				sm.failOnViolations(t)
			})
		}
	}
}

// TestWorkersWhoseClocksJumpRunNothingTwice guards against answers of a former process that count for a later one, or the other way
// round, as the times at which they say they have started are in the wrong order.
func TestWorkersWhoseClocksJumpRunNothingTwice(t *testing.T) {
	for _, seed := range seeds(t, 24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sm := newSimulation(seed, 3, 8)
			sm.run(6 * time.Second)
			sm.submitRandomJobs(60, 20*time.Second)
			for range 30 {
				sm.after(time.Duration(sm.random.Int64N(int64(20*time.Second))), sm.randomWorkerFault)
			}
			for range 20 {
				sm.after(time.Duration(sm.random.Int64N(int64(20*time.Second))), func() {
					if k := sm.randomWorker(); !k.dead && !k.disconnected {
						k.restartSetBack(sm.jittered(time.Second), 3*time.Second-sm.jittered(6*time.Second)/2)
					}
				})
			}
			sm.run(25 * time.Second)
			sm.clearFaults()
			sm.run(40 * time.Second)
			sm.failOnViolations(t)
		})
	}
}
