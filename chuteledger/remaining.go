package chuteledger

import (
	"time"

	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// UnknownRemaining is the remaining time of a run whose end cannot be estimated.
const UnknownRemaining = 24 * time.Hour

// Remaining returns the expected time until a run ends by itself, negative if that has passed, and UnknownRemaining if
// it cannot be estimated.
func (t *Transition) Remaining(worker chutetask.WorkerID, r chutepool.Run, longRunning bool) time.Duration {
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
