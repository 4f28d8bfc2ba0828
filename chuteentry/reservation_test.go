package chuteentry_test

import (
	"fmt"
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
)

// TestJobsWithRoomDoNotWaitForAGangThatDoesNotFit guards against small jobs that stand beside idle workers, which are kept for a gang
// until a run ends that they would not delay.
func TestJobsWithRoomDoNotWaitForAGangThatDoesNotFit(t *testing.T) {
	sm := newSimulation(1, 3, 8)
	sm.run(4 * time.Second)
	make(idleTasks).watch(sm)
	sm.clients.submit("normal", 30*time.Second, taskStep(8))
	sm.run(time.Second)
	sm.clients.submit("normal", time.Second, gangStep(8, 8))
	sm.run(6 * time.Second)
	sm.clients.submit("normal", time.Second, gangStep(2, 1))
	sm.clients.submit("low", time.Second, taskStep(1))
	sm.run(10 * time.Second)
	sm.failOnViolations(t)
}

// TestUrgentJobsDoNotKeepWorkersIdleForAGang guards against small jobs that stand for as long as urgent jobs take what is kept for a
// gang.
func TestUrgentJobsDoNotKeepWorkersIdleForAGang(t *testing.T) {
	sm := newSimulation(1, 3, 8)
	sm.run(4 * time.Second)
	make(idleTasks).watch(sm)
	for n := range 50 {
		sm.after(time.Duration(n)*400*time.Millisecond, func() { sm.clients.submit("urgent", time.Second, taskStep(1)) })
	}
	sm.run(time.Second)
	sm.clients.submit("normal", time.Second, gangStep(8, 8))
	sm.run(6 * time.Second)
	sm.clients.submit("normal", time.Second, gangStep(2, 1))
	sm.run(10 * time.Second)
	sm.failOnViolations(t)
}

// TestJobsWithRoomAreNotKeptWaiting guards against jobs that have nothing running while there is room for them twice over.
func TestJobsWithRoomAreNotKeptWaiting(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 1.2} {
		t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
			for _, seed := range seeds(t, 2) {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
					t.Parallel()
					sm := newTightSimulation(seed)
					sm.submitMixedTraffic(load, 30*time.Second)
					make(idleTasks).watch(sm)
					sm.run(35 * time.Second)
					sm.failOnViolations(t)
				})
			}
		})
	}
}

// TestAGangIsGivenWorkersWithMemory guards against a gang that waits for workers with idle accelerators, of which others use the
// memory.
func TestAGangIsGivenWorkersWithMemory(t *testing.T) {
	sm := newSimulation(1, 3, 8)
	sm.run(4 * time.Second)
	step := func(count, memory int) chutegraph.Step {
		return chutegraph.Step{Count: count, Request: chutecapacity.Resources{Processor: 1000, Memory: memory, Accelerators: 1}}
	}
	sm.clients.submit("normal", time.Minute, step(4, 100_000))
	for n := range 150 {
		sm.after(time.Duration(n)*200*time.Millisecond, func() {
			sm.clients.submit("low", time.Duration(500+n%7*100)*time.Millisecond, step(16, 15_000))
		})
	}
	sm.run(2 * time.Second)
	large := step(4, 68_000)
	large.Gang = true
	gang := sm.clients.submit("normal", time.Second, large)
	sm.run(15 * time.Second)
	if len(gang.doneAt) < 4 {
		t.Errorf("%d of 4 members of the gang completed within 15 s", len(gang.doneAt))
	}
	sm.failOnViolations(t)
}
