package chuteentry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuterow"
	"monsoonchute.example/monsoonchute/chutetask"
)

// TestProgressFitsInARowHoweverManyTasksMeetCrashes guards against a row that the store refuses again and again, so that nothing
// is recorded any more.
func TestProgressFitsInARowHoweverManyTasksMeetCrashes(t *testing.T) {
	wide := chutegraph.Step{Count: 1000, Request: chutecapacity.Resources{Processor: 600, Memory: 10}}
	forEachSeed(t, 10, func(t *testing.T, sm *simulation) {
		sm.clients.submit("normal", 12*time.Second, wide)
		sm.run(5 * time.Second)
		for range 3 {
			for _, k := range sm.sortedWorkers() {
				k.restartOnce()
			}
			sm.run(3 * time.Second)
			sm.checkRowSizes(t)
			sm.run(3 * time.Second)
		}
	})
}

// checkRowSizes reports rows of progress that are larger than the store takes.
func (sm *simulation) checkRowSizes(t *testing.T) {
	t.Helper()
	for key, row := range sm.store.rows {
		if key.Table != chuteaction.TableProgress && key.Table != chuteaction.TableLeaders {
			continue
		}
		if body, err := chuterow.Encode(row.Value); err != nil || len(body) > chutegraph.MaxRowBytes {
			t.Errorf("%v takes %d bytes, error %v", key, len(body), err)
		}
	}
}

// TestALargeJobIsRecordedWhateverTheLengthOfWorkerIDs guards against a row that the store refuses since the ids of workers are longer
// than usual, so that no job of anybody goes on.
func TestALargeJobIsRecordedWhateverTheLengthOfWorkerIDs(t *testing.T) {
	for _, length := range []int{36, 200} {
		t.Run(fmt.Sprintf("%d_bytes", length), func(t *testing.T) {
			sm := newSimulation(1, 3, 0)
			for i := range 24 {
				sm.addWorker(fmt.Sprintf("%0*d", length, i), i)
			}
			sm.run(4 * time.Second)
			large := sm.clients.submit("normal", 12*time.Second, largestStep())
			sm.run(4 * time.Second)
			small := sm.clients.submit("urgent", 500*time.Millisecond, taskStep(1))
			sm.run(5 * time.Second)
			sm.checkRecorded(t, chutetask.PhaseCompleted, small)
			sm.checkRowSizes(t)
			sm.runUntil(10*time.Minute, func() bool { return sm.ended(large) })
			sm.checkRecorded(t, chutetask.PhaseCompleted, large)
			sm.failOnViolations(t)
		})
	}
}

// TestCrashesLeaveRoomForTasksThatHaveNotRun guards against a row that records of crashes have filled, so that the store refuses it
// once the rest of the job's tasks start.
func TestCrashesLeaveRoomForTasksThatHaveNotRun(t *testing.T) {
	sm := newSimulation(1, 3, 0)
	for i := range 8 {
		sm.addWorker(fmt.Sprintf("i-%017x", i), i)
	}
	sm.run(4 * time.Second)
	large := sm.clients.submit("normal", 12*time.Second, largestStep())
	sm.run(4 * time.Second)
	for _, k := range sm.sortedWorkers() {
		k.restartOnce()
	}
	sm.run(5 * time.Second)
	for i := range 16 {
		sm.addWorker(fmt.Sprintf("i-%017x", 8+i), 8+i)
	}
	sm.run(3 * time.Second)
	small := sm.clients.submit("urgent", 500*time.Millisecond, taskStep(1))
	sm.run(5 * time.Second)
	sm.checkRecorded(t, chutetask.PhaseCompleted, small)
	sm.checkRowSizes(t)
	sm.runUntil(10*time.Minute, func() bool { return sm.ended(large) })
	sm.checkRecorded(t, chutetask.PhaseCompleted, large)
}

// largestStep returns about the largest step of which a job is accepted. Each worker holds 64 of its tasks.
func largestStep() chutegraph.Step {
	capacity := fullCapacity()
	return chutegraph.Step{Count: 1258, Request: chutecapacity.Resources{Processor: capacity.Processor / 64, Memory: 1}}
}

// TestOverlappingOccurrencesOutgrowNoRow guards against a scheduled job whose progress the store refuses for its size, so that no job
// of anybody goes on.
func TestOverlappingOccurrencesOutgrowNoRow(t *testing.T) {
	long := taskStep(0)
	long.After = []int{0}
	wide := chutegraph.Step{Count: 71, Request: chutecapacity.Resources{Processor: 10, Memory: 1}}
	gang := wide
	gang.Gang = true
	cases := []struct {
		name        string
		steps       []chutegraph.Step
		first, last time.Duration // durations of the tasks
	}{
		{"a long task after many", []chutegraph.Step{wide, long}, 50 * time.Millisecond, 15 * time.Second},
		{"long gangs", []chutegraph.Step{gang, long}, 8 * time.Second, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sm := newSimulation(1, 3, 8)
			sm.run(4 * time.Second)
			j := sm.clients.newJob("low", c.last, c.steps...)
			j.firstStep = c.first
			j.spec.Recurrence = chutegraph.Recurrence{Count: 80, Start: time.Duration(sm.now.UnixNano()) + time.Second, Interval: 250 * time.Millisecond}
			sm.clients.trySubmit(j, 0)
			var others []*fakeJob
			for range 20 {
				others = append(others, sm.clients.submit("urgent", 500*time.Millisecond, taskStep(1)))
				sm.run(time.Second)
			}
			sm.checkRowSizes(t)
			sm.run(10 * time.Second)
			sm.checkRecorded(t, chutetask.PhaseCompleted, others...)
			sm.runUntil(10*time.Minute, func() bool { return sm.ended(j) })
			sm.checkRecorded(t, chutetask.PhaseCompleted, j)
			sm.failOnViolations(t)
		})
	}
}

// TestTheLeadersRowHasRoomForAnyNumberOfSilentWorkers guards against a leader that records nothing any more since its own row names so
// many workers that the store refuses it.
func TestTheLeadersRowHasRoomForAnyNumberOfSilentWorkers(t *testing.T) {
	sm := newSimulation(1, 3, 4)
	var silent []*fakeWorker
	for i := range 340 {
		name := fmt.Sprintf("%0200d", i)
		sm.addWorker(name, i)
		silent = append(silent, sm.workers[name])
	}
	sm.run(4 * time.Second)
	whole := chutegraph.Step{Count: 344, Request: chutecapacity.Resources{Processor: 40_000, Memory: 1}}
	large := sm.clients.submit("normal", 30*time.Second, whole)
	sm.run(4 * time.Second)
	epoch := sm.recordedEpoch()
	for _, k := range silent {
		k.cutOff(7 * time.Second)
	}
	sm.run(3 * time.Second)
	small := sm.clients.submit("urgent", 500*time.Millisecond, chutegraph.Step{Count: 1, Request: chutecapacity.Resources{Processor: 1}})
	sm.run(3 * time.Second)
	sm.checkRecorded(t, chutetask.PhaseCompleted, small)
	sm.checkRowSizes(t)
	is.New(t).Equal(sm.recordedEpoch(), epoch)
	sm.crashLeader()
	sm.runUntil(10*time.Minute, func() bool { return sm.ended(large) })
	sm.checkRecorded(t, chutetask.PhaseCompleted, large)
	sm.failOnViolations(t)
}

// recordedEpoch returns the epoch of the leader's row in the store.
func (sm *simulation) recordedEpoch() int64 {
	row, _ := sm.store.rows[chuteaction.LeaderKey()].Value.(chuteaction.LeaderRow)
	return row.Epoch
}
