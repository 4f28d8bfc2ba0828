package chuterunner

import (
	"time"

	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// UnknownRemaining stands for the time that work goes on of which nothing tells its end.
	UnknownRemaining = 24 * time.Hour
	// moveMargin is how long before a worker may leave its work is stopped, so that the ends are known and what was done
	// is saved.
	moveMargin = 700 * time.Millisecond
	// shortNotice is the longest notice that counts as short: a worker that leaves at short notice is gone without a word,
	// others go on until their work has ended, or tell of its end.
	shortNotice = 5 * time.Second
)

// Remaining returns the expected time until a run ends by itself, negative if that has passed.
func (t *Transition) Remaining(worker chutetask.WorkerID, r chutepool.Run, lasting bool) time.Duration {
	if r.Phase != chutepool.RunStarted || r.ProgressReadAt.IsZero() || lasting {
		return UnknownRemaining
	}
	rate, known := t.Speeds.Rate(r.ID.Task.StepID, worker, t.Now)
	if !known {
		return UnknownRemaining
	}
	left := float64(100-r.Percent)/rate - t.Now.Sub(r.ProgressReadAt).Seconds()
	return time.Duration(min(left, UnknownRemaining.Seconds()) * float64(time.Second))
}

// MoveOn stops work on a worker that leaves at short notice and before the work ends, so that it goes on elsewhere: work
// that saves nothing at once, all other at the last moment. A worker that vanishes with its work holds it up until its
// lease is over.
func (t *Transition) StopBeforeLeave(w chutepool.Worker) {
	if !w.Draining || w.LeavesAt.IsZero() || w.TimeToLeave > shortNotice {
		return
	}
	left := w.LeavesAt.Sub(t.Now)
	for _, r := range w.Runs() {
		j, ok := t.Job(r.ID.Task.Job)
		if !ok || r.Phase != chutepool.RunStarted {
			continue
		}
		step := j.Step(r.ID.Task.StepID)
		remaining := t.Remaining(w.ID, r, step.LongRunning)
		hopeless := !step.Checkpointing && !step.LongRunning && remaining < UnknownRemaining
		if remaining > left && (left <= moveMargin || hopeless) {
			t.StopRun(w.ID, r.ID, "worker-leaves")
		}
	}
}
