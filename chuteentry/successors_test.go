package chuteentry_test

import (
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
)

// TestAWorkerThatAnEarlierLeaderStillReachesRunsNothingTwice guards against a second run after two takeovers: the first leader has
// lost the store and goes on renewing a lease that the third takes as expired.
func TestAWorkerThatAnEarlierLeaderStillReachesRunsNothingTwice(t *testing.T) {
	endings := map[string]func(h *fakeHost){
		"planned stop": func(h *fakeHost) { h.deliver(chuteaction.StopRequested{}) },
		"restart":      func(h *fakeHost) { h.sim.crashHost(h.name) },
	}
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			sm := newSimulation(1, 3, 2)
			sm.run(4 * time.Second)
			j := sm.clients.submit("normal", 30*time.Second, taskStep(1))
			sm.run(time.Second)
			first := sm.leader()
			first.disconnected = true
			sm.workerOf(j).reachedBy = first
			sm.run(2500 * time.Millisecond)
			for _, name := range sm.hostNames() {
				if h := sm.hosts[name]; h != first && h.leads() {
					end(h)
				}
			}
			sm.run(20 * time.Second)
			sm.failOnViolations(t)
		})
	}
}
