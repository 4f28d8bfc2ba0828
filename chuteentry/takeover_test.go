package chuteentry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteresult"
)

func TestSuccessorStopsJobCancelledDuringTakeover(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 3, 8)
	sm.run(3 * time.Second)
	j := sm.clients.submit("normal", 30*time.Second, chutegraph.Step{Count: 4, Request: taskStep(1).Request})
	sm.run(time.Second)
	is.Equal(sm.runningTasks(j), 4)
	sm.crashHost(sm.leader().name)
	sm.clients.cancel(j)
	sm.run(4 * time.Second)
	is.True(!j.cancelledAt.IsZero())
	is.Equal(sm.runningTasks(j), 0)
	is.Equal(sm.phase(j), "cancelled")
	sm.failOnViolations(t)
}

func TestAllHostsCrashWhileAWorkerVanishes(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 3, 8)
	sm.run(3 * time.Second)
	j := sm.clients.submit("normal", 3*time.Second, taskStep(1))
	sm.run(time.Second)
	sm.workerOf(j).crash(50 * time.Millisecond)
	for _, name := range sm.hostNames() {
		sm.crashHost(name)
	}
	sm.run(15 * time.Second)
	is.Equal(sm.phase(j), "completed")
	sm.failOnViolations(t)
}

// TestGangThatHasEndedIsNotResumed crashes the leader as a gang ends. A restarted worker reports no runs to the successor
// before the other workers report the end of the gang, which must not make the successor start the gang again.
func TestGangThatHasEndedIsNotResumed(t *testing.T) {
	for seed := range uint64(40) {
		sm := newSimulation(seed, 3, 6)
		sm.run(4 * time.Second)
		gang := sm.clients.submit("normal", time.Second, gangStep(4, 8))
		for range 400 {
			sm.run(5 * time.Millisecond)
			if len(gang.doneAt) > 0 {
				break
			}
		}
		ended := sm.now
		sm.crashHost(sm.leader().name)
		sm.workers[sm.workerNames()[seed%6]].restart()
		sm.run(10 * time.Second)
		for id, at := range gang.startedAt {
			if len(gang.doneAt) == 4 && at.After(ended) {
				t.Errorf("seed %d: %s was started %s after its gang had ended", seed, id, at.Sub(ended))
			}
		}
		if phase := sm.phase(gang); phase != "completed" {
			t.Errorf("seed %d: the job is %s", seed, phase)
		}
		sm.failOnViolations(t)
	}
}

func TestPlannedStopAnswersCallsBeforeItsEnd(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 2, 2)
	sm.run(4 * time.Second)
	for _, h := range sm.hosts {
		h.disconnected = true // requests to the store get no answer
	}
	sm.run(500 * time.Millisecond)
	answered := 0
	for i := range 6 {
		submission := chuteaction.SubmitJob{Spec: chutegraph.Spec{Steps: []chutegraph.Step{taskStep(1)}}}
		sm.clients.call("normal", fmt.Sprintf("%016x", i), submission, func(a chuteaction.AnswerCall) {
			if a.Result.Code == chuteresult.StoreAnswerLost {
				answered++
			}
		})
	}
	sm.run(100 * time.Millisecond)
	for _, h := range sm.hosts {
		h.deliver(chuteaction.StopRequested{Timeout: time.Second})
	}
	sm.run(time.Second)
	is.Equal(answered, 6)
}

func TestLargeHostsLead(t *testing.T) {
	endings := map[string]func(h *fakeHost){
		"planned stop": func(h *fakeHost) { h.deliver(chuteaction.StopRequested{}) },
		"crash":        func(h *fakeHost) { h.dead = true },
	}
	for name, stop := range endings {
		for seed := range uint64(20) {
			sm := newSimulation(seed, 0, 4)
			for i := range 12 {
				sm.startHostWithShare(fmt.Sprintf("small-%02d", i), 0.2)
			}
			for i := range 3 {
				sm.startHostWithShare(fmt.Sprintf("large-%d", i), 0.8)
			}
			sm.run(4 * time.Second)
			for range 2 {
				leader := sm.leader()
				if leader == nil || !strings.HasPrefix(leader.name, "large") {
					t.Fatalf("%s, seed %d: %v leads", name, seed, leader)
				}
				stop(leader)
				sm.run(5 * time.Second)
			}
			if leader := sm.leader(); leader == nil || !strings.HasPrefix(leader.name, "large") {
				t.Errorf("%s, seed %d: %v leads", name, seed, leader)
			}
		}
	}
}

