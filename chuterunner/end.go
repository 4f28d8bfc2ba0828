package chuterunner

import (
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// ApplyListedEnd applies the end of a run, as its worker reports it, to the worker's failures and to the task.
func (t *Transition) ApplyListedEnd(w chutepool.Worker, end chutetask.RunEnd) {
	t.trackFailures(w, end)
	if _, ok := w.Run(end.Run); !ok {
		t.applyEnd(w.ID, end)
		return
	}
	t.ReleaseRun(w.ID, end.Run, end)
}

// ReleaseRun frees the capacity of a run that has certainly ended, and applies its end to the task.
func (t *Transition) ReleaseRun(worker chutetask.WorkerID, id chutegraph.RunID, end chutetask.RunEnd) {
	w, r, ok := t.Pool.FindRun(worker, id)
	if !ok {
		return
	}
	if end.Checkpoint == "" {
		end.Checkpoint = r.Checkpoint
	}
	t.PutWorker(w.WithoutRun(id))
	t.PlanDue = true
	t.RecordRunTime(r, end.Kind)
	if r.Begun(end) {
		t.NoteRunBegun(id.Task.Job)
	}
	t.applyEnd(worker, end)
	t.RequeueUnbegun(id.Task.Job)
}

// applyEnd applies the end of a run to its task, if it is the task's latest run or completes the task.
func (t *Transition) applyEnd(worker chutetask.WorkerID, end chutetask.RunEnd) {
	j, ok := t.Job(end.Run.Task.Job)
	if !ok {
		return
	}
	task, ok := j.Task(end.Run.Task)
	if !ok {
		return
	}
	if task.Phase != chutetask.TaskActive || task.Run != end.Run.Number || task.Worker != worker {
		t.applyUnexpectedEnd(j, worker, task, end)
		return
	}
	if end.Kind == chutetask.EndDone {
		t.completeTask(j, end.Run.Task, task)
		return
	}
	end.Checkpoint = t.recordable(j, end)
	t.Count("run-ended", end.Kind.String())
	t.Log(component, "run ended early", j.ID, "run", end.Run, "worker", worker, "kind", end.Kind, "checkpoint", end.Checkpoint)
	t.retryOrFail(j, end.Run.Task, task, end)
}

// usualCheckpointBytes is the length of checkpoints that jobs are accepted for.
const usualCheckpointBytes = 20

// recordable returns the checkpoint of a run that has ended, or none if the job's progress would not fit in the store with it.
func (t *Transition) recordable(j chutetask.Job, end chutetask.RunEnd) string {
	if len(end.Checkpoint) <= usualCheckpointBytes {
		return end.Checkpoint
	}
	id := end.Run.Task
	if task, ok := j.Task(id); ok {
		j = j.WithTask(id, task.WithCheckpoint(end.Checkpoint))
	}
	if j.Step(id.StepID).Gang {
		j = j.WithStepCheckpoint(id.StepID, end.Checkpoint)
	}
	if j.FitsInStore() {
		return end.Checkpoint
	}
	t.Count("checkpoint-dropped", "too-long")
	t.Warn(component, "checkpoint is too long to be recorded", j.ID, "run", end.Run, "bytes", len(end.Checkpoint))
	return ""
}

// applyUnexpectedEnd applies the end of a run that was taken as lost.
func (t *Transition) applyUnexpectedEnd(j chutetask.Job, worker chutetask.WorkerID, task chutetask.Task, end chutetask.RunEnd) {
	if task.Phase == chutetask.TaskDone || j.Phase.Ended() || j.Step(end.Run.Task.StepID).LongRunning {
		return
	}
	switch end.Kind {
	case chutetask.EndDone:
		t.applyUnexpectedSuccess(j, worker, task, end)
	case chutetask.EndFailed:
		t.applyUnexpectedFailure(j, worker, task, end)
	case chutetask.EndStopped, chutetask.EndLeaseExpired, chutetask.EndGangBroken, chutetask.EndGangIncomplete, chutetask.EndLost:
	}
}

// applyUnexpectedFailure counts the failure of a run that was taken as lost, unless the failure was listed before.
func (t *Transition) applyUnexpectedFailure(j chutetask.Job, worker chutetask.WorkerID, task chutetask.Task, end chutetask.RunEnd) {
	if task.FailureCounted(end.Run.Number) {
		return
	}
	t.Count("end-unexpected", "failed")
	t.Log(component, "run that was taken as lost ended as failed", j.ID, "run", end.Run, "worker", worker, "end", end.Number,
		"task-run", task.Run, "task-worker", task.Worker)
	j = j.WithTask(end.Run.Task, task.WithFailure(end.Run.Number))
	if !t.failAtLimit(j, end.Run.Task) {
		t.PutJob(j)
	}
}

// applyUnexpectedSuccess completes the task of a run that was taken as lost, since the work must not run twice, and stops
// the runs that have replaced it.
func (t *Transition) applyUnexpectedSuccess(j chutetask.Job, worker chutetask.WorkerID, task chutetask.Task, end chutetask.RunEnd) {
	step := j.Step(end.Run.Task.StepID)
	t.Count("end-unexpected", "done")
	t.Warn(component, "run that was taken as lost ended as done", j.ID, "run", end.Run, "worker", worker,
		"end", end.Number, "task-active", task.Phase == chutetask.TaskActive, "task-run", task.Run, "task-worker", task.Worker)
	t.completeTask(j, end.Run.Task, task)
	if !step.Gang {
		t.stopReplacement(end.Run, end.Run.Task.Index, task)
		return
	}
	for i, member := range j.Tasks(end.Run.Task.StepID) {
		t.stopReplacement(end.Run, i, member)
	}
}

// stopReplacement stops the active run of the task with the index in the step of the ended run, unless it has that run's
// number.
func (t *Transition) stopReplacement(ended chutegraph.RunID, index int, task chutetask.Task) {
	if task.Phase != chutetask.TaskActive || task.Run == ended.Number {
		return
	}
	id := chutegraph.TaskID{StepID: ended.Task.StepID, Index: index}
	t.StopRun(task.Worker, chutegraph.RunID{Task: id, Number: task.Run}, "task-done")
}

// trackFailures counts the jobs whose runs failed in a row on a worker, and starts a cooldown after several.
func (t *Transition) trackFailures(w chutepool.Worker, end chutetask.RunEnd) {
	w, due := w.WithRunEnd(end)
	if due && t.Pool.MayCoolDown(w, t.Now) {
		w = w.WithFailureCooldown(t.Now)
		t.Count("worker-cooldown", "failures")
		t.Log(component, "worker gets no new runs during its cooldown", end.Run.Task.Job, "worker", w.ID, "failures", w.FailureStreak)
	}
	t.PutWorker(w)
}
