package chutetask

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// Job is the immutable state of one job.
type Job struct {
	Submission
	Progress
	AcceptanceOrder int64     // lower for jobs that were accepted earlier
	SeenAt          time.Time // when this process first saw the job
	Cancelled       bool      // a cancellation is recorded
}

// New returns a queued job.
func New(submission Submission, order int64, seen time.Time) Job {
	return Job{
		Submission: submission, AcceptanceOrder: order, SeenAt: seen,
		Progress: Progress{
			Occurrences: make([][][]Task, submission.Spec.Occurrences()),
			Finished:    make([]bool, submission.Spec.Occurrences()),
		},
	}
}

// WithProgress returns the job with the progress that was recorded for it and fits its specification.
func (j Job) WithProgress(p Progress) Job {
	j.Progress = p
	return j
}

// WithPhase returns the job in the phase; a final phase never changes.
func (j Job) WithPhase(phase Phase) Job {
	if !j.Phase.Ended() {
		j.Phase = phase
	}
	return j
}

// WithCancelled returns the job with its cancellation recorded.
func (j Job) WithCancelled() Job {
	j.Cancelled = true
	return j.WithPhase(PhaseCancelled)
}

// WithOccurrenceBegun returns the job with all tasks of the occurrence waiting. If it has begun already, nothing
// changes.
func (j Job) WithOccurrenceBegun(occurrence int) Job {
	if j.Begun(occurrence) {
		return j
	}
	steps := make([][]Task, len(j.Spec.Steps))
	for i, s := range j.Spec.Steps {
		steps[i] = make([]Task, s.Count)
	}
	j.Occurrences = slices.Clone(j.Occurrences)
	j.Occurrences[occurrence] = steps
	return j
}

// Begun reports whether the occurrence has begun, so that its tasks exist.
func (j Job) Begun(occurrence int) bool {
	return j.Occurrences[occurrence] != nil
}

// Task returns the task, and false if it does not exist.
func (j Job) Task(id chutegraph.TaskID) (Task, bool) {
	tasks := j.Tasks(id.StepID)
	if id.Index >= len(tasks) {
		return Task{}, false
	}
	return tasks[id.Index], true
}

// Failures returns the number of failed runs of the task, or of its gang. A run of a gang counts once, whatever the number
// of its members that failed in it.
func (j Job) Failures(id chutegraph.TaskID) int {
	if !j.Step(id.StepID).Gang {
		task, _ := j.Task(id)
		return task.Failures
	}
	runs := make(map[int]bool)
	unnumbered := 0 // older hosts count failed runs without their numbers
	for _, task := range j.Tasks(id.StepID) {
		unnumbered += task.Failures - len(task.FailedRuns)
		for _, run := range task.FailedRuns {
			runs[run] = true
		}
	}
	return len(runs) + unnumbered
}

// WithTask returns the job with one task replaced.
func (j Job) WithTask(id chutegraph.TaskID, task Task) Job {
	tasks := slices.Clone(j.Tasks(id.StepID))
	tasks[id.Index] = task
	return j.withTasks(id.StepID, tasks)
}

// WithCompletion returns the job with the occurrence finished if all its tasks are done, and with the job completed if
// all occurrences are finished.
func (j Job) WithCompletion(occurrence int) Job {
	for step := range j.Spec.Steps {
		if !j.StepDone(chutegraph.StepID{Job: j.ID, Occurrence: occurrence, Step: step}) {
			return j
		}
	}
	j.Finished = slices.Clone(j.Finished)
	j.Finished[occurrence] = true
	if !slices.Contains(j.Finished, false) {
		return j.WithPhase(PhaseCompleted)
	}
	return j
}

// AnyActive reports whether any task of the job has a run.
func (j Job) AnyActive() bool {
	for _, steps := range j.Occurrences {
		for _, tasks := range steps {
			if slices.ContainsFunc(tasks, func(t Task) bool { return t.Phase == TaskActive }) {
				return true
			}
		}
	}
	return false
}

// ForEachTask calls visit for each task of the occurrences that have begun.
func (j Job) ForEachTask(visit func(chutegraph.TaskID, Task)) {
	for occurrence, steps := range j.Occurrences {
		for step, tasks := range steps {
			for index, task := range tasks {
				id := chutegraph.StepID{Job: j.ID, Occurrence: occurrence, Step: step}
				visit(chutegraph.TaskID{StepID: id, Index: index}, task)
			}
		}
	}
}
