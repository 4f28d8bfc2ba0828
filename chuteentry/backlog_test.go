package chuteentry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStartOrdersThatWaitOnTheirHostViolateNoInvariant(t *testing.T) {
	for _, seed := range seeds(t, 4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runHistory(t, seed, func(sm *simulation) {
				sm.maxOrderWait = 3 * time.Second
				sm.after(20*time.Second, func() { sm.maxOrderWait = 0 })
			})
		})
	}
}

func TestAJobWhoseStartsWaitOnTheirHostIsCompleted(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 3, 8)
	sm.run(3 * time.Second)
	sm.maxOrderWait = 2 * time.Second
	tasks := sm.clients.submit("normal", time.Second, taskStep(1), taskStep(2))
	gang := sm.clients.submit("normal", time.Second, gangStep(2, 8))
	sm.run(30 * time.Second)
	is.Equal(sm.phase(tasks), "completed")
	is.Equal(sm.phase(gang), "completed")
	sm.failOnViolations(t)
}
