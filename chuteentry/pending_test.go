package chuteentry_test

import (
	"fmt"
	"testing"
	"time"
)

// waitingJobs hands in jobs that each take half of a worker, and returns them some seconds later.
func (sm *simulation) waitingJobs(count int) []*fakeJob {
	var jobs []*fakeJob
	for i := range count {
		jobs = append(jobs, sm.clients.submit("normal", time.Hour, gangStep(1+i%2, 4)))
	}
	sm.run(5 * time.Second)
	return jobs
}

// checkPending reports a host that, within the time, gives another number of pending jobs than that of the jobs, of which no task has
// started.
func (sm *simulation) checkPending(t *testing.T, span time.Duration, jobs []*fakeJob) {
	t.Helper()
	for end := sm.now.Add(span); sm.now.Before(end); {
		for _, name := range sm.hostNames() {
			if pending, ok := sm.pendingAt(sm.hosts[name], "normal"); ok && pending != len(jobs) {
				t.Fatalf("%s: %s gives %d jobs as pending, of %d no task has started", sm.elapsed(), name, pending, len(jobs))
			}
		}
	}
}

// TestJobsWhoseStartsGetNoAnswerArePending guards against jobs that count as begun since nothing is known of their starts.
func TestJobsWhoseStartsGetNoAnswerArePending(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			sm := newSimulation(seed, 3, 2)
			sm.run(3 * time.Second)
			for _, k := range sm.sortedWorkers() {
				k.losesStarts = true
			}
			jobs := sm.waitingJobs(8)
			sm.checkPending(t, 6*time.Second, jobs)
			for _, k := range sm.sortedWorkers() {
				k.losesStarts = false
			}
			sm.run(10 * time.Second)
			sm.failOnViolations(t)
		})
	}
}

// TestJobsOfLostWorkersArePendingUntilTheyBegin guards against jobs that count as begun since the worker of their first run was lost
// before it started that.
func TestJobsOfLostWorkersArePendingUntilTheyBegin(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			sm := newSimulation(seed, 3, 2)
			sm.run(3 * time.Second)
			for _, k := range sm.sortedWorkers() {
				k.losesStarts = true
			}
			jobs := sm.waitingJobs(8)
			for _, k := range sm.sortedWorkers() {
				k.restartOnce()
			}
			sm.checkPending(t, 6*time.Second, jobs)
			sm.failOnViolations(t)
		})
	}
}
