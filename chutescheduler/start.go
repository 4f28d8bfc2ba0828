package chutescheduler

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Flush returns up to limit rows to write, and no more than the store takes in one write, and marks the write as in
// flight. It returns no rows while one is in flight or the recorded progress has not been read.
func (s State) Flush(limit int) (State, []chuteaction.Row) {
	if !s.progressMerged() {
		return s, nil
	}
	var rows []chuteaction.Row
	s.recording, s.runner, rows = s.recording.Flush(s.runner, limit)
	return s, rows
}

// HandleCommit handles the write's success: it starts the runs recorded, and workers may delete the ends recorded.
func (s State) HandleCommit(t *chuteaction.Transition, environment chuteledger.Environment) State {
	u := s.transition(t, environment)
	u.handover = u.handover.WithRecorded()
	u.FinalLeases = u.handover.NotExtended()
	recording, jobs, workers := u.recording.HandleCommit(u.Transition)
	u.recording = recording
	for _, w := range workers {
		u.renewIfDue(w)
	}
	for _, id := range jobs {
		if j, ok := u.Job(id); ok {
			u.startRecordedRuns(j)
			if j.Phase.Ended() {
				u.planner = u.planner.WithoutJob(j)
			}
		}
	}
	return u.state()
}

// HandleRejection handles that the store will never take the latest write.
func (s State) HandleRejection(t *chuteaction.Transition, environment chuteledger.Environment) State {
	u := s.transition(t, environment)
	u.recording = u.recording.HandleRejection(u.Transition)
	return u.state()
}

// startRecordedRuns sends the start orders of a job's recorded runs whose workers may still start them. A gang starts
// whole or not at all.
func (t *transition) startRecordedRuns(j chutetask.Job) {
	runs := t.takeRecordedRuns(j)
	broken := make(map[chutegraph.StepID]bool) // gangs of which a member is dropped
	for _, r := range runs {
		step := r.id.Task.StepID
		broken[step] = broken[step] || r.dropped && j.Step(step).Gang
	}
	for _, r := range runs {
		if r.dropped || broken[r.id.Task.StepID] {
			t.Count("start-dropped", "no-longer-right")
			t.ReleaseRun(r.worker, r.id, chutetask.RunEnd{Run: r.id, Kind: chutetask.EndStopped})
			continue
		}
		if w, current, ok := t.Pool.FindRun(r.worker, r.id); ok && current.Phase == chutepool.RunOrdered {
			t.OrderStart(w, current)
		}
	}
}

// recordedRun is a run whose record has just been written.
type recordedRun struct {
	id      chutegraph.RunID
	worker  chutetask.WorkerID
	dropped bool // it must not start any more
}

// takeRecordedRuns marks the runs of a job whose record was being written as ordered, and returns them.
func (t *transition) takeRecordedRuns(j chutetask.Job) []recordedRun {
	var runs []recordedRun
	j.ForEachTask(func(id chutegraph.TaskID, task chutetask.Task) {
		w, r, ok := t.Pool.FindRun(task.Worker, chutegraph.RunID{Task: id, Number: task.Run})
		if !ok || r.Phase != chutepool.RunRecording {
			return
		}
		t.PutWorker(w.WithRun(r.WithPhase(chutepool.RunOrdered, t.Now)))
		completed := task.Phase == chutetask.TaskDone // an earlier run has ended as done during the write
		runs = append(runs, recordedRun{id: r.ID, worker: w.ID, dropped: j.Phase.Ended() || completed || !t.mayStart(w.ID)})
	})
	return runs
}

// mayStart reports whether the worker has answered this scheduler and may get new work.
func (t *transition) mayStart(id chutetask.WorkerID) bool {
	w, ok := t.Pool.Get(id)
	return ok && w.Contacted && t.MayOrderStart(w)
}
