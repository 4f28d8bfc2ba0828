package chuteentry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
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

// TestJobsWhoseStartsAreRefusedStayPendingThroughATakeover guards against a leader that takes jobs as running since its predecessor
// had recorded runs of them, although the workers have refused to start these.
func TestJobsWhoseStartsAreRefusedStayPendingThroughATakeover(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			is := is.New(t)
			sm := newSimulation(seed, 3, 2)
			sm.run(3 * time.Second)
			for _, k := range sm.sortedWorkers() {
				k.unhealthy = true
			}
			jobs := sm.waitingJobs(8)
			for range 3 {
				sm.crashLeader()
				sm.checkPending(t, 4*time.Second, jobs)
			}
			for _, k := range sm.sortedWorkers() {
				k.unhealthy = false
			}
			sm.run(5 * time.Second)
			pending, _ := sm.pendingAt(sm.leader(), "normal")
			is.True(pending < len(jobs)) // those that run
			sm.failOnViolations(t)
		})
	}
}

// TestJobsWhoseStartsGetNoAnswerStayPendingThroughATakeover guards against a leader that takes jobs as running since its predecessor had
// recorded runs of them, although no worker knows of these.
func TestJobsWhoseStartsGetNoAnswerStayPendingThroughATakeover(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			sm := newSimulation(seed, 3, 2)
			sm.run(3 * time.Second)
			for _, k := range sm.sortedWorkers() {
				k.losesStarts = true
			}
			jobs := sm.waitingJobs(8)
			sm.crashLeader()
			sm.checkPending(t, 6*time.Second, jobs)
			sm.failOnViolations(t)
		})
	}
}

// TestJobsThatRunAreNotPendingAfterATakeover guards against a leader that counts jobs as pending before the workers have told it which
// runs have begun.
func TestJobsThatRunAreNotPendingAfterATakeover(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			sm := newSimulation(seed, 3, 4)
			sm.run(3 * time.Second)
			for range 8 {
				sm.clients.submit("normal", time.Hour, gangStep(1, 4))
			}
			sm.run(5 * time.Second)
			sm.crashLeader()
			sm.checkPending(t, 4*time.Second, nil)
		})
	}
}

// TestANumberOfPendingJobsFromBeforeATakeoverIsNotShownForLong guards against a leader that has read jobs and not yet workers, whose row
// goes on giving the number that its predecessor counted.
func TestANumberOfPendingJobsFromBeforeATakeoverIsNotShownForLong(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 3, 2)
	sm.run(5 * time.Second)
	for _, name := range sm.hostNames() {
		sm.hosts[name].silentTable = chuteaction.TableWorkers
	}
	sm.crashLeader()
	jobs := sm.waitingJobs(8)
	for range 100 {
		for _, name := range sm.hostNames() {
			if pending, ok := sm.pendingAt(sm.hosts[name], "normal"); ok {
				t.Fatalf("%s: %s gives %d jobs as pending, of %d no task has started", sm.elapsed(), name, pending, len(jobs))
			}
		}
	}
	for _, name := range sm.hostNames() {
		sm.hosts[name].silentTable = 0
	}
	sm.run(5 * time.Second)
	_, ok := sm.pendingAt(sm.leader(), "normal")
	is.True(ok)
}
