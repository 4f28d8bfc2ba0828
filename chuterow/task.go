package chuterow

import "monsoonchute.example/monsoonchute/chutetask"

// forEachTask calls visit for each task of the progress, with its occurrence, step and index.
func forEachTask(progress chutetask.Progress, visit func(occurrence, step, index int, task *chutetask.Task)) {
	for k, steps := range progress.Occurrences {
		for s, tasks := range steps {
			for i := range tasks {
				visit(k, s, i, &tasks[i])
			}
		}
	}
}

// findTask returns the task of the progress in place, and false if it does not exist.
func findTask(progress chutetask.Progress, occurrence, step, index int) (*chutetask.Task, bool) {
	if occurrence < 0 || occurrence >= len(progress.Occurrences) {
		return nil, false
	}
	steps := progress.Occurrences[occurrence]
	if step < 0 || step >= len(steps) || index < 0 || index >= len(steps[step]) {
		return nil, false
	}
	return &steps[step][index], true
}
