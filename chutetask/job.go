package chutetask

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// Phase is the stage of a job's incarnation, as its submitter sees it.
type Phase int

// The phases of a job.
const (
	PhaseQueued Phase = iota // no task has started
	PhaseRunning
	PhaseCompleted
	PhaseFailed
	PhaseCancelled
)

var phaseNames = []string{"queued", "running", "completed", "failed", "cancelled"}

// String returns the kebab-case name of the phase.
func (p Phase) String() string {
	if p < PhaseQueued || p > PhaseCancelled {
		return "invalid"
	}
	return phaseNames[p]
}

// Ended reports whether the phase is final.
func (p Phase) Ended() bool {
	return p >= PhaseCompleted
}

// Submission is an accepted job as it was recorded.
type Submission struct {
	ID        chutegraph.JobID `json:"id"`
	Queue     string           `json:"queue"`
	Workspace string           `json:"workspace"`
	Service   string           `json:"service"` // of the queue when the job was accepted
	Priority  int              `json:"priority"`
	Attempts  int              `json:"attempts"`
	Stretch   float64          `json:"stretch"`
	Target    time.Duration    `json:"target"`
	Spec      chutegraph.Spec  `json:"spec"`
}

// Progress is the part of a job's state that must outlive its scheduler.
type Progress struct {
	Phase       Phase      `json:"phase"`
	Occurrences [][][]Task `json:"occurrences"` // by occurrence, step and index; an occurrence without steps has not begun
	Finished    []bool     `json:"finished"`    // by occurrence: all its tasks are done
}

// Job is the immutable state of one job.
type Job struct {
	Submission
	Progress
	AcceptanceOrder int64     // of acceptance: lower was accepted earlier
	SeenAt          time.Time // when this process learned of the job
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

// WithProgress returns the job with the progress that was recorded for it; one of another form changes nothing.
func (j Job) WithProgress(p Progress) Job {
	if len(p.Occurrences) != len(j.Occurrences) || len(p.Finished) != len(j.Finished) {
		return j
	}
	j.Progress = p
	return j
}

// WithPhase returns the job in the phase; a final phase is kept.
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

// WithOccurrence returns the job with all tasks of the occurrence waiting, if it has not begun.
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

// Begun reports whether the occurrence has tasks.
func (j Job) Begun(occurrence int) bool {
	return j.Occurrences[occurrence] != nil
}

// Tasks returns the tasks of a step, and nil if its occurrence has not begun or it does not exist.
func (j Job) Tasks(id chutegraph.StepID) []Task {
	if id.Occurrence >= len(j.Occurrences) || id.Step >= len(j.Occurrences[id.Occurrence]) {
		return nil
	}
	return j.Occurrences[id.Occurrence][id.Step]
}

// Task returns the task, and false if it does not exist.
func (j Job) Task(id chutegraph.TaskID) (Task, bool) {
	tasks := j.Tasks(id.StepID)
	if id.Index >= len(tasks) {
		return Task{}, false
	}
	return tasks[id.Index], true
}

// Step returns what was asked for a step.
func (j Job) Step(id chutegraph.StepID) chutegraph.Step {
	return j.Spec.Steps[id.Step]
}

// WithTask returns the job with one task changed.
func (j Job) WithTask(id chutegraph.TaskID, task Task) Job {
	tasks := slices.Clone(j.Tasks(id.StepID))
	tasks[id.Index] = task
	return j.withTasks(id.StepID, tasks)
}

func (j Job) withTasks(id chutegraph.StepID, tasks []Task) Job {
	steps := slices.Clone(j.Occurrences[id.Occurrence])
	steps[id.Step] = tasks
	j.Occurrences = slices.Clone(j.Occurrences)
	j.Occurrences[id.Occurrence] = steps
	return j
}

// WithStepDone returns the job with all tasks of a gang done.
func (j Job) WithStepDone(id chutegraph.StepID) Job {
	tasks := slices.Clone(j.Tasks(id))
	for i, t := range tasks {
		tasks[i] = t.WithPhase(TaskDone)
	}
	return j.withTasks(id, tasks)
}

// WithStepCheckpoint returns the job with the checkpoint for all tasks of a gang; an empty one changes nothing.
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

// StepOpen reports whether all steps that must be done before this one are.
func (j Job) StepReady(id chutegraph.StepID) bool {
	for _, earlier := range j.Spec.Steps[id.Step].After {
		if !j.StepDone(chutegraph.StepID{Job: id.Job, Occurrence: id.Occurrence, Step: earlier}) {
			return false
		}
	}
	return true
}

// WithFinished returns the job with the ends of its occurrences and of itself drawn from its tasks.
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

// ForEachTask calls the function for each task that exists.
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
