package chutetask

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// Tasks returns the tasks of a step, and nil if its occurrence has not begun or it does not exist.
func (j Job) Tasks(id chutegraph.StepID) []Task {
	if id.Occurrence >= len(j.Occurrences) || id.Step >= len(j.Occurrences[id.Occurrence]) {
		return nil
	}
	return j.Occurrences[id.Occurrence][id.Step]
}

// Step returns the specification of a step, and a zero one if the job has no such step: workers may report runs of any.
func (j Job) Step(id chutegraph.StepID) chutegraph.Step {
	if id.Step < 0 || id.Step >= len(j.Spec.Steps) {
		return chutegraph.Step{}
	}
	return j.Spec.Steps[id.Step]
}

// withTasks returns the job with the tasks of one step replaced.
func (j Job) withTasks(id chutegraph.StepID, tasks []Task) Job {
	steps := slices.Clone(j.Occurrences[id.Occurrence])
	steps[id.Step] = tasks
	j.Occurrences = slices.Clone(j.Occurrences)
	j.Occurrences[id.Occurrence] = steps
	return j
}

// WithStepDone returns the job with all tasks of the step done, as for a gang that ends together.
func (j Job) WithStepDone(id chutegraph.StepID) Job {
	tasks := slices.Clone(j.Tasks(id))
	for i, t := range tasks {
		tasks[i] = t.WithPhase(TaskDone)
	}
	return j.withTasks(id, tasks)
}

// WithStepCheckpoint returns the job with the checkpoint in all tasks of the step, as for a gang that resumes together.
// An empty checkpoint changes nothing.
func (j Job) WithStepCheckpoint(id chutegraph.StepID, checkpoint string) Job {
	tasks := slices.Clone(j.Tasks(id))
	for i, t := range tasks {
		tasks[i] = t.WithCheckpoint(checkpoint)
	}
	return j.withTasks(id, tasks)
}

// StepDone reports whether all tasks of the step are done.
func (j Job) StepDone(id chutegraph.StepID) bool {
	tasks := j.Tasks(id)
	for _, t := range tasks {
		if t.Phase != TaskDone {
			return false
		}
	}
	return len(tasks) > 0
}

// StepReady reports whether all steps that must be done before this one are done.
func (j Job) StepReady(id chutegraph.StepID) bool {
	for _, dependency := range j.Spec.Steps[id.Step].After {
		if !j.StepDone(chutegraph.StepID{Job: id.Job, Occurrence: id.Occurrence, Step: dependency}) {
			return false
		}
	}
	return true
}
