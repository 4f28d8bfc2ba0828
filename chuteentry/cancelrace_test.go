package chuteentry_test

import (
	"fmt"
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetask"
)

// cancelRace is a cancellation of a job whose hand-in is on its way to the store.
type cancelRace struct {
	submission   writeFault    // of the first write of the job
	cancellation writeFault    // of the first write that cancels it
	delay        time.Duration // from the hand-in to the cancellation
	sameHost     bool          // both arrive at one host
	repeated     bool          // the hand-in is repeated after the answer to the cancellation
}

func (c cancelRace) String() string {
	return fmt.Sprintf("job %d, cancel %d after %s, same host %t, repeated %t", c.submission, c.cancellation, c.delay, c.sameHost, c.repeated)
}

// forEachCancelRace runs the test on all pairs of a cancellation and a hand-in.
func forEachCancelRace(t *testing.T, test func(t *testing.T, race cancelRace)) {
	t.Helper()
	for submission := range writeFaults {
		for cancellation := range writeFaults {
			for _, delay := range []time.Duration{0, 125 * time.Millisecond, 2500 * time.Millisecond} {
				for bits := range 4 {
					race := cancelRace{submission: submission, cancellation: cancellation, delay: delay, sameHost: bits&1 != 0, repeated: bits&2 != 0}
					t.Run(race.String(), func(t *testing.T) {
						t.Parallel()
						test(t, race)
					})
				}
			}
		}
	}
}

// chooseFault gives the first write of the job and the first one that cancels it their faults. A store that refuses writes does
// so for longer than the hosts repeat them.
func (c cancelRace) chooseFault() func(chuteaction.WriteRows) writeFault {
	seen := make(map[chuteaction.RowKey]bool)
	return func(f chuteaction.WriteRows) writeFault {
		var fault writeFault
		switch f.Put[0].Value.(type) {
		case chuteaction.SubmissionRow:
			fault = c.submission
		case chuteaction.CancelRow:
			fault = c.cancellation
		}
		if seen[f.Put[0].RowKey] && fault != writeRefused {
			return writeAnswered
		}
		seen[f.Put[0].RowKey] = true
		return fault
	}
}

// play hands a job in and cancels it until the cancellation is answered. It returns the job, with the time of that answer, and
// whether the last hand-in was accepted.
func (c cancelRace) play(sm *simulation) (j *fakeJob, accepted bool) {
	sm.store.chooseFault = c.chooseFault()
	sm.after(3*time.Second, func() { sm.store.chooseFault = nil })
	j = sm.clients.newJob("normal", 14*time.Second, taskStep(1))
	first, second := sm.hosts["host-0"], sm.hosts["host-1"]
	if c.sameHost {
		second = first
	}
	handIn := func(h *fakeHost) {
		sm.clients.callAt(h, j.queue, string(j.id), chuteaction.SubmitJob{Spec: j.spec}, func(a chuteaction.AnswerCall) {
			accepted = a.Result.Code.Class() == chuteresult.ClassRan
		})
	}
	handIn(first)
	sm.run(c.delay)
	sm.clients.cancelAt(second, j)
	sm.runUntil(20*time.Second, func() bool { return !j.cancelledAt.IsZero() })
	if c.repeated {
		handIn(sm.hosts["host-2"])
	}
	sm.run(10 * time.Second)
	return j, accepted
}

// onItsWay is the longest time for a cancellation to reach the leader and for an order to reach its worker.
const onItsWay = 50 * time.Millisecond

// TestNoJobStartsOnceItsCancellationWasAnswered guards against a hand-in that was on its way when its job was cancelled, and that is
// recorded, and the job run, after the client was told that there is no such job.
func TestNoJobStartsOnceItsCancellationWasAnswered(t *testing.T) {
	forEachCancelRace(t, func(t *testing.T, race cancelRace) {
		sm := newSimulation(1, 3, 2)
		sm.run(3 * time.Second)
		j, accepted := race.play(sm)
		if j.cancelledAt.IsZero() {
			t.Fatal("the cancellation got no final answer")
		}
		for id, at := range j.startedAt {
			if at.Sub(j.cancelledAt) > onItsWay {
				t.Errorf("%s started %s after the answer to the cancellation", id, at.Sub(j.cancelledAt))
			}
		}
		if n := sm.runningTasks(j); n > 0 {
			t.Errorf("%d tasks run %s after the answer to the cancellation", n, sm.now.Sub(j.cancelledAt))
		}
		sm.checkShownAsCancelled(t, j, accepted)
		sm.failOnViolations(t)
	})
}

// checkShownAsCancelled checks that an accepted job is shown as cancelled, and that no other state is shown of any.
func (sm *simulation) checkShownAsCancelled(t *testing.T, j *fakeJob, accepted bool) {
	t.Helper()
	shown, known := chutetask.Phase(0), false
	sm.clients.show(j, func(phase chutetask.Phase, ok bool) { shown, known = phase, ok })
	sm.run(time.Second)
	switch {
	case known && shown != chutetask.PhaseCancelled:
		t.Errorf("the cancelled job is shown as %s", shown)
	case !known && accepted:
		t.Error("the accepted job is not known")
	}
}
