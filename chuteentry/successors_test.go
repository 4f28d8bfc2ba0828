package chuteentry_test

import (
	"fmt"
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

// finalLeaseDeclared reports whether the leader's row declares the lease of a worker final.
func (sm *simulation) finalLeaseDeclared() bool {
	row, _ := sm.store.rows[chuteaction.LeaderKey()].Value.(chuteaction.LeaderRow)
	return len(row.Handover.FinalLeases) > 0
}

// loseLeader ends the leader's process for good.
func (sm *simulation) loseLeader() {
	if l := sm.leader(); l != nil {
		l.dead = true
		delete(sm.hosts, l.name)
	}
}

// longestLease is how long a lease may last by the hosts' clocks, and longestUnconfirmedLease how long after the leader's latest
// write.
const (
	longestLease            = 6400 * time.Millisecond
	longestUnconfirmedLease = 14700 * time.Millisecond
	// leaderless is the time that is allowed for takeovers, and for leases that were extended as their worker was lost.
	leaderless = 4 * time.Second
)

// TestTheWaitForALostWorkerDoesNotBeginAnewWithEachTakeover guards against work that stands still beside idle workers as long as
// leaders follow each other, although none of them has reached its worker.
func TestTheWaitForALostWorkerDoesNotBeginAnewWithEachTakeover(t *testing.T) {
	cases := []struct {
		name     string
		lose     func(k *fakeWorker)
		declared bool          // the first leader has declared the worker's lease final before it is lost
		wait     time.Duration // longest time from the loss of the worker to the next run
	}{
		{"crashed, unnoticed", func(k *fakeWorker) { k.crash(time.Hour) }, false, longestUnconfirmedLease},
		{"crashed, noticed", func(k *fakeWorker) { k.crash(time.Hour) }, true, longestLease},
		{"cut off, unnoticed", func(k *fakeWorker) { k.silence(time.Hour) }, false, longestUnconfirmedLease},
		{"cut off, noticed", func(k *fakeWorker) { k.silence(time.Hour) }, true, longestLease},
		{"leaves at short notice", func(k *fakeWorker) { k.leaveAtShortNotice() }, true, longestLease},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, seed := range seeds(t, 6) {
				sm := newSimulation(seed, 9, 4)
				sm.run(4 * time.Second)
				step := taskStep(1)
				step.Checkpointing = true // its run is stopped as late as possible before its worker leaves
				j := sm.clients.submit("normal", time.Minute, step)
				sm.run(2 * time.Second)
				lost := sm.now
				c.lose(sm.workerOf(j))
				if c.declared {
					sm.runUntil(longestLease, sm.finalLeaseDeclared)
				}
				for range 6 {
					sm.loseLeader()
					sm.run(3500 * time.Millisecond)
				}
				for id, at := range j.startedAt {
					if waited := at.Sub(lost); waited > c.wait+leaderless || waited < 0 {
						t.Errorf("seed %d: %s ran again after %s, not %s", seed, id, waited, c.wait)
					}
				}
				sm.failOnViolations(t)
			}
		})
	}
}

// leaveAtShortNotice drains the worker for two seconds; then it is gone, and its listing expires.
func (k *fakeWorker) leaveAtShortNotice() { k.leaveAfter(2 * time.Second) }

// leaveAfter does so for the time.
func (k *fakeWorker) leaveAfter(notice time.Duration) {
	k.leavesAt = k.sim.now.Add(notice)
	k.listing.Draining = true
	k.publishListing()
	k.sim.after(notice, func() { k.crash(time.Hour) })
}

