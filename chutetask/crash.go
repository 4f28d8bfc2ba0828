package chutetask

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutequarantine"
)

// Crashes returns the record of the workers that crashed under the task, or under its gang.
func (j Job) Crashes(id chutegraph.TaskID) chutequarantine.Record {
	task, _ := j.Task(j.crashHolder(id))
	return task.Crashes
}

// WithCrashes returns the job with the record of the workers that crashed under the task, or under its gang.
func (j Job) WithCrashes(id chutegraph.TaskID, record chutequarantine.Record) Job {
	holder := j.crashHolder(id)
	task, ok := j.Task(holder)
	if !ok {
		return j
	}
	return j.WithTask(holder, task.WithCrashes(record))
}

// WithoutExplainedCrashes returns the job without the crashes under its tasks that may have come by chance.
func (j Job) WithoutExplainedCrashes() Job {
	return j.withEachTask(func(task Task) Task { return task.WithCrashes(task.Crashes.WithoutExplained()) })
}

// WithoutCrashes returns the job without the records of crashes under its tasks.
func (j Job) WithoutCrashes() Job {
	return j.withEachTask(func(task Task) Task { return task.WithCrashes(chutequarantine.Record{}) })
}

// WithoutCheckpoints returns the job without the checkpoints of its waiting tasks, which then start from the beginning.
func (j Job) WithoutCheckpoints() Job {
	return j.withEachTask(func(task Task) Task {
		if task.Phase == TaskWaiting {
			task.Checkpoint = ""
		}
		return task
	})
}

// withEachTask returns the job with each of its tasks changed.
func (j Job) withEachTask(change func(Task) Task) Job {
	j.Occurrences = slices.Clone(j.Occurrences)
	for k, steps := range j.Occurrences {
		j.Occurrences[k] = slices.Clone(steps)
		for s, tasks := range steps {
			j.Occurrences[k][s] = slices.Clone(tasks)
			for i, task := range tasks {
				j.Occurrences[k][s][i] = change(task)
			}
		}
	}
	return j
}

// crashHolder returns the task that holds the record of crashes: the task itself, or the first member of its gang.
func (j Job) crashHolder(id chutegraph.TaskID) chutegraph.TaskID {
	if j.Step(id.StepID).Gang {
		id.Index = 0
	}
	return id
}
