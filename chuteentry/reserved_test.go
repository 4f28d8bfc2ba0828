package chuteentry_test

import (
	"fmt"
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
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

// TestALargeGangStartsAmongManySmallJobsOfItsPriority guards against reservations that a backlog uses up.
func TestALargeGangStartsAmongManySmallJobsOfItsPriority(t *testing.T) {
	const interval = 20 * time.Millisecond // more tasks than fit at any time
	sm := newSimulation(1, 2, 4)
	sm.run(4 * time.Second)
	for n := range 20 * time.Second / interval {
		step := chutegraph.Step{Count: 4, Request: taskStep(1).Request, Estimate: time.Second}
		sm.after(n*interval, func() { sm.clients.submit("normal", 500*time.Millisecond+n%7*100*time.Millisecond, step) })
	}
	sm.run(2 * time.Second)
	gang := sm.clients.submit("normal", time.Second, gangStep(3, 8))
	sm.run(15 * time.Second)
	if len(gang.doneAt) < 3 {
		t.Errorf("%d of 3 members of the gang completed within 15 s", len(gang.doneAt))
	}
	sm.failOnViolations(t)
}

// TestAGangDoesNotStandForARackBesideIdleWorkers guards against gangs that wait without an end for a rack that others use.
func TestAGangDoesNotStandForARackBesideIdleWorkers(t *testing.T) {
	const maxWait = 3 * time.Second
	sm := newSimulation(1, 2, 12)
	sm.run(4 * time.Second)
	for rack := range 3 {
		long := gangStep(1, 8)
		long.Label = fmt.Sprintf("rack-%d", rack)
		sm.clients.submit("normal", 25*time.Second, long)
	}
	sm.run(3 * time.Second)
	step := gangStep(4, 8)
	step.SameRack = true
	j := sm.clients.submit("normal", time.Second, step)
	submitted := sm.now
	sm.runUntil(30*time.Second, func() bool { return len(j.starts) > 0 })
	if waited := sm.now.Sub(submitted); waited > maxWait {
		t.Errorf("a gang of 4 has waited %s for a rack beside 9 idle workers of 12", waited)
	}
	sm.failOnViolations(t)
}
