package chuteledger

import (
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// GangReported reports whether the workers of all members of a gang have reported what they run or are lost. It is true
// for a step without a gang.
func (t *Transition) GangReported(j chutetask.Job, id chutegraph.StepID) bool {
	if !j.Step(id).Gang {
		return true
	}
	for _, task := range j.Tasks(id) {
		if w, ok := t.Pool.Get(task.Worker); task.Phase == chutetask.TaskActive && ok && !w.Contacted && !w.Lost {
			return false
		}
	}
	return true
}

// GangHasWorked reports whether a member of a gang has made progress, which it does only while all members run. It is
// false for a step without a gang.
func (t *Transition) GangHasWorked(j chutetask.Job, id chutegraph.StepID) bool {
	if !j.Step(id).Gang {
		return false
	}
	for i, task := range j.Tasks(id) {
		member := chutegraph.RunID{Task: chutegraph.TaskID{StepID: id, Index: i}, Number: task.Run}
		_, r, ok := t.Pool.FindRun(task.Worker, member)
		if ok && (r.Percent > 0 || r.Checkpoint != task.Checkpoint) {
			return true
		}
	}
	return false
}
