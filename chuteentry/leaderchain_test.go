package chuteentry_test

import (
	"fmt"
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
)

// maxLeadTime is how long each leader of a chain leads at most.
const maxLeadTime = 100 * time.Millisecond

// losses are the ways in which a leader of a chain is lost. It may lead again later.
var losses = []struct {
	name string
	lose func(l *fakeHost)
}{
	{"crash", (*fakeHost).restartAtOnce},
	{"crash without the answer of its write", func(l *fakeHost) {
		l.sim.store.loseNextAnswer()
		l.sim.after(storeDelay, l.restartAtOnce)
	}},
	{"freeze", func(l *fakeHost) {
		d := 2*time.Second + l.sim.jittered(2*time.Second)
		l.sim.disturb(d)
		l.pause(d)
	}},
	{"cut off from the store", func(l *fakeHost) {
		d := 10 * time.Second
		l.sim.disturb(d)
		l.disconnected = true
		l.sim.after(d, func() { l.disconnected = false })
	}},
	{"planned stop", func(l *fakeHost) {
		l.deliver(chuteaction.StopRequested{})
		l.sim.after(200*time.Millisecond, l.restartAtOnce)
	}},
}

// restartAtOnce ends the host's process, and starts another on the host.
func (h *fakeHost) restartAtOnce() {
	sm := h.sim
	if h.dead {
		return
	}
	h.dead = true
	sm.disturb(0)
	sm.after(sm.jittered(40*time.Millisecond), func() { sm.startHost(h.name) })
}

// loseNextAnswer lets the store commit the next write without an answer.
func (s *fakeStore) loseNextAnswer() {
	s.chooseFault = func(chuteaction.WriteRows) writeFault {
		s.chooseFault = nil
		return writeLost
	}
}

// loseLeaders loses so many leaders, each a while after it took over.
func (sm *simulation) loseLeaders(count int, lose func(l *fakeHost)) {
	l := sm.recordedLeader()
	switch {
	case count == 0:
	case l == nil:
		sm.after(time.Millisecond, func() { sm.loseLeaders(count, lose) })
	default:
		sm.after(time.Duration(sm.random.Int64N(int64(maxLeadTime))), func() {
			if l.leads() {
				sm.disturb(0)
				lose(l)
			}
			sm.afterLeader(l, func() { sm.loseLeaders(count-1, lose) })
		})
	}
}

// recordedLeader returns the host that leads by the leaders' table, or nil if it does not.
func (sm *simulation) recordedLeader() *fakeHost {
	row, _ := sm.store.rows[chuteaction.LeaderKey()].Value.(chuteaction.LeaderRow)
	if h := sm.hosts[row.Host]; h != nil && h.process == row.Process && h.leads() {
		return h
	}
	return nil
}

// afterLeader calls then once the process does not lead any more, or another has taken over.
func (sm *simulation) afterLeader(l *fakeHost, then func()) {
	if sm.recordedLeader() == l {
		sm.after(time.Millisecond, func() { sm.afterLeader(l, then) })
		return
	}
	then()
}

// workerFaults are faults of workers, and of the watches of their table, around a chain of leaders.
var workerFaults = []struct {
	name   string
	strike func(sm *simulation)
}{
	{"nothing else", func(*simulation) {}},
	{"a rack cut off", func(sm *simulation) { sm.cutOffAll(sm.workersLike(sameRack)) }},
	{"some workers cut off", func(sm *simulation) { sm.cutOffAll(sm.randomShare(0.2)) }},
	{"some workers restart", func(sm *simulation) { sm.eachSoon(sm.randomShare(0.2), (*fakeWorker).restartOnce) }},
	{"some workers come back as others", func(sm *simulation) {
		sm.eachSoon(sm.randomShare(0.1), func(k *fakeWorker) {
			if !k.dead {
				k.end()
				k.replace()
			}
		})
	}},
	{"some workers drain and leave", func(sm *simulation) {
		sm.disturb(6 * time.Second)
		sm.eachSoon(sm.randomShare(0.1), func(k *fakeWorker) { k.leaveAfter(2 * time.Second) })
	}},
	{"some workers crash for good", func(sm *simulation) { sm.eachSoon(sm.randomShare(0.1), (*fakeWorker).end) }},
	{"orders get no answer", func(sm *simulation) {
		sm.disturb(10 * time.Second)
		sm.eachSoon(sm.randomShare(0.3), func(k *fakeWorker) {
			k.lostOrderRate = 0.5
			sm.after(2*time.Second, func() { k.lostOrderRate = 0 })
		})
	}},
	{"watches fall behind", func(sm *simulation) {
		d := sm.jittered(2 * time.Second)
		sm.disturb(d)
		sm.store.hidesChanges = true
		sm.after(d, func() { sm.store.hidesChanges = false })
	}},
	{"watches lose their history", func(sm *simulation) {
		sm.disturb(0)
		sm.store.oldestVersion = sm.store.version
	}},
}

// cutOffAll cuts the workers off from hosts and store for a while.
func (sm *simulation) cutOffAll(workers []*fakeWorker) {
	d := 2*time.Second + sm.jittered(4*time.Second)
	sm.disturb(d)
	for _, k := range workers {
		k.silence(d)
	}
}

// eachSoon acts on each of the workers within a second.
func (sm *simulation) eachSoon(workers []*fakeWorker, act func(k *fakeWorker)) {
	for _, k := range workers {
		d := time.Duration(sm.random.Int64N(int64(time.Second)))
		sm.disturb(d + restartTime)
		sm.after(d, func() { act(k) })
	}
}

// TestJobsWithRoomAreNotKeptWaitingAfterAChainOfLeaders guards against jobs that have nothing running while there is room for them
// twice over, after leaders that were lost soon after they took over.
func TestJobsWithRoomAreNotKeptWaitingAfterAChainOfLeaders(t *testing.T) {
	for _, seed := range seeds(t, 10) {
		loss := losses[seed%uint64(len(losses))]
		fault := workerFaults[seed/uint64(len(losses))%uint64(len(workerFaults))]
		t.Run(fmt.Sprintf("seed %d: %s, %s", seed, loss.name, fault.name), func(t *testing.T) {
			t.Parallel()
			sm := newTightSimulation(seed)
			sm.submitMixedTraffic(0.5, 45*time.Second)
			make(idleTasks).watch(sm)
			sm.run(10 * time.Second)
			sm.after(sm.jittered(2*time.Second), func() { fault.strike(sm) })
			sm.after(time.Second, func() { sm.loseLeaders(2+sm.random.IntN(6), loss.lose) })
			sm.run(38 * time.Second)
			sm.failOnViolations(t)
		})
	}
}
