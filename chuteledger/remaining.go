package chuteledger

import (
	"time"

	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
	"monsoonchute.example/monsoonchute/chuteurgency"
)

// UnknownRemaining is the remaining time of a run whose end cannot be estimated.
const UnknownRemaining = 24 * time.Hour

// Remaining returns the expected time until a run ends by itself, negative if that has passed, and UnknownRemaining if
// it cannot be estimated.
func (t *Transition) Remaining(worker chutetask.WorkerID, r chutepool.Run, longRunning bool) time.Duration {
	left := t.RemainingByProgress(worker, r, longRunning)
	if longRunning || r.Phase != chutepool.RunStarted || left >= 0 && left < UnknownRemaining {
		return left
	}
	if tail, ok := t.tailRemaining(r); ok {
		return tail
	}
	return left
}

// RemainingByProgress returns the same by the run's own progress alone. It is to be used where a run is stopped for it, since the mean
// of the tail lies beyond the end of most runs.
func (t *Transition) RemainingByProgress(worker chutetask.WorkerID, r chutepool.Run, longRunning bool) time.Duration {
	if r.Phase != chutepool.RunStarted || r.ProgressReadAt.IsZero() || longRunning {
		return UnknownRemaining
	}
	rate, known := t.Speeds.Rate(r.ID.Task.StepID, worker, t.Now)
	if !known {
		return UnknownRemaining
	}
	left := float64(100-r.Percent)/rate - t.Now.Sub(r.ProgressReadAt).Seconds()
	return time.Duration(min(left, UnknownRemaining.Seconds()) * float64(time.Second))
}

// tailRemaining returns the expected time until the end of a run by how long runs of its queue have taken, for a run without a known
// rate or past its expected end. It returns false if that cannot be told, or if its job has no objective, so that none is waited for.
func (t *Transition) tailRemaining(r chutepool.Run) (time.Duration, bool) {
	j, ok := t.Job(r.ID.Task.Job)
	if !ok || r.Inherited || r.StartedAt.IsZero() || r.ID.Number > 1 && r.Checkpoint != "" {
		return 0, false
	}
	if chuteurgency.Objective(j.Spec, j.Stretch, j.Target) == 0 {
		return 0, false
	}
	return t.Runtimes.Remaining(j.Queue, j.Step(r.ID.Task.StepID).Estimate, t.Now.Sub(r.StartedAt))
}