// TestARollingRestartChangesTheLeaderAtMostTwice stops and starts all hosts in turn. The leader that is stopped must hand
// over to a host that has been restarted already, if there is one: each change of the leader delays all jobs.
func TestARollingRestartChangesTheLeaderAtMostTwice(t *testing.T) {
	for seed := range uint64(20) {
		sm := newSimulation(seed, 8, 4)
		sm.run(4 * time.Second)
		changes := 0
		for _, name := range sm.hostNames() {
			former := sm.leader()
			sm.hosts[name].deliver(chuteaction.StopRequested{})
			sm.run(time.Second)
			sm.hosts[name].dead = true
			sm.startHost(name)
			sm.run(time.Second)
			leader := sm.leader()
			if leader == nil {
				t.Fatalf("seed %d: nobody leads a second after the restart of %s", seed, name)
			}
			if leader != former {
				changes++
			}
		}
		if changes > 2 {
			t.Errorf("seed %d: the leader changed %d times", seed, changes)
		}
		sm.failOnViolations(t)
	}
}

// TestTasksMoveFromADrainingWorker removes a worker shortly after it announces its drain; the worker reports no end of
// its runs.
func TestTasksMoveFromADrainingWorker(t *testing.T) {
	cases := []struct {
		name          string
		duration      time.Duration
		checkpointing bool
		starts        int
	}{
		{"the run ends before the worker leaves", 1500 * time.Millisecond, false, 1},
		{"the run would end after the worker leaves", 5 * time.Second, false, 2},
		{"the run saves checkpoints", 5 * time.Second, true, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sm := newSimulation(1, 2, 4)
			sm.run(4 * time.Second)
			step := taskStep(1)
			step.Checkpointing = c.checkpointing
			j := sm.clients.submit("normal", c.duration, step)
			sm.run(500 * time.Millisecond)
			k := sm.workerOf(j)
			k.listing.Draining, k.listing.TimeToLeave = true, 2300*time.Millisecond
			k.publishListing()
			sm.after(2300*time.Millisecond, func() { k.crash(4500 * time.Millisecond) })
			sm.run(c.duration + 3500*time.Millisecond) // too short for a scheduler that waits for a lease of 6 s to expire
			is.Equal(len(j.doneAt), 1)
			is.Equal(strings.Count(sm.logLinesWith(string(j.id)), "step starts"), c.starts)
			sm.failOnViolations(t)
		})
	}
}

// TestLargeHostsLeadAfterAnOutage restarts all hosts; the large ones reach the store later than the small ones.
func TestLargeHostsLeadAfterAnOutage(t *testing.T) {
	for seed := range uint64(10) {
		sm := newSimulation(seed, 0, 4)
		start := func(cut bool) {
			for i := range 12 {
				sm.startHostWithShare(fmt.Sprintf("small-%02d", i), 0.2)
			}
			for i := range 3 {
				sm.startHostWithShare(fmt.Sprintf("large-%d", i), 0.8).disconnected = cut
			}
		}
		start(false)
		sm.run(4 * time.Second)
		for _, h := range sm.hosts {
			h.dead = true
		}
		start(true)
		sm.run(1300 * time.Millisecond)
		sm.setDisconnected(false)
		sm.run(5 * time.Second)
		if leader := sm.leader(); leader == nil || !strings.HasPrefix(leader.name, "large") {
			t.Errorf("seed %d: %v leads", seed, leader)
		}
	}
}

func (sm *simulation) setDisconnected(disconnected bool) {
	for _, h := range sm.hosts {
		h.disconnected = disconnected
	}
}
