package chuterunner

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// StopJob stops all runs of a job that has ended.
func (t *Transition) StopJob(j chutetask.Job, reason string) {
	j.ForEachTask(func(id chutegraph.TaskID, task chutetask.Task) {
		if task.Phase == chutetask.TaskActive {
			t.StopRun(task.Worker, chutegraph.RunID{Task: id, Number: task.Run}, reason)
		}
	})
}

// taskDone enters the good end of a task; in a gang it stands for all members.
func (t *Transition) taskDone(j chutetask.Job, id chutegraph.TaskID, task chutetask.Task) {
	if j.Step(id.StepID).LongRunning { // runs until its job is cancelled, however it ends
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
		t.Log(part, "job completed", j.ID, "queue", j.Queue, "took", took)
		t.Emit(chuteaction.Observe{Histogram: "completion", Kind: j.Queue, Duration: took})
	}
	t.PutJob(j)
}

// taskEnded enters any other end of a task: it waits for its next run, or its job has failed.
func (t *Transition) taskEnded(j chutetask.Job, id chutegraph.TaskID, task chutetask.Task, end chutetask.RunEnd) {
	step := j.Step(id.StepID)
	task = task.WithPhase(chutetask.TaskWaiting).WithCheckpoint(end.Checkpoint)
	if end.Kind == chutetask.EndFailed {
		task = task.WithFailure()
	}
	j = j.WithTask(id, task)
	if step.Gang {
		j = j.WithStepCheckpoint(id.StepID, end.Checkpoint)
	}
	attempts := t.attempts(j)
	if end.Kind == chutetask.EndFailed && !step.LongRunning && stepFailures(j, id, step) >= attempts {
		j = j.WithPhase(chutetask.PhaseFailed)
		t.Log(part, "job failed", j.ID, "queue", j.Queue, "task", id, "attempts", attempts, "took", t.Now.Sub(j.SeenAt))
		t.PutJob(j)
		t.StopJob(j, "job-failed")
		return
	}
	t.PutJob(j)
	if step.Gang {
		t.breakGang(j, id)
	}
}

// stepFailures returns how often the task has failed; for a gang the failures of all members count.
func stepFailures(j chutetask.Job, id chutegraph.TaskID, step chutegraph.Step) int {
	if !step.Gang {
		task, _ := j.Task(id)
		return task.Failures
	}
	failures := 0
	for _, task := range j.Tasks(id.StepID) {
		failures += task.Failures
	}
	return failures
}

// attempts returns how many runs of a task may fail, as the configuration in force says.
func (t *Transition) attempts(j chutetask.Job) int {
	if q, ok := t.Environment.Catalog.Queue(j.Queue); ok && q.Attempts > 0 {
		return q.Attempts
	}
	return max(1, j.Attempts)
}

// breakGang stops the other members of a gang that has lost one.
func (t *Transition) breakGang(j chutetask.Job, id chutegraph.TaskID) {
	for i, task := range j.Tasks(id.StepID) {
		if i != id.Index && task.Phase == chutetask.TaskActive {
			member := chutegraph.TaskID{StepID: id.StepID, Index: i}
			t.StopRun(task.Worker, chutegraph.RunID{Task: member, Number: task.Run}, "gang-broken")
		}
	}
}
