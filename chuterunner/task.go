package chuterunner

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// StopJob stops all active runs of a job that has ended, for the reason.
func (t *Transition) StopJob(j chutetask.Job, reason string) {
	j.ForEachTask(func(id chutegraph.TaskID, task chutetask.Task) {
		if task.Phase == chutetask.TaskActive {
			t.StopRun(task.Worker, chutegraph.RunID{Task: id, Number: task.Run}, reason)
		}
	})
}

// completeTask applies the successful end of a task. In a gang the end of one member completes all.
func (t *Transition) completeTask(j chutetask.Job, id chutegraph.TaskID, task chutetask.Task) {
	if j.Step(id.StepID).LongRunning { // the task restarts however its run ends, until its job is cancelled
		t.PutJob(j.WithTask(id, task.WithPhase(chutetask.TaskWaiting)))
		return
	}
	if j.Step(id.StepID).Gang {
		j = j.WithStepDone(id.StepID)
		t.Speeds = t.Speeds.WithoutStep(id.StepID)
	} else {
		j = j.WithTask(id, task.WithPhase(chutetask.TaskDone))
	}
	j = j.WithCompletion(id.Occurrence)
	if j.Phase == chutetask.PhaseCompleted {
		took := t.Now.Sub(j.SeenAt)
		t.Log(component, "job completed", j.ID, "queue", j.Queue, "took", took)
		t.Emit(chuteaction.Observe{Histogram: "completion", Kind: j.Queue, Duration: took})
	}
	t.PutJob(j)
}

// retryOrFail applies the end of a run that did not complete its task: the task waits for its next run, or the job fails
// after too many failures.
func (t *Transition) retryOrFail(j chutetask.Job, id chutegraph.TaskID, task chutetask.Task, end chutetask.RunEnd) {
	step := j.Step(id.StepID)
	task = task.WithPhase(chutetask.TaskWaiting).WithCheckpoint(end.Checkpoint)
	failed := end.Kind == chutetask.EndFailed && !step.LongRunning
	if failed {
		task = task.WithFailure(end.Run.Number)
	}
	j = j.WithTask(id, task)
	if step.Gang {
		j = j.WithStepCheckpoint(id.StepID, end.Checkpoint)
	}
	if failed && t.failAtLimit(j, id) {
		return
	}
	t.PutJob(j)
	if step.Gang {
		t.breakGang(j, id)
	}
}

// failAtLimit fails the job if too many runs of the task have failed, and reports whether it has.
func (t *Transition) failAtLimit(j chutetask.Job, id chutegraph.TaskID) bool {
	maxFailures := t.maxFailures(j)
	if j.Failures(id) < maxFailures {
		return false
	}
	j = j.WithPhase(chutetask.PhaseFailed)
	t.Log(component, "job failed", j.ID, "queue", j.Queue, "task", id, "attempts", maxFailures, "took", t.Now.Sub(j.SeenAt))
	t.PutJob(j)
	t.StopJob(j, "job-failed")
	return true
}

// maxFailures returns the number of failed runs of a task at which its job fails: what its queue allowed when the job was
// accepted, or more if the queue in the catalog allows more now.
func (t *Transition) maxFailures(j chutetask.Job) int {
	q, _ := t.Environment.Catalog.Queue(j.Queue)
	return max(1, j.Attempts, q.Attempts)
}

// breakGang stops the other members of a gang after the run of one has ended.
func (t *Transition) breakGang(j chutetask.Job, id chutegraph.TaskID) {
	for i, task := range j.Tasks(id.StepID) {
		if i != id.Index && task.Phase == chutetask.TaskActive {
			member := chutegraph.TaskID{StepID: id.StepID, Index: i}
			t.StopRun(task.Worker, chutegraph.RunID{Task: member, Number: task.Run}, "gang-broken")
		}
	}
}
