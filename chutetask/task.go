package chutetask

import (
	"strings"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// WorkerID names a worker.
type WorkerID string

// WorkerOrder orders workers by their ids.
type WorkerOrder struct{}

// Compare returns -1, 0 or 1 if the first id comes before, is or comes after the second.
func (WorkerOrder) Compare(a, b WorkerID) int {
	return strings.Compare(string(a), string(b))
}

// TaskPhase is the stage of a task's incarnation.
type TaskPhase int

// The phases of a task.
const (
	TaskWaiting TaskPhase = iota // no run of it can be at work
	TaskActive                   // its latest run may be at work
	TaskDone
)

// Task is the immutable state of one task.
type Task struct {
	Phase      TaskPhase `json:"phase"`
	Run        int       `json:"run"`        // number of its latest run, 0 before the first
	Worker     WorkerID  `json:"worker"`     // of its latest run
	Checkpoint string    `json:"checkpoint"` // from which the next run resumes; empty for the beginning
	Failures   int       `json:"failures"`   // runs that failed
}

// WithRun returns the task with its next run on the worker.
func (t Task) WithRun(number int, worker WorkerID) Task {
	t.Phase = TaskActive
	t.Run = number
	t.Worker = worker
	return t
}

// WithPhase returns the task in the phase.
func (t Task) WithPhase(phase TaskPhase) Task {
	t.Phase = phase
	return t
}

// WithCheckpoint returns the task with the checkpoint; an empty one changes nothing.
func (t Task) WithCheckpoint(checkpoint string) Task {
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	return t
}

// WithFailure returns the task after one more failed run.
func (t Task) WithFailure() Task {
	t.Failures++
	return t
}

// EndKind tells how a run ended.
type EndKind int

// The kinds of end.
const (
	EndDone           EndKind = iota + 1
	EndFailed                 // through its own fault or the worker's
	EndStopped                // by an order
	EndLeaseExpired           // its lease ran out
	EndGangBroken             // another member of its gang ended
	EndGangIncomplete         // the other members of its gang did not come in time
	EndLost                   // its worker is gone
)

var endNames = []string{"", "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}

// String returns the kebab-case name of the kind.
func (k EndKind) String() string {
	if k < EndDone || k > EndLost {
		return "invalid"
	}
	return endNames[k]
}

// RunEnd is the end of a run as its worker lists it.
type RunEnd struct {
	Number     int64 // of the end, rising within one incarnation of the worker
	Run        chutegraph.RunID
	Kind       EndKind
	Checkpoint string
}

// RunReport is what a worker says of a run at work.
type RunReport struct {
	Run        chutegraph.RunID
	Checkpoint string
	Percent    int // of its work that is done; 100 for a long-running task at work
	Usage      int // processor use in thousandths of a core, or the tail of a serving task in milliseconds
}
