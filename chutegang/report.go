package chutegang

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// taskReported compares one reported task with what the owner knows.
func (t *Transition) taskReported(id chutetopology.WorkerID, r chuteorder.TaskReport) {
	j, ok := t.State.LiveJob(r.Task.Job)
	if !ok || j.Attempt != r.Task.Attempt || r.Task.Part >= len(j.Parts) || j.Parts[r.Task.Part].Block.Worker != id {
		t.disown(id, r)
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
		t.partRunning(j, part)
	case chuteorder.TaskDone:
		t.partDone(j, part)
	case chuteorder.TaskFailed:
		t.partFailed(j, part)
	case chuteorder.TaskStopped:
		t.partStopped(j.WithExecuted(), part)
	case chuteorder.TaskVoid:
		t.partStopped(j, part)
	}
}

// disown ends a task that no live attempt knows: it is stopped, or its record is forgotten unless the job's own row is
// still to be written.
func (t *Transition) disown(id chutetopology.WorkerID, r chuteorder.TaskReport) {
	if r.State == chuteorder.TaskRunning {
		t.Count("task-disowned", "running")
		t.Order(id, chuteorder.StopTask{Task: r.Task}, time.Time{})
		return
	}
	if !t.State.recording(r.Task.Job) {
		t.Acknowledge([]PlacedTask{{Worker: id, Task: r.Task}})
	}
}

func (t *Transition) partRunning(j chutejob.Job, part int) {
	if j.Parts[part].State == chutejob.PartOrdered {
		j = j.WithPart(part, chutejob.PartRunning)
	}
	if j.Phase == chutejob.PhaseStarting && j.AllStarted() {
		j = j.WithRunning(t.Now())
	}
	t.PutJob(j)
}

func (t *Transition) partDone(j chutejob.Job, part int) {
	worker := j.Parts[part].Block.Worker
	if r, ok := t.State.Registry.Get(worker); ok {
		health := r.Health.WithSuccess()
		t.State.Registry = t.State.Registry.WithRecord(r.WithHealth(health))
	}
	j = t.endPart(j, part, chutejob.PartDone)
	switch {
	case j.AllInactive():
		t.Settle(j)
	case j.Phase == chutejob.PhaseStarting && j.AllStarted():
		t.PutJob(j.WithRunning(t.Now()))
	}
}

// partFailed blames the worker of the part that failed first; the other parts of a gang fail with it.
func (t *Transition) partFailed(j chutejob.Job, part int) {
	if j.StopReason == chutejob.StopPartFailed {
		t.StopRemaining(t.endPart(j, part, chutejob.PartFailed), chutejob.StopPartFailed)
		return
	}
	worker := j.Parts[part].Block.Worker
	if r, ok := t.State.Registry.Get(worker); ok {
		health := r.Health.WithFailure(string(j.ID), t.Now())
		t.State.Registry = t.State.Registry.WithRecord(r.WithHealth(health))
		if health.Suspected(t.Now()) {
			t.Warn("worker %s is suspected: parts of several jobs failed on it", worker)
			t.Count("worker-suspected", "failures")
		}
	}
	j = t.endPart(j.WithFailure(worker), part, chutejob.PartFailed)
	t.StopRemaining(j, chutejob.StopPartFailed)
}

// partStopped handles a part that stopped on its worker without a demand known to have arrived.
func (t *Transition) partStopped(j chutejob.Job, part int) {
	j = t.endPart(j, part, chutejob.PartStopped)
	t.StopRemaining(j, chutejob.StopPartLost)
}

// StopRest stops the other parts of a gang that lost one, or settles the job if none is left.
func (t *Transition) StopRemaining(j chutejob.Job, reason chutejob.StopReason) {
	if j.Phase != chutejob.PhaseStopping {
		j = j.WithStop(chutejob.PhaseStopping, reason, t.Now())
	}
	if j.AllInactive() {
		t.Settle(j)
		return
	}
	t.OrderStops(j)
}

// findAbsent ends the job's parts on the worker that a report should list but does not. An agent that was started anew
// has forgotten its tasks, so that their absence does not prove that they never ran.
func (t *Transition) findAbsent(id chutejob.ID, e chuteevent.WorkerPolled) {
	j, ok := t.State.LiveJob(id)
	if !ok {
		return
	}
	for i, p := range j.Parts {
		if p.Block.Worker != e.Worker || !absenceCounts(j, p, e.SentAt) || listed(e.Report.Tasks, taskID(j, i)) {
			continue
		}
		t.Count("part-lost", "absent")
		if p.State == chutejob.PartRunning || p.Boot != e.Report.Boot {
			j = j.WithExecuted()
		}
		t.partStopped(j, i)
		if j, ok = t.State.LiveJob(id); !ok {
			return
		}
	}
}

// absenceCounts reports whether a report that was asked for at the moment must list the part if it runs: its start
// order can no longer be accepted.
func absenceCounts(j chutejob.Job, p chutejob.Part, sent time.Time) bool {
	switch p.State {
	case chutejob.PartRunning:
		return true
	case chutejob.PartOrdered:
		return sent.After(j.PhaseSince.Add(OrderValidity)) || j.Phase != chutejob.PhaseStarting
	case chutejob.PartPending, chutejob.PartDone, chutejob.PartFailed, chutejob.PartStopped:
		return false
	}
	return false
}

func listed(reports []chuteorder.TaskReport, id chuteorder.TaskID) bool {
	return slices.ContainsFunc(reports, func(r chuteorder.TaskReport) bool { return r.Task == id })
}

// OrderEnded handles the end of an order.
func (t *Transition) HandleOrderEnd(e chuteevent.OrderEnded) {
	id := chuteorder.TaskOf(e.Order)
	j, ok := t.State.LiveJob(id.Job)
	if !ok || j.Attempt != id.Attempt || id.Part >= len(j.Parts) || j.Parts[id.Part].State.Inactive() {
		return
	}
	switch e.Order.(type) {
	case chuteorder.StartTask:
		t.startEnded(j, id.Part, e)
	case chuteorder.CheckpointTask:
		if e.Outcome == chuteorder.OutcomeAccepted {
			t.checkpointed(j.WithPartProgress(id.Part, e.Task.SavedProgress).WithPartCheckpointed(id.Part))
		}
	case chuteorder.StopTask:
		if e.Outcome == chuteorder.OutcomeAccepted {
			t.taskReported(e.Worker, e.Task)
		}
	}
}

func (t *Transition) startEnded(j chutejob.Job, part int, e chuteevent.OrderEnded) {
	switch e.Outcome {
	case chuteorder.OutcomeAccepted:
		t.partRunning(j, part)
	case chuteorder.OutcomeRefused:
		t.Count("start-refused", "worker")
		j = t.endPart(j, part, chutejob.PartStopped)
		t.StopRemaining(j, chutejob.StopStartFailed)
	case chuteorder.OutcomeUnknown:
		t.Count("start-unknown", "no-answer")
	}
}

// checkpointed stops the job once all its parts have saved their progress.
func (t *Transition) checkpointed(j chutejob.Job) {
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

// Polled enters a worker's report.
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
		t.taskReported(e.Worker, reported)
	}
	for _, id := range r.Jobs {
		t.findAbsent(id, e)
	}
}
