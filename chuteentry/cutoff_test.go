package chuteentry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// cutOff cuts the worker off from hosts and store.
func (k *fakeWorker) cutOff(span time.Duration) {
	k.disconnected, k.offStore = true, true
	k.sim.after(span, func() { k.disconnected, k.offStore = false, false })
}

// fail ends the worker's process, and starts it again after the time.
func (k *fakeWorker) fail(down time.Duration) {
	k.end()
	k.sim.after(down, k.restart)
}

// end ends the worker's process for good, which breaks the gangs of its runs.
func (k *fakeWorker) end() {
	lost := k.sortedRuns()
	k.crash(time.Hour)
	for _, r := range lost {
		if r.step.Gang && !r.waitsForGang {
			k.sim.endGang(r, chutetask.EndLost)
		}
	}
}

// gangEnds keeps the time of the first done end of each gang that its worker was allowed to delete.
type gangEnds map[chutegraph.StepID]time.Time

// watch notes which done ends of gangs have been deleted since the previous call, other than by a restart.
func (g gangEnds) watch(k *fakeWorker, incarnation time.Time, previous []chutetask.RunEnd) {
	if k.startedAt.Equal(incarnation) {
		for _, e := range previous {
			g.noteDeleted(k, e)
		}
	}
	incarnation, previous = k.startedAt, slices.Clone(k.ends)
	k.sim.after(10*time.Millisecond, func() { g.watch(k, incarnation, previous) })
}

func (g gangEnds) noteDeleted(k *fakeWorker, e chutetask.RunEnd) {
	id := e.Run.Task.StepID
	gang := k.sim.clients.jobs[id.Job].spec.Steps[id.Step].Gang
	if !gang || e.Kind != chutetask.EndDone || k.expiredEnds[e.Number] || slices.Contains(k.ends, e) {
		return
	}
	if first, known := g[id]; !known || k.endedAt[e.Run].Before(first) {
		g[id] = k.endedAt[e.Run]
	}
}

// check reports the members of gangs that were started after such an end.
func (g gangEnds) check(sm *simulation) {
	for _, id := range sm.clients.jobIDs {
		for task, at := range sm.clients.jobs[id].startedAt {
			if ended, ok := g[task.StepID]; ok && at.After(ended) {
				sm.reportViolation("%s was started %s after its gang had ended\n%s", task, at.Sub(ended), sm.logLinesWith(string(id)))
			}
		}
	}
}

// TestWorkersThatAreCutOffOrRestartRunNothingTwice guards against second runs after short cuts and restarts of workers.
func TestWorkersThatAreCutOffOrRestartRunNothingTwice(t *testing.T) {
	for _, seed := range seeds(t, 12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sm := newSimulation(seed, 3, 8)
			ends := make(gangEnds)
			for _, name := range sm.workerNames() {
				k := sm.workers[name]
				ends.watch(k, k.startedAt, nil)
			}
			sm.run(6 * time.Second)
			sm.submitRandomJobs(60, 20*time.Second)
			for range 30 {
				sm.after(time.Duration(sm.random.Int64N(int64(20*time.Second))), sm.randomWorkerFault)
			}
			sm.run(25 * time.Second)
			sm.clearFaults()
			sm.run(30 * time.Second)
			ends.check(sm)
			for _, violation := range sm.violations {
				t.Error(violation)
			}
		})
	}
}

// randomWorkerFault cuts a worker off or restarts it, or ends or delays the leader.
func (sm *simulation) randomWorkerFault() {
	k := sm.randomWorker()
	if k.dead || k.disconnected {
		return
	}
	switch sm.random.IntN(8) {
	case 0, 1, 2:
		k.cutOff(500*time.Millisecond + sm.jittered(4*time.Second))
		if l := sm.leader(); l != nil && sm.chance(0.3) {
			l.pause(sm.jittered(200 * time.Millisecond))
		}
	case 3, 4, 5:
		k.fail(sm.jittered(time.Second))
	case 6:
		if l := sm.leader(); l != nil {
			sm.crashHost(l.name)
		}
	case 7:
		sm.store.lostAnswerRate, sm.store.delayedRate = 0.3, 0.5
		sm.after(sm.jittered(3*time.Second), func() { sm.store.lostAnswerRate = 0 })
	}
}

func TestAWorkerCutOffFromTheStoreRunsNoTaskTwice(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		sm := newSimulation(seed, 3, 8)
		sm.run(5 * time.Second)
		j := sm.clients.submit("normal", 9*time.Second, taskStep(1))
		sm.run(time.Second)
		k := sm.workerOf(j)
		k.offStore = true
		sm.run(3 * time.Duration(1+seed%3) * heartbeat)
		k.disconnected = true // long enough for a renewal to get no answer, shorter than the lease
		sm.run(3 * time.Second)
		k.disconnected, k.offStore = false, false
		sm.run(20 * time.Second)
		is.Equal(sm.phase(j), "completed")
		sm.failOnViolations(t)
	}
}
