package chuteentry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuterow"
	"monsoonchute.example/monsoonchute/chutetask"
)

// rejectRowsOf makes the store reject each row with progress of the job that has more bytes than that.
func (sm *simulation) rejectRowsOf(j *fakeJob, maxBytes int) {
	sm.store.rejects = func(r chuteaction.Row) bool {
		if r.Table != chuteaction.TableProgress || chuteaction.JobOfProgressKey(r.Key) != j.id {
			return false
		}
		body, err := chuterow.Encode(r.Value)
		return err != nil || len(body) > maxBytes
	}
}

// TestARowThatTheStoreRejectsHoldsUpNoOtherJob guards against a leader that writes the same rows again and again, those of all
// other jobs among them, since the store takes one of them never.
func TestARowThatTheStoreRejectsHoldsUpNoOtherJob(t *testing.T) {
	forEachSeed(t, 10, func(t *testing.T, sm *simulation) {
		var others []*fakeJob
		for range 6 {
			others = append(others, sm.clients.submit("normal", time.Second, taskStep(1), taskStep(1)))
		}
		rejected := sm.clients.submit("normal", time.Second, taskStep(1))
		sm.rejectRowsOf(rejected, 0)
		for range 6 {
			others = append(others, sm.clients.submit("normal", time.Second, taskStep(1), taskStep(1)))
		}
		sm.run(6 * time.Second)
		sm.checkRecorded(t, chutetask.PhaseCompleted, others...)
		is.New(t).Equal(len(rejected.startedAt), 0)
		later := sm.clients.submit("urgent", time.Second, taskStep(1))
		sm.run(3 * time.Second)
		sm.checkRecorded(t, chutetask.PhaseCompleted, later)
		sm.store.rejects = nil
		sm.run(25 * time.Second)
		sm.checkRecorded(t, chutetask.PhaseCompleted, rejected)
		sm.failOnViolations(t)
	})
}

// TestWorkOfAJobThatIsSetAsideIsNeitherLostNorRepeated guards against an end that is acknowledged although the store has rejected the
// row that tells of it, so that a later leader runs the task again.
func TestWorkOfAJobThatIsSetAsideIsNeitherLostNorRepeated(t *testing.T) {
	forEachSeed(t, 20, func(t *testing.T, sm *simulation) {
		step := taskStep(1)
		step.Count = 6
		aside := sm.clients.submit("normal", 2*time.Second, step)
		other := sm.clients.submit("normal", 2*time.Second, step)
		sm.run(time.Second)
		is.New(t).True(len(aside.startedAt) > 0)
		sm.rejectRowsOf(aside, 0)
		sm.run(4 * time.Second)
		sm.checkRecorded(t, chutetask.PhaseCompleted, other)
		sm.checkRecorded(t, chutetask.PhaseRunning, aside)
		sm.crashLeader()
		sm.run(6 * time.Second)
		sm.store.rejects = nil
		sm.run(30 * time.Second)
		sm.checkRecorded(t, chutetask.PhaseCompleted, aside)
		sm.failOnViolations(t)
	})
}

// TestRowsThatAreRejectedForTheirSizeBecomeSmaller guards against a job that stays set aside although its progress would fit in
// more rows.
func TestRowsThatAreRejectedForTheirSizeBecomeSmaller(t *testing.T) {
	wide := chutegraph.Step{Count: 400, Request: chutecapacity.Resources{Processor: 600, Memory: 10}}
	forEachSeed(t, 4, func(t *testing.T, sm *simulation) {
		j := sm.clients.submit("normal", time.Second, wide)
		sm.rejectRowsOf(j, 5000)
		sm.run(time.Minute)
		sm.checkRecorded(t, chutetask.PhaseCompleted, j)
		sm.failOnViolations(t)
	})
}
