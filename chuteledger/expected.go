package chuteledger

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Expected reports whether the run is the one that its task should have on the worker.
func (t *Transition) Expected(worker chutetask.WorkerID, run chutegraph.RunID) bool {
	j, ok := t.Job(run.Task.Job)
	if !ok || j.Phase == chutetask.PhaseCancelled || j.Phase == chutetask.PhaseFailed {
		return false
	}
	task, ok := j.Task(run.Task)
	if !ok || task.Run != run.Number || task.Worker != worker {
		return false
	}
	ending := task.Phase == chutetask.TaskDone && j.Step(run.Task.StepID).Gang // the end of one member completes the gang
	return task.Phase == chutetask.TaskActive && !gangBroken(j, run) || ending
}

// gangBroken reports whether the run is of a gang of which another member's run has ended, so that it would wait alone.
func gangBroken(j chutetask.Job, run chutegraph.RunID) bool {
	if !j.Step(run.Task.StepID).Gang {
		return false
	}
	return slices.ContainsFunc(j.Tasks(run.Task.StepID), func(task chutetask.Task) bool {
		return task.Phase != chutetask.TaskActive || task.Run != run.Number
	})
}
