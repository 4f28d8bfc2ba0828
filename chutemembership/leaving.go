package chutemembership

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
)

const (
	// leaveMargin is the time before a worker's earliest departure at which the scheduler stops its runs, so that the worker
	// can save their progress and report their ends.
	leaveMargin = 700 * time.Millisecond
	// maxShortNotice is the longest notice that counts as short. A worker that leaves at short notice vanishes without a
	// report; others go on until their runs have ended, or report the ends.
	maxShortNotice = 5 * time.Second
)

// LeavesAtShortNotice reports whether the worker drains and leaves soon.
func LeavesAtShortNotice(w chutepool.Worker) bool {
	return w.Draining && !w.LeavesAt.IsZero() && w.TimeToLeave <= maxShortNotice
}

// StopBeforeLeave stops the runs on a worker that leaves at short notice before they end, so that their tasks go on
// elsewhere. Runs without checkpoints that are known to end too late are stopped at once, all others at the last
// moment. A worker that vanishes with its runs delays their tasks until its lease expires.
func StopBeforeLeave(t *chuterunner.Transition, w chutepool.Worker) {
	if !LeavesAtShortNotice(w) {
		return
	}
	left := w.LeavesAt.Sub(t.Now)
	for _, r := range w.Runs() {
		j, ok := t.Job(r.ID.Task.Job)
		if !ok || r.Phase != chutepool.RunStarted {
			continue
		}
		step := j.Step(r.ID.Task.StepID)
		remaining := t.RemainingByProgress(w.ID, r, step.LongRunning)
		stopAtOnce := !step.Checkpointing && !step.LongRunning && remaining < chuteledger.UnknownRemaining
		if remaining > left && (left <= leaveMargin || stopAtOnce) {
			t.StopRun(w.ID, r.ID, "worker-leaves")
		}
	}
}
