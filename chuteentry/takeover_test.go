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

func TestSuccessorStopsWorkThatWasCancelledMeanwhile(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 8)
	w.run(3 * time.Second)
	j := w.clients.submit("normal", 30*time.Second, chutegraph.Step{Count: 4, Request: oneTask(1).Request})
	w.run(time.Second)
	is.Equal(w.running(j), 4)
	w.kill(w.leader().name)
	w.clients.cancel(j)
	w.run(4 * time.Second)
	is.True(!j.cancelled.IsZero())
	is.Equal(w.running(j), 0)
	is.Equal(w.phase(j), "cancelled")
	w.check(t)
}

func TestAllHostsLosePowerWhileAWorkerLeaves(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 8)
	w.run(3 * time.Second)
	j := w.clients.submit("normal", 3*time.Second, oneTask(1))
	w.run(time.Second)
	w.workerOf(j).die(50 * time.Millisecond)
	for _, name := range w.hostNames() {
		w.kill(name)
	}
	w.run(15 * time.Second)
	is.Equal(w.phase(j), "completed")
	w.check(t)
}

// TestGangThatHasEndedIsNotResumed kills the leader as a gang ends. A worker that was started anew answers the successor
// with nothing, before the others tell of the end.
func TestGangThatHasEndedIsNotResumed(t *testing.T) {
	for seed := range uint64(40) {
		w := newWorld(seed, 3, 6)
		w.run(4 * time.Second)
		gang := w.clients.submit("normal", time.Second, gangOf(4, 8))
		for range 400 {
			w.run(5 * time.Millisecond)
			if len(gang.done) > 0 {
				break
			}
		}
		ended := w.now
		w.kill(w.leader().name)
		w.workers[w.workerNames()[seed%6]].restart()
		w.run(10 * time.Second)
		for id, at := range gang.started {
			if len(gang.done) == 4 && at.After(ended) {
				t.Errorf("seed %d: %s was started %s after its gang had ended", seed, id, at.Sub(ended))
			}
		}
		if phase := w.phase(gang); phase != "completed" {
			t.Errorf("seed %d: the job is %s", seed, phase)
		}
		w.check(t)
	}
}

func TestPlannedStopAnswersCallsBeforeItsEnd(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 2, 2)
	w.run(4 * time.Second)
	for _, h := range w.hosts {
		h.cut = true // the store's answers do not arrive
	}
	w.run(500 * time.Millisecond)
	answered := 0
	for i := range 6 {
		submission := chuteaction.SubmitJob{Spec: chutegraph.Spec{Steps: []chutegraph.Step{oneTask(1)}}}
		w.clients.call("normal", fmt.Sprintf("%016x", i), submission, func(a chuteaction.AnswerCall) {
			if a.Result.Code == chuteresult.StoreAnswerLost {
				answered++
			}
		})
	}
	w.run(100 * time.Millisecond)
	for _, h := range w.hosts {
		h.deliver(chuteaction.StopRequested{Timeout: time.Second})
	}
	w.run(time.Second)
	is.Equal(answered, 6)
}

func TestLargeHostsLead(t *testing.T) {
	end := map[string]func(h *fakeHost){
		"planned stop": func(h *fakeHost) { h.deliver(chuteaction.StopRequested{}) },
		"crash":        func(h *fakeHost) { h.dead = true },
	}
	for name, stop := range end {
		for seed := range uint64(20) {
			w := newWorld(seed, 0, 4)
			for i := range 12 {
				w.startHostOf(fmt.Sprintf("small-%02d", i), 0.2)
			}
			for i := range 3 {
				w.startHostOf(fmt.Sprintf("large-%d", i), 0.8)
			}
			w.run(4 * time.Second)
			for range 2 {
				leader := w.leader()
				if leader == nil || !strings.HasPrefix(leader.name, "large") {
					t.Fatalf("%s, seed %d: %v leads", name, seed, leader)
				}
				stop(leader)
				w.run(5 * time.Second)
			}
			if leader := w.leader(); leader == nil || !strings.HasPrefix(leader.name, "large") {
				t.Errorf("%s, seed %d: %v leads", name, seed, leader)
			}
		}
	}
}

// TestWorkMovesOnFromAWorkerThatLeaves takes a worker away at short notice, without a word at its end.
func TestWorkMovesOnFromAWorkerThatLeaves(t *testing.T) {
	cases := []struct {
		name   string
		length time.Duration
		saves  bool
		starts int
	}{
		{"ends in time", 1500 * time.Millisecond, false, 1},
		{"would be cut off", 5 * time.Second, false, 2},
		{"saves its progress", 5 * time.Second, true, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, 2, 4)
			w.run(4 * time.Second)
			step := oneTask(1)
			step.Checkpointing = c.saves
			j := w.clients.submit("normal", c.length, step)
			w.run(500 * time.Millisecond)
			k := w.workerOf(j)
			k.listing.Draining, k.listing.TimeToLeave = true, 2300*time.Millisecond
			k.list()
			w.after(2300*time.Millisecond, func() { k.die(4500 * time.Millisecond) })
			w.run(c.length + 3500*time.Millisecond) // the longest lease alone lasts 6 s
			is.Equal(len(j.done), 1)
			is.Equal(strings.Count(w.story(string(j.id)), "step starts"), c.starts)
			w.check(t)
		})
	}
}

// TestLargeHostsLeadAfterAnOutage starts all hosts anew while the large ones do not reach the store yet.
func TestLargeHostsLeadAfterAnOutage(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed, 0, 4)
		start := func(cut bool) {
			for i := range 12 {
				w.startHostOf(fmt.Sprintf("small-%02d", i), 0.2)
			}
			for i := range 3 {
				w.startHostOf(fmt.Sprintf("large-%d", i), 0.8).cut = cut
			}
		}
		start(false)
		w.run(4 * time.Second)
		for _, h := range w.hosts {
			h.dead = true
		}
		start(true)
		w.run(1300 * time.Millisecond)
		w.cutAll(false)
		w.run(5 * time.Second)
		if leader := w.leader(); leader == nil || !strings.HasPrefix(leader.name, "large") {
			t.Errorf("seed %d: %v leads", seed, leader)
		}
	}
}

func (w *world) cutAll(cut bool) {
	for _, h := range w.hosts {
		h.cut = cut
	}
}
