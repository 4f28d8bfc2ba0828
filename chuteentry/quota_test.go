package chuteentry_test

import (
	"fmt"
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
)

// TestNoFaultRaisesAWorkspaceAboveItsQuota runs random jobs of three workspaces, two with quotas that change, under random faults: lost
// leaders, workers and answers, cuts, late orders. It guards against runs that a leader does not count, and against jobs that a quota
// holds back for good.
func TestNoFaultRaisesAWorkspaceAboveItsQuota(t *testing.T) {
	for _, seed := range seeds(t, 8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runHistory(t, seed, func(sm *simulation) {
				for at, limit := range map[time.Duration]int{0: 24, 8 * time.Second: 12, 16 * time.Second: 32} {
					limits := map[string]chutecapacity.Resources{"team": accelerators(limit), "guests": accelerators(24)}
					sm.after(at, func() { sm.putQuotas(limits, map[string]float64{"guests": 2}) })
				}
				for n := range 60 {
					sm.after(time.Duration(n)*400*time.Millisecond, func() { sm.clients.key = []string{"key", "guest", "third"}[sm.random.IntN(3)] })
				}
				sm.submitRandomJobs(60, 20*time.Second)
			})
		})
	}
}

// TestAWorkspaceUsesItsQuotaThroughTakeovers guards against runs of earlier leaders that count twice or not at all: in 24 takeovers the
// workspace must neither exceed its quota nor leave it unused.
func TestAWorkspaceUsesItsQuotaThroughTakeovers(t *testing.T) {
	sm := newSimulation(1, 3, 8)
	sm.putQuotas(map[string]chutecapacity.Resources{"team": accelerators(20)}, nil)
	sm.run(4 * time.Second)
	for range 100 {
		sm.clients.submit("normal", 4*time.Second, chutegraph.Step{Count: 10, Request: taskStep(1).Request})
	}
	sm.run(3 * time.Second)
	for range 24 {
		sm.crashLeader()
		sm.run(6 * time.Second)
		used := 0
		for _, k := range sm.workers {
			used += len(k.runs)
		}
		if used < 15 {
			t.Errorf("%s: %d runs with a quota for 20", sm.elapsed(), used)
		}
	}
	sm.failOnViolations(t)
}

// TestAGuaranteedJobIsNotHeldUpByItsOwnQuota guards against a guarantee that is worth nothing while lower work of its workspace takes
// the whole quota.
func TestAGuaranteedJobIsNotHeldUpByItsOwnQuota(t *testing.T) {
	sm := newSimulation(1, 2, 8)
	sm.putQuotas(map[string]chutecapacity.Resources{"team": accelerators(24)}, nil)
	sm.run(4 * time.Second)
	sm.clients.submit("low", time.Minute, chutegraph.Step{Count: 30, Request: taskStep(1).Request})
	sm.run(2 * time.Second)
	urgent := sm.clients.submit("urgent", time.Second, gangStep(4, 4))
	sm.run(reclaimBound)
	if delay, ok := urgent.startDelay(); ok {
		t.Logf("started %s after its acceptance", delay)
	} else {
		t.Errorf("the urgent job has not started whole within %s", reclaimBound)
	}
	sm.failOnViolations(t)
}

// TestAGangIsNotStarvedByItsWorkspacesSmallTasks guards against a gang whose place within the quota small tasks take, urgent or not.
func TestAGangIsNotStarvedByItsWorkspacesSmallTasks(t *testing.T) {
	for _, queue := range []string{"urgent", "normal"} {
		t.Run(queue, func(t *testing.T) {
			sm := newSimulation(1, 2, 8)
			sm.putQuotas(map[string]chutecapacity.Resources{"guests": accelerators(16)}, nil)
			sm.clients.key = "guest"
			sm.run(4 * time.Second)
			for n := range 200 {
				sm.after(time.Duration(n)*100*time.Millisecond, func() {
					sm.clients.submit(queue, 1500*time.Millisecond, chutegraph.Step{Count: 2, Request: taskStep(1).Request})
				})
			}
			sm.run(3 * time.Second)
			gang := sm.clients.submit(queue, time.Second, gangStep(14, 1))
			sm.run(9 * time.Second)
			if delay, ok := gang.startDelay(); ok {
				t.Logf("started %s after its acceptance", delay)
			} else {
				t.Error("the gang has not started within 9s")
			}
			sm.failOnViolations(t)
		})
	}
}

// TestAWorkspaceThatSubmitsManyJobsDelaysItsOwn guards against a workspace that waits behind hundreds of jobs of another of equal weight.
func TestAWorkspaceThatSubmitsManyJobsDelaysItsOwn(t *testing.T) {
	sm := newSimulation(1, 2, 4)
	sm.putQuotas(nil, map[string]float64{"team": 1, "guests": 1})
	sm.run(4 * time.Second)
	for range 60 {
		sm.clients.submit("normal", time.Second, chutegraph.Step{Count: 10, Request: taskStep(1).Request})
	}
	sm.run(2 * time.Second)
	sm.clients.key = "guest"
	other := sm.clients.submit("normal", time.Second, chutegraph.Step{Count: 8, Request: taskStep(1).Request})
	sm.run(3 * time.Second)
	if done := len(other.doneAt); done < 8 {
		t.Errorf("%d of 8 tasks of the other workspace are done after 3s", done)
	}
	sm.failOnViolations(t)
}
