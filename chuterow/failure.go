package chuterow

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutetask"
)

// encodedFailures holds the numbers of a task's failed runs. It is apart from encodedTask for the same reasons as
// encodedPlacement.
type encodedFailures struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Runs       []int
}

// encodeFailures returns the failed runs of the tasks that have any.
func encodeFailures(v chuteaction.ProgressRow) []encodedFailures {
	var failures []encodedFailures
	forEachTask(v.Progress, func(occurrence, step, index int, task *chutetask.Task) {
		if len(task.FailedRuns) > 0 {
			failures = append(failures, encodedFailures{Occurrence: occurrence, Step: step, Index: index, Runs: task.FailedRuns})
		}
	})
	return failures
}

// apply adds the failed runs to the task of the progress, if that has such a task.
func (f encodedFailures) apply(progress chutetask.Progress) {
	if task, ok := findTask(progress, f.Occurrence, f.Step, f.Index); ok {
		task.FailedRuns = f.Runs
	}
}