// TestASuccessorStopsTheRunsOfALeavingWorkerInTime guards against runs that vanish with their worker, since the entry that tells when
// it leaves was older than the next leader thought.
func TestASuccessorStopsTheRunsOfALeavingWorkerInTime(t *testing.T) {
	const notice = 4 * time.Second
	for _, seed := range seeds(t, 12) {
		sm := newSimulation(seed, 4, 4)
		sm.run(4 * time.Second)
		step := taskStep(1)
		step.Checkpointing = true
		j := sm.clients.submit("normal", time.Minute, step)
		sm.run(2*time.Second + sm.jittered(time.Second))
		leaves := sm.now.Add(notice)
		sm.workerOf(j).leaveAfter(notice)
		sm.run(500 * time.Millisecond)
		sm.loseLeader()
		sm.run(6 * time.Second)
		for id, at := range j.startedAt {
			if at.After(leaves) || j.starts[id] < 2 {
				t.Errorf("seed %d: %s was started %d times, the last time %s after its worker had left", seed, id, j.starts[id], at.Sub(leaves))
			}
		}
		sm.failOnViolations(t)
	}
}

// TestSuccessiveLeadersRunNothingTwice guards against leases that a leader extends although its row declares them final, and leases
// that a successor takes as expired too early.
func TestSuccessiveLeadersRunNothingTwice(t *testing.T) {
	for _, seed := range seeds(t, 24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sm := newSimulation(seed, 4, 8)
			sm.run(5 * time.Second)
			sm.submitLongJobs()
			sm.submitRandomJobs(40, 20*time.Second)
			for range 16 {
				sm.after(time.Duration(sm.random.Int64N(int64(30*time.Second))), sm.randomLeaderFault)
			}
			for range 24 {
				sm.after(time.Duration(sm.random.Int64N(int64(30*time.Second))), sm.randomWorkerCut)
			}
			sm.run(60 * time.Second)
			sm.failOnViolations(t)
		})
	}
}

// randomLeaderFault ends or delays the leader, or cuts it off from the store. Some of its hosts do not come back, and others come in
// their place.
func (sm *simulation) randomLeaderFault() {
	l := sm.leader()
	if l == nil {
		return
	}
	span := sm.jittered(4 * time.Second)
	switch sm.random.IntN(5) {
	case 0:
		sm.crashHost(l.name)
	case 1:
		l.dead = true
		delete(sm.hosts, l.name)
		sm.lastNumber++
		name := fmt.Sprintf("host-%d", 10+sm.lastNumber)
		sm.after(span, func() { sm.startHost(name) })
	case 2:
		l.pause(span)
	case 3:
		l.disconnected = true
		sm.after(2*span, func() { l.disconnected = false })
	case 4:
		l.deliver(chuteaction.StopRequested{})
		sm.after(time.Second, func() {
			if sm.hosts[l.name] == l {
				sm.crashHost(l.name)
			}
		})
	}
}

// randomWorkerCut cuts a worker off for a while, from all hosts or all but the leader, and from the store or not.
func (sm *simulation) randomWorkerCut() {
	k := sm.randomWorker()
	if k.dead || k.disconnected || k.reachedBy != nil {
		return
	}
	span := sm.jittered(8 * time.Second)
	k.offStore = sm.chance(0.5)
	if l := sm.leader(); l != nil && sm.chance(0.5) {
		k.reachedBy = l
	} else {
		k.disconnected = true
	}
	sm.after(span, func() { k.disconnected, k.offStore, k.reachedBy = false, false, nil })
}

// TestAWorkerThatIsCutOffFromTheStoreKeepsItsWorkOverATakeover guards against work that ends with its lease, since the next leader does
// not know the address of a worker without an entry.
func TestAWorkerThatIsCutOffFromTheStoreKeepsItsWorkOverATakeover(t *testing.T) {
	for _, seed := range seeds(t, 6) {
		sm := newSimulation(seed, 5, 4)
		sm.run(4 * time.Second)
		j := sm.clients.submit("normal", 25*time.Second, taskStep(1))
		sm.run(time.Second)
		sm.workerOf(j).offStore = true
		sm.run(8 * time.Second) // its entry has expired
		for range 3 {
			sm.loseLeader()
			sm.run(4 * time.Second)
		}
		sm.run(8 * time.Second)
		if phase := sm.phase(j); phase != "completed" {
			t.Errorf("seed %d: the job is %s", seed, phase)
		}
		for id, starts := range j.starts {
			if starts != 1 {
				t.Errorf("seed %d: %s was started %d times", seed, id, starts)
			}
		}
		sm.failOnViolations(t)
	}
}
