package chutetask

import (
	"slices"
	"strings"

	"monsoonchute.example/monsoonchute/chutequarantine"
)

// WorkerID identifies a worker.
type WorkerID string

// WorkerOrder orders workers by their ids.
type WorkerOrder struct{}

// Compare returns -1, 0 or 1 if the first id comes before, is or comes after the second.
func (WorkerOrder) Compare(a, b WorkerID) int {
	return strings.Compare(string(a), string(b))
}

// TaskPhase is the phase of a task.
type TaskPhase int

// The phases of a task.
const (
	TaskWaiting TaskPhase = iota // none of its runs can be running
	TaskActive                   // its latest run may be running
	TaskDone
)

// Task is the immutable state of one task.
type Task struct {
	Phase      TaskPhase `json:"phase"`
	Run        int       `json:"run"`         // number of its latest run, 0 before the first
	Worker     WorkerID  `json:"worker"`      // worker of its latest run
	Checkpoint string    `json:"checkpoint"`  // from which the next run resumes; empty to start from the beginning
	Failures   int       `json:"failures"`    // number of failed runs
	FailedRuns []int     `json:"failed-runs"` // their numbers; never modified

	Incarnation int64                  `json:"incarnation"` // of the worker when the latest run was placed there; 0 if unknown
	Quarantined bool                   `json:"quarantined"` // the latest run has its worker to itself
	Begun       bool                   `json:"begun"`       // its worker has confirmed the latest run; false if nothing depends on it
	Crashes     chutequarantine.Record `json:"crashes"`     // in a gang, its first member has the record of all
}

// WithRun returns the task with its next run on the worker.
func (t Task) WithRun(number int, worker WorkerID) Task {
	t.Phase = TaskActive
	t.Run = number
	t.Worker = worker
	t.Incarnation, t.Quarantined, t.Begun = 0, false, false
	return t
}

// WithIncarnation returns the task with the incarnation of the worker of its latest run.
func (t Task) WithIncarnation(incarnation int64) Task {
	t.Incarnation = incarnation
	return t
}

// WithQuarantine returns the task with its latest run in quarantine, or not.
func (t Task) WithQuarantine(quarantined bool) Task {
	t.Quarantined = quarantined
	return t
}

// WithBegun returns the task with its latest run confirmed by the worker.
func (t Task) WithBegun() Task {
	t.Begun = true
	return t
}

// WithCrashes returns the task with the record of crashes.
func (t Task) WithCrashes(record chutequarantine.Record) Task {
	t.Crashes = record
	return t
}

// WithPhase returns the task in the phase. Of a task that is done no crashes are kept.
func (t Task) WithPhase(phase TaskPhase) Task {
	t.Phase = phase
	if phase == TaskDone {
		t.Begun, t.Crashes = false, chutequarantine.Record{}
	}
	return t
}

// WithCheckpoint returns the task with the checkpoint; an empty one changes nothing.
func (t Task) WithCheckpoint(checkpoint string) Task {
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	return t
}

// WithFailure returns the task after the run with the number has failed. A run counts once.
func (t Task) WithFailure(run int) Task {
	if slices.Contains(t.FailedRuns, run) {
		return t
	}
	t.Failures++
	t.FailedRuns = append(slices.Clone(t.FailedRuns), run)
	return t
}

// FailureCounted reports whether the failure of the run with the number is counted, or may be: older hosts count failed
// runs without their numbers.
func (t Task) FailureCounted(run int) bool {
	return slices.Contains(t.FailedRuns, run) || t.Failures > len(t.FailedRuns)
}
