package chuterenewal

import (
	"monsoonchute.example/monsoonchute/chutecrash"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// applyEnds applies the ended runs that the worker reports and that were not handled before.
func applyEnds(t *chuterunner.Transition, id chutetask.WorkerID, ends []chutetask.RunEnd) {
	for _, end := range ends {
		w, _ := t.Pool.Get(id)
		if end.Number <= w.AcknowledgedEnd { // the acknowledgement was lost
			w.AcknowledgedEnd = end.Number - 1
			t.PutWorker(w)
		}
		if end.Number <= w.HandledEnd {
			continue
		}
		w.HandledEnd = end.Number
		t.Unrecorded = t.Unrecorded.Set(id, true)
		t.PutWorker(w)
		t.ApplyListedEnd(w, end)
		t.WithholdEndsOf(id, end.Run.Task.Job)
	}
}

// applyReports applies the worker's reports on its current runs, and stops the runs that should not be there.
func applyReports(t *chuterunner.Transition, id chutetask.WorkerID, reports []chutetask.RunReport) {
	for _, report := range reports {
		w, r, ok := t.Pool.FindRun(id, report.Run)
		if !ok {
			stopUnexpected(t, id, report)
			continue
		}
		if r.Phase == chutepool.RunOrdered {
			r = r.WithPhase(chutepool.RunStarted, t.Now)
			chutecrash.NoteBegun(t.Transition, r.ID)
		}
		if r.StartedAt.IsZero() { // its stop has begun before its start was confirmed
			t.NoteRunBegun(r.ID.Task.Job)
		}
		updateSpeed(t, id, r, report.Percent)
		r = withWorkspace(t, r)
		t.PutWorker(w.WithRun(r.WithReport(w.Incarnation, report, t.Now)))
		if w.Draining {
			recordCheckpoint(t, report)
		}
		if !t.Expected(id, report.Run) {
			t.StopRun(id, report.Run, "not-expected")
		}
	}
}

// withWorkspace returns the run with its workspace and its request, if it was reported before its job was known.
func withWorkspace(t *chuterunner.Transition, r chutepool.Run) chutepool.Run {
	if j, ok := t.Job(r.ID.Task.Job); ok && r.Workspace == "" && r.ID.Task.Step < len(j.Spec.Steps) {
		r.Workspace, r.Request = j.Workspace, j.Step(r.ID.Task.StepID).Request
	}
	return r
}

// maxRecordedCheckpoint is the length of the longest checkpoint that is recorded while its run goes on, in bytes.
const maxRecordedCheckpoint = 20

// recordCheckpoint records the checkpoint of a run whose worker leaves, so that a later leader knows it when the worker is gone. In a
// gang, a checkpoint tells whether its members have worked, and is recorded at its end.
func recordCheckpoint(t *chuterunner.Transition, report chutetask.RunReport) {
	id := report.Run.Task
	j, ok := t.Live.Get(id.Job)
	if !ok || j.Step(id.StepID).Gang || report.Checkpoint == "" || len(report.Checkpoint) > maxRecordedCheckpoint {
		return
	}
	task, ok := j.Task(id)
	if !ok || task.Phase != chutetask.TaskActive || task.Run != report.Run.Number || task.Checkpoint == report.Checkpoint {
		return
	}
	if j = j.WithTask(id, task.WithCheckpoint(report.Checkpoint)); j.FitsInStore() {
		t.PutJob(j)
	}
}

// updateSpeed updates the estimated speed of the worker from the progress of a run, unless the scheduler slows that down
// or it has no end to progress to.
func updateSpeed(t *chuterunner.Transition, id chutetask.WorkerID, r chutepool.Run, percent int) {
	paced := r.Pace() < chutepool.FullPace || r.PacedAt.After(r.ProgressReadAt)
	if paced || t.LongRunning(r) || r.ProgressReadAt.IsZero() || percent >= 100 || r.Inherited && r.Percent == 0 {
		return
	}
	t.Speeds = t.Speeds.WithProgress(r.ID.Task.StepID, id, float64(percent-r.Percent), t.Now.Sub(r.ProgressReadAt), t.Now)
}

// stopUnexpected stops a run that the worker should not have. The run takes capacity until it has ended.
func stopUnexpected(t *chuterunner.Transition, id chutetask.WorkerID, report chutetask.RunReport) {
	w, _ := t.Pool.Get(id)
	r := chutepool.Run{ID: report.Run, Reserved: w.Capacity} // of an unknown job: it may need the whole worker
	if j, ok := t.Job(report.Run.Task.Job); ok && report.Run.Task.Step < len(j.Spec.Steps) {
		r.Reserved = j.Step(report.Run.Task.StepID).Reserved()
		r.Priority = j.Priority
		r = withWorkspace(t, r)
	}
	t.Count("run-stopped", "not-expected")
	t.Log(component, "run is stopped: the worker should not have it", report.Run.Task.Job, "run", report.Run, "worker", id)
	t.OrderStop(w, r.WithPhase(chutepool.RunStopping, t.Now))
}
