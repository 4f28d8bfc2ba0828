package chuteisolation

import (
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutetask"
)

// QuarantinedIndexes returns the waiting tasks of a step that may start in quarantine now. Of a step of which a task met an
// unexplained crash that is one at a time, so that a job whose tasks all crash their workers crashes few, but for all members of
// a gang and all tasks that should run without end.
func QuarantinedIndexes(t *chuteledger.Transition, j chutetask.Job, id chutegraph.StepID) []int {
	gang, longRunning := j.Spec.Steps[id.Step].Gang, j.Spec.Steps[id.Step].LongRunning
	tasks := j.Tasks(id)
	oneByOne, active := false, false
	var indexes []int
	for i, task := range tasks {
		suspect := crashHolder(tasks, i, gang)
		if !suspect.Crashes.NeedsQuarantine() {
			continue
		}
		oneByOne = oneByOne || !gang && !longRunning && suspect.Crashes.Unexplained()
		active = active || task.Phase == chutetask.TaskActive && task.Quarantined
		if task.Phase == chutetask.TaskWaiting && mayRun(t, j, suspect, longRunning) {
			indexes = append(indexes, i)
		}
	}
	switch {
	case oneByOne && active:
		return nil
	case oneByOne && len(indexes) > 1:
		return indexes[:1]
	}
	return indexes
}

// OrdinaryIndexes returns the waiting tasks of a step that need no quarantine.
func OrdinaryIndexes(t *chuteledger.Transition, j chutetask.Job, id chutegraph.StepID) []int {
	gang, longRunning := j.Spec.Steps[id.Step].Gang, j.Spec.Steps[id.Step].LongRunning
	tasks := j.Tasks(id)
	var indexes []int
	for i, task := range tasks {
		suspect := crashHolder(tasks, i, gang)
		if task.Phase == chutetask.TaskWaiting && !suspect.Crashes.NeedsQuarantine() && mayRun(t, j, suspect, longRunning) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// mayRun reports whether a task may run now, if it or the first member of its gang is the given one. One that should run
// without end does not wait for the end of an outage.
func mayRun(t *chuteledger.Transition, j chutetask.Job, suspect chutetask.Task, longRunning bool) bool {
	if suspect.Crashes.Empty() {
		return true
	}
	startAfter := suspect.Crashes.StartAfter(t.Outages.OutageAt(t.Service(j)))
	return !suspect.Crashes.Held(t.Now) && (longRunning || !t.Now.Before(startAfter))
}

// crashHolder returns the task that has the record of crashes under the one with the index: itself, or the first member of
// its gang.
func crashHolder(tasks []chutetask.Task, index int, gang bool) chutetask.Task {
	if gang {
		return tasks[0]
	}
	return tasks[index]
}
