package chuteledger

import (
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// SpareTasks returns how many more tasks of a long-running step may be stopped, so that no more of them than may be unavailable are
// away for any cause. It is 0 or less if none may.
func (t *Transition) SpareTasks(j chutetask.Job, id chutegraph.StepID) int {
	spare := j.Step(id).MaxUnavailable
	for i, task := range j.Tasks(id) {
		run := chutegraph.RunID{Task: chutegraph.TaskID{StepID: id, Index: i}, Number: task.Run}
		if _, r, ok := t.Pool.FindRun(task.Worker, run); !ok || !r.Serves() {
			spare--
		}
	}
	return spare
}
