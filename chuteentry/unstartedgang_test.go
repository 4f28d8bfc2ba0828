package chuteentry_test

import (
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// allActive reports whether the job's tasks are all recorded with a run.
func (sm *simulation) allActive(j *fakeJob) bool {
	job, ok := sm.recorded(j)
	job.ForEachTask(func(_ chutegraph.TaskID, task chutetask.Task) { ok = ok && task.Phase == chutetask.TaskActive })
	return ok
}

// TestAGangThatNeverStartedKeepsNoWorkersFromOthersWhileOneIsSilent guards against workers that stand idle after a takeover, since the
// former leader recorded a gang on them without ordering its start, and the worker of another member does not answer.
func TestAGangThatNeverStartedKeepsNoWorkersFromOthersWhileOneIsSilent(t *testing.T) {
	const settled = 3 * time.Second
	cases := []struct {
		name      string
		end       func(sm *simulation)
		takeovers int
	}{
		{"a restart of the leader", (*simulation).crashLeader, 0},
		{"the loss of the leader", (*simulation).loseLeader, 0},
		{"several losses of the leader", (*simulation).loseLeader, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, seed := range seeds(t, 6) {
				sm := newSimulation(seed, 9, 8)
				sm.run(4 * time.Second)
				gang := sm.clients.submit("normal", 5*time.Second, gangStep(6, 8))
				for !sm.allActive(gang) {
					sm.run(time.Millisecond)
				}
				job, _ := sm.recorded(gang)
				c.end(sm)
				sm.workers[string(job.Tasks(chutegraph.StepID{Job: gang.id})[seed%6].Worker)].silence(time.Hour)
				for range c.takeovers {
					sm.runUntil(5*time.Second, func() bool { return sm.leader() != nil })
					sm.run(900 * time.Millisecond)
					c.end(sm)
				}
				sm.runUntil(5*time.Second, func() bool { return sm.leader() != nil })
				other := sm.clients.submit("normal", 5*time.Second, gangStep(3, 8))
				led := sm.now
				sm.runUntil(30*time.Second, func() bool { return len(other.starts) > 0 })
				if waited := sm.now.Sub(led); waited > settled {
					t.Errorf("seed %d: a gang of 3 has waited %s beside 7 idle workers", seed, waited)
				}
				sm.failOnViolations(t)
			}
		})
	}
}
