package chutegang

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// reconcileTask updates the job's part from one task of a worker's report.
func (t *Transition) reconcileTask(id chutetopology.WorkerID, r chuteorder.TaskReport) {
	j, ok := t.State.LiveJob(r.Task.Job)
	if !ok || j.Attempt != r.Task.Attempt || r.Task.Part >= len(j.Parts) || j.Parts[r.Task.Part].Block.Worker != id {
		t.rejectTask(id, r)
		return
	}
	part := r.Task.Part
	if r.State == chuteorder.TaskRunning && j.Parts[part].State == chutejob.PartRunning && j.Parts[part].SavedProgress == r.SavedProgress {
		return
	}
	j = j.WithPartProgress(part, r.SavedProgress)
	if j.Parts[part].State.Inactive() {
		t.PutJob(j)
		return
	}
	switch r.State {
	case chuteorder.TaskRunning:
		t.handlePartRunning(j, part)
	case chuteorder.TaskDone:
		t.handlePartDone(j, part)
	case chuteorder.TaskFailed:
		t.handlePartFailed(j, part)
	case chuteorder.TaskStopped:
		t.handlePartStopped(j.WithExecuted(), part)
	case chuteorder.TaskVoid:
		t.handlePartStopped(j, part)
	}
}

// rejectTask handles a task that belongs to no live attempt. It stops the task if it runs. It acknowledges an
// ended task, unless the job's own row is still being written.
func (t *Transition) rejectTask(id chutetopology.WorkerID, r chuteorder.TaskReport) {
	if r.State == chuteorder.TaskRunning {
		t.Count("task-disowned", "running")
		t.SendOrder(id, chuteorder.StopTask{Task: r.Task}, time.Time{})
		return
	}
	if !t.State.finishPending(r.Task.Job) {
		t.Acknowledge([]PlacedTask{{Worker: id, Task: r.Task}})
	}
}

// endMissingParts ends the job's parts on the worker that the report should list but does not. An agent that has
// restarted has lost its tasks' records, so a missing task may have run before the restart.
func (t *Transition) endMissingParts(id chutejob.ID, e chuteevent.WorkerPolled) {
	j, ok := t.State.LiveJob(id)
	if !ok {
		return
	}
	for i, p := range j.Parts {
		if p.Block.Worker != e.Worker || !mustBeReported(j, p, e) || containsTask(e.Report.Tasks, taskID(j, i)) {
			continue
		}
		t.Count("part-lost", "absent")
		if p.State == chutejob.PartRunning || p.BootID != e.Report.BootID {
			j = j.WithExecuted()
		}
		t.handlePartStopped(j, i)
		if j, ok = t.State.LiveJob(id); !ok {
			return
		}
	}
}

// mustBeReported reports whether the report must list the part if the part runs. That is not so while the worker may still
// accept the part's start order, or if it may have accepted the order after the poll: the answers to the two may arrive in
// either order. A restarted agent runs no part from before.
func mustBeReported(j chutejob.Job, p chutejob.Part, e chuteevent.WorkerPolled) bool {
	switch p.State {
	case chutejob.PartRunning:
		return p.BootID != e.Report.BootID || e.SentAt.After(j.StartOrderedAt.Add(StartOrderValidity)) ||
			j.Phase == chutejob.PhaseRunning && e.SentAt.After(j.PhaseSince)
	case chutejob.PartOrdered:
		return e.SentAt.After(j.PhaseSince.Add(StartOrderValidity)) || j.Phase != chutejob.PhaseStarting
	case chutejob.PartPending, chutejob.PartDone, chutejob.PartFailed, chutejob.PartStopped:
		return false
	}
	return false
}

func containsTask(reports []chuteorder.TaskReport, id chuteorder.TaskID) bool {
	return slices.ContainsFunc(reports, func(r chuteorder.TaskReport) bool { return r.Task == id })
}

// HandleOrderEnd handles the outcome of an order. It ignores orders of earlier attempts and for inactive parts.
func (t *Transition) HandleOrderEnd(e chuteevent.OrderEnded) {
	id := chuteorder.TaskOf(e.Order)
	j, ok := t.State.LiveJob(id.Job)
	if !ok || j.Attempt != id.Attempt || id.Part >= len(j.Parts) || j.Parts[id.Part].State.Inactive() {
		return
	}
	switch e.Order.(type) {
	case chuteorder.StartTask:
		t.handleStartEnd(j, id.Part, e)
	case chuteorder.CheckpointTask:
		if e.Outcome == chuteorder.OutcomeAccepted {
			t.handleCheckpoint(j.WithPartProgress(id.Part, e.Task.SavedProgress).WithPartCheckpointed(id.Part))
		}
	case chuteorder.StopTask:
		if e.Outcome == chuteorder.OutcomeAccepted {
			t.reconcileTask(e.Worker, e.Task)
		}
	}
}

// handleStartEnd handles the outcome of a start order. An unknown outcome is resolved by the worker's reports.
func (t *Transition) handleStartEnd(j chutejob.Job, part int, e chuteevent.OrderEnded) {
	switch e.Outcome {
	case chuteorder.OutcomeAccepted:
		t.handlePartRunning(j, part)
	case chuteorder.OutcomeRefused:
		t.Count("start-refused", "worker")
		j = t.endPart(j, part, chutejob.PartStopped)
		t.StopRemaining(j, chutejob.StopStartFailed)
	case chuteorder.OutcomeUnknown:
		t.Count("start-unknown", "no-answer")
	}
}

// handleCheckpoint records a checkpoint of one part. It stops a checkpointing job once all parts have saved their
// progress.
func (t *Transition) handleCheckpoint(j chutejob.Job) {
	t.PutJob(j)
	if j.Phase == chutejob.PhaseCheckpointing && j.AllCheckpointed() {
		t.OrderStops(j.WithPhase(chutejob.PhaseStopping, t.Now()))
	}
}

// Silent reports whether the worker has not answered within the silence limit.
func (t *Transition) Silent(id chutetopology.WorkerID) bool {
	r, ok := t.State.Registry.Get(id)
	return !ok || r.Health.Silent(t.Now())
}

// HandleReport updates the jobs from a worker's report. It ignores a report that is older than the latest one.
func (t *Transition) HandleReport(e chuteevent.WorkerPolled) {
	r, ok := t.State.Registry.Get(e.Worker)
	if !ok {
		return
	}
	r, ok = r.WithReport(e)
	if !ok {
		return
	}
	t.State.Registry = t.State.Registry.WithRecord(r)
	for _, reported := range e.Report.Tasks {
		t.reconcileTask(e.Worker, reported)
	}
	for _, id := range r.Jobs {
		t.endMissingParts(id, e)
	}
}
