package chuteentry_test

import (
	"strings"
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// reclaimBound is the time within which a workspace's urgent job must start on its guarantee.
const reclaimBound = 2 * time.Second

// startDelay returns the time from the acceptance of a job to the start of its last task, and false if not all of its
// tasks have started.
func (j *fakeJob) startDelay() (time.Duration, bool) {
	latest := j.acceptedAt
	for _, at := range j.startedAt {
		if at.After(latest) {
			latest = at
		}
	}
	return latest.Sub(j.acceptedAt), !j.acceptedAt.IsZero() && len(j.startedAt) == j.spec.Steps[0].Count
}

// TestAGuaranteeIsReclaimedFromUrgentWorkBeyondGuarantees fills all workers with urgent jobs of a workspace without a
// guarantee, and lets more of them wait. It guards against a guarantee that is worth nothing while others' urgent jobs
// came first.
func TestAGuaranteeIsReclaimedFromUrgentWorkBeyondGuarantees(t *testing.T) {
	sm := newSimulation(1, 2, 4)
	sm.run(3 * time.Second)
	sm.clients.key = "guest"
	for range 12 {
		sm.clients.submit("urgent", 20*time.Second, gangStep(8, 1))
	}
	sm.run(2 * time.Second)
	sm.clients.key = "key"
	var guaranteed []*fakeJob
	for _, step := range []chutegraph.Step{gangStep(1, 8), gangStep(8, 1)} {
		guaranteed = append(guaranteed, sm.clients.submit("urgent", 5*time.Second, step))
	}
	sm.run(100 * time.Millisecond)
	beyond := sm.clients.submit("urgent", time.Second, gangStep(1, 8))
	sm.run(reclaimBound)
	for _, j := range guaranteed {
		if delay, ok := j.startDelay(); !ok {
			t.Errorf("job %s within the guarantee has not started whole within %s", j.id, reclaimBound)
		} else {
			t.Logf("job %s started %s after its acceptance", j.id, delay)
		}
	}
	if _, ok := beyond.startDelay(); ok {
		t.Errorf("job %s beyond the guarantee started although urgent work came first", beyond.id)
	}
	sm.failOnViolations(t)
}

// TestAGuaranteeIsTakenFromLowerPrioritiesFirst checks that urgent work of others goes on while work of lower priority
// can make room.
func TestAGuaranteeIsTakenFromLowerPrioritiesFirst(t *testing.T) {
	sm := newSimulation(1, 2, 4)
	sm.run(3 * time.Second)
	sm.clients.key = "guest"
	others := sm.clients.submit("urgent", 4*time.Second, gangStep(16, 1))
	sm.clients.submit("low", 20*time.Second, gangStep(16, 1))
	sm.run(time.Second)
	sm.clients.key = "key"
	guaranteed := sm.clients.submit("urgent", time.Second, gangStep(16, 1))
	sm.run(reclaimBound)
	if _, ok := guaranteed.startDelay(); !ok {
		t.Errorf("the job within the guarantee has not started whole within %s", reclaimBound)
	}
	sm.run(4 * time.Second)
	if len(others.doneAt) < 16 {
		t.Errorf("%d of 16 tasks of the other workspace's urgent job are done", len(others.doneAt))
	}
	sm.failOnViolations(t)
}

// lastingStep returns a step of tasks that each need a whole worker and last, of which one may be missing.
func lastingStep(count int) chutegraph.Step {
	step := gangStep(count, 8)
	step.Gang, step.LongRunning, step.MaxUnavailable = false, true, 1
	return step
}

// TestAGuaranteeIsReclaimedFromTasksThatLast guards against a guarantee that is worth nothing while others' tasks last.
func TestAGuaranteeIsReclaimedFromTasksThatLast(t *testing.T) {
	sm := newSimulation(1, 2, 4)
	sm.run(3 * time.Second)
	sm.clients.key = "guest"
	others := sm.clients.submit("low", time.Hour, lastingStep(4))
	sm.run(3 * time.Second)
	sm.clients.key = "key"
	guaranteed := sm.clients.submit("urgent", time.Second, gangStep(1, 8))
	sm.run(100 * time.Millisecond)
	second := sm.clients.submit("urgent", 20*time.Second, gangStep(1, 8))
	sm.run(reclaimBound)
	if _, ok := guaranteed.startDelay(); !ok {
		t.Errorf("the job within the guarantee has not started within %s", reclaimBound)
	}
	sm.run(3 * time.Second)
	if _, ok := second.startDelay(); !ok {
		t.Error("the second job has not started on the worker that the first had")
	}
	if running := sm.runningTasks(others); running != 3 {
		t.Errorf("%d of 4 tasks that last are running, of which one may be missing", running)
	}
	sm.run(25 * time.Second)
	if running := sm.runningTasks(others); running != 4 {
		t.Errorf("%d of 4 tasks that last are running after the urgent jobs", running)
	}
	sm.failOnViolations(t)
}

// TestUrgentGangsEvictNoMoreThanTheyNeed plays a load of urgent gangs of different widths that keep coming while small
// tasks of low priority fill all workers. Each gang must start soon, and no more runs may be stopped than the gangs need
// capacity for: gangs that take from each other what runs were stopped for would have further runs stopped.
func TestUrgentGangsEvictNoMoreThanTheyNeed(t *testing.T) {
	sm := newSimulation(3, 2, 32)
	sm.run(3 * time.Second)
	for range 8 {
		sm.clients.submit("low", time.Minute, chutegraph.Step{Count: 32, Request: taskStep(1).Request})
	}
	sm.run(3 * time.Second)
	var gangs []*fakeJob
	needed := 0
	for n := range 12 {
		step := gangStep(1+n%3, 8)
		step.SameRack = true
		needed += step.Count * step.Request.Accelerators
		sm.after(time.Duration(n)*30*time.Millisecond, func() {
			gangs = append(gangs, sm.clients.submit("urgent", 10*time.Second, step))
		})
	}
	sm.run(3 * time.Second)
	for _, j := range gangs {
		if delay, ok := j.startDelay(); !ok || delay > reclaimBound {
			t.Errorf("urgent gang %s of %d has not started whole within %s", j.id, j.spec.Steps[0].Count, reclaimBound)
		}
	}
	stopped := strings.Count(sm.logLinesWith("run yields"), "run yields")
	t.Logf("%d runs stopped for %d accelerators", stopped, needed)
	if stopped > needed {
		t.Errorf("%d runs of one accelerator were stopped for %d accelerators", stopped, needed)
	}
	sm.failOnViolations(t)
}

// TestAGuaranteeIsReclaimedBesideUrgentJobsThatNobodyCanRun guards against urgent jobs that wait for ever and take each search for runs
// to evict from the jobs behind them.
func TestAGuaranteeIsReclaimedBesideUrgentJobsThatNobodyCanRun(t *testing.T) {
	sm := newSimulation(1, 2, 4)
	sm.run(3 * time.Second)
	sm.clients.key = "guest"
	for range 8 {
		sm.clients.submit("low", 20*time.Second, chutegraph.Step{Count: 16, Request: taskStep(1).Request})
	}
	sm.clients.key = "key"
	for range 30 { // they need no accelerators, so that the guarantee covers them as well
		step := taskStep(0)
		step.Label = "nowhere"
		sm.clients.submit("urgent", time.Second, step)
	}
	sm.run(3 * time.Second)
	guaranteed := sm.clients.submit("urgent", time.Second, gangStep(1, 8))
	sm.run(reclaimBound)
	if _, ok := guaranteed.startDelay(); !ok {
		t.Errorf("the job within the guarantee has not started whole within %s", reclaimBound)
	}
	sm.failOnViolations(t)
}
