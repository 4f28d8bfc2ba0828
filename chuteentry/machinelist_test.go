package chuteentry_test

import (
	"fmt"
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chutetask"
)

// TestWorkOfAWorkerThatHasEndedDoesNotWaitForItsLease guards against work that stands still beside idle workers, although the
// platform knows that its worker has ended.
func TestWorkOfAWorkerThatHasEndedDoesNotWaitForItsLease(t *testing.T) {
	// The times from the worker's end to the next run: a missed renewal, or a takeover, and two lists of machines.
	const found, foundAfterTakeover = 5 * time.Second, 5 * time.Second
	cases := []struct {
		name string
		lose func(sm *simulation, k *fakeWorker)
		wait time.Duration
	}{
		{"crashes", func(_ *simulation, k *fakeWorker) { k.crash(time.Hour) }, found},
		{"leaves at short notice", func(_ *simulation, k *fakeWorker) { k.leaveAtShortNotice() }, 2*time.Second + found},
		{"crashes with the leader", func(sm *simulation, k *fakeWorker) { k.crash(time.Hour); sm.loseLeader() }, foundAfterTakeover},
		{"has left before the takeover", func(sm *simulation, k *fakeWorker) {
			sm.loseLeader()
			k.crash(200 * time.Millisecond)
		}, foundAfterTakeover},
		{"leaves while the leader is lost", func(sm *simulation, k *fakeWorker) {
			k.leaveAtShortNotice()
			sm.after(800*time.Millisecond, sm.loseLeader)
		}, 2*time.Second + foundAfterTakeover},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, seed := range seeds(t, 12) {
				sm := newSimulation(seed, 4, 4)
				sm.machineService.available = true
				sm.run(4 * time.Second)
				step := taskStep(1)
				step.Checkpointing = true
				j := sm.clients.submit("normal", time.Minute, step)
				sm.run(2 * time.Second)
				lost := sm.now
				c.lose(sm, sm.workerOf(j))
				sm.run(20 * time.Second)
				for id, at := range j.startedAt {
					if waited := at.Sub(lost); waited > c.wait || waited < 0 {
						t.Errorf("seed %d: %s ran again after %s, not %s", seed, id, waited, c.wait)
					}
				}
				sm.failOnViolations(t)
			}
		})
	}
}

// TestWorkersThatAreCutOffKeepTheirWorkWhileTheyHaveAMachine guards against a second run beside one that goes on behind a cut.
func TestWorkersThatAreCutOffKeepTheirWorkWhileTheyHaveAMachine(t *testing.T) {
	for _, seed := range seeds(t, 24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sm := newSimulation(seed, 4, 8)
			sm.machineService.available = true
			sm.machineService.lag = time.Duration(seed%3) * time.Second
			sm.run(5 * time.Second)
			sm.submitLongJobs()
			sm.submitRandomJobs(40, 20*time.Second)
			for range 10 {
				sm.after(time.Duration(sm.random.Int64N(int64(30*time.Second))), sm.randomLeaderFault)
				sm.after(time.Duration(sm.random.Int64N(int64(30*time.Second))), sm.randomWorkerFault)
			}
			for range 24 {
				sm.after(time.Duration(sm.random.Int64N(int64(30*time.Second))), sm.randomWorkerCut)
			}
			sm.run(60 * time.Second)
			sm.failOnViolations(t)
		})
	}
}

// TestAListThatLeavesOutLivingWorkersEndsNone guards against lists of machines that are empty, old or incomplete.
func TestAListThatLeavesOutLivingWorkersEndsNone(t *testing.T) {
	cases := map[string]func(sm *simulation, silent *fakeWorker) []chutetask.WorkerID{
		"all": func(sm *simulation, _ *fakeWorker) []chutetask.WorkerID {
			var all []chutetask.WorkerID
			for _, name := range sm.workerNames() {
				all = append(all, chutetask.WorkerID(name))
			}
			return all
		},
		"the silent one and another": func(sm *simulation, silent *fakeWorker) []chutetask.WorkerID {
			left := []chutetask.WorkerID{silent.listing.ID}
			for _, k := range sm.sortedWorkers() {
				if k != silent && len(k.runs) > 0 {
					return append(left, k.listing.ID)
				}
			}
			return left
		},
	}
	for name, leftOut := range cases {
		t.Run(name, func(t *testing.T) {
			sm := newSimulation(1, 3, 4)
			sm.machineService.available = true
			sm.run(4 * time.Second)
			long := sm.clients.submit("normal", 20*time.Second, spreadGang(3))
			sm.clients.submit("normal", 20*time.Second, taskStep(8))
			sm.run(2 * time.Second)
			k := sm.workerOf(long)
			sm.machineService.leftOut = leftOut(sm, k)
			k.disconnected = true
			sm.run(3500 * time.Millisecond)
			k.disconnected = false
			sm.run(20 * time.Second)
			sm.failOnViolations(t)
			for id, starts := range long.starts {
				if starts != 1 {
					t.Errorf("%s was started %d times", id, starts)
				}
			}
		})
	}
}
