package chuteentry_test

import (
	"testing"
	"time"
)

// repeat calls the action with random intervals around the interval, until the time is over.
func (sm *simulation) repeat(interval, remaining time.Duration, action func()) {
	next := sm.jittered(interval)
	if next > remaining {
		return
	}
	sm.after(next, func() {
		action()
		sm.repeat(interval, remaining-next, action)
	})
}

// submitLoad submits random jobs that need more than the workers have, for a time.
func (sm *simulation) submitLoad(period time.Duration) {
	queues := []string{"urgent", "normal", "low"}
	sm.repeat(300*time.Millisecond, period, func() {
		sm.clients.submit(queues[sm.random.IntN(len(queues))], sm.jittered(2*time.Second), sm.randomStep())
	})
}

// TestShrunkWorkersAreNotOverloaded guards against starts beyond a capacity that shrinks while starts are on their way.
func TestShrunkWorkersAreNotOverloaded(t *testing.T) {
	cases := []struct {
		name     string
		interval time.Duration // between two disturbances
		disturb  func(sm *simulation)
	}{
		{"calm", time.Hour, func(*simulation) {}},
		{"a leader crashes", 4 * time.Second, (*simulation).crashLeader},
		{"all hosts crash", 6 * time.Second, func(sm *simulation) {
			for _, name := range sm.hostNames() {
				sm.crashHost(name)
			}
		}},
		{"a host sleeps", 8 * time.Second, func(sm *simulation) {
			if h := sm.randomHost(); !h.paused {
				h.pause(5 * time.Second)
			}
		}},
		{"the store is down", 10 * time.Second, func(sm *simulation) {
			sm.store.down = true
			sm.after(5*time.Second, func() { sm.store.down = false })
		}},
		{"the store loses answers", 5 * time.Second, func(sm *simulation) {
			sm.store.lostAnswerRate, sm.store.delayedRate = 0.3, 0.5
			sm.after(3*time.Second, func() { sm.store.lostAnswerRate = 0 })
		}},
		{"a host does not reach the store", 6 * time.Second, func(sm *simulation) {
			h := sm.randomHost()
			h.disconnected = true
			sm.after(5*time.Second, func() { h.disconnected = false })
		}},
		{"workers are silent", 4 * time.Second, func(sm *simulation) { sm.randomWorker().silence(6 * time.Second) }},
		{"workers carry out orders late", 3 * time.Second, func(sm *simulation) {
			k := sm.randomWorker()
			k.lostOrderRate = 0.5
			sm.after(3*time.Second, func() { k.lostOrderRate = 0 })
		}},
	}
	const period = 20 * time.Second
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEachSeed(t, 4, func(t *testing.T, sm *simulation) {
				sm.submitLoad(period)
				sm.repeat(600*time.Millisecond, period, func() { sm.randomWorker().resize(sm.random.IntN(9)) })
				sm.repeat(c.interval, period, func() { c.disturb(sm) })
				sm.run(period)
				sm.clearFaults()
				sm.run(60 * time.Second)
				for _, id := range sm.clients.jobIDs {
					if j := sm.clients.jobs[id]; len(j.doneAt) < j.spec.Steps[0].Count && !j.acceptedAt.IsZero() {
						t.Errorf("%d of %d tasks of %s are done, after %v starts", len(j.doneAt), j.spec.Steps[0].Count, id, j.starts)
					}
				}
			})
		})
	}
}

// TestRecordedRunIsNotResumedOnAShrunkWorker guards against a new leader that orders recorded runs again without room for
// them.
func TestRecordedRunIsNotResumedOnAShrunkWorker(t *testing.T) {
	forEachSeed(t, 2, func(t *testing.T, sm *simulation) {
		j := sm.clients.submit("normal", 2*time.Second, taskStep(4), taskStep(4))
		for _, k := range sm.sortedWorkers() {
			k.disconnected = true
		}
		sm.run(300 * time.Millisecond)
		sm.crashLeader()
		for _, k := range sm.sortedWorkers() {
			k.resize(sm.random.IntN(4))
		}
		sm.run(contactTime + 2*heartbeat)
		for _, k := range sm.sortedWorkers() {
			k.disconnected = false
		}
		sm.run(5 * time.Second)
		for _, k := range sm.sortedWorkers() {
			k.resize(fullCapacity().Accelerators)
		}
		sm.run(10 * time.Second)
		sm.checkPhases(t, "completed", j)
	})
}

// TestRunsOnAShrunkWorkerGoOn guards against runs that are stopped because their worker's capacity has shrunk below what runs.
func TestRunsOnAShrunkWorkerGoOn(t *testing.T) {
	forEachSeed(t, 1, func(t *testing.T, sm *simulation) {
		running := sm.clients.submit("normal", 9*time.Second, taskStep(8))
		sm.run(time.Second)
		sm.workers["worker-00"].resize(2)
		waiting := sm.clients.submit("normal", time.Second, taskStep(1))
		sm.run(15 * time.Second)
		sm.checkPhases(t, "completed", running, waiting)
		for id, starts := range running.starts {
			if starts != 1 {
				t.Errorf("%s was started %d times", id, starts)
			}
		}
	})
}

// TestGrownWorkerIsUsedAgain guards against capacity that stays idle after it has grown, and jobs that are given up meanwhile.
func TestGrownWorkerIsUsedAgain(t *testing.T) {
	forEachSeed(t, 2, func(t *testing.T, sm *simulation) {
		for _, k := range sm.sortedWorkers() {
			k.resize(0)
		}
		sm.run(contactTime + heartbeat)
		j := sm.clients.submit("normal", time.Second, taskStep(8))
		sm.run(5 * time.Second)
		for _, k := range sm.sortedWorkers() {
			k.resize(8)
		}
		sm.run(heartbeat + 2*time.Second)
		sm.checkPhases(t, "completed", j)
	})
}
