package chuterunner

import (
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// mayHaveRun reports whether the run may have been running when its worker crashed.
func mayHaveRun(r chutepool.Run) bool {
	switch r.Phase {
	case chutepool.RunOrdered:
		return r.OrdersSent > 0 || r.Inherited
	case chutepool.RunStarted, chutepool.RunStopping:
		return true
	case chutepool.RunPlanned, chutepool.RunRecording:
	}
	return false
}

// blameRuns counts the crash of a worker against the tasks of the runs that it may have been running. It returns the
// worker with the runs that were blamed, so that they can be cleared if it has only been unreachable. A worker that
// drains has left as planned.
func (t *Transition) blameRuns(w chutepool.Worker, runs []chutepool.Run) chutepool.Worker {
	if w.Draining {
		return w
	}
	for _, r := range runs {
		if mayHaveRun(r) && t.recordCrash(w.ID, r.ID, r.Quarantined) {
			w = w.WithBlamed(chutepool.Blame{Run: r.ID, Quarantined: r.Quarantined})
		}
	}
	return w
}

// endCrashedRun ends a run that an earlier scheduler recorded for a former incarnation of the worker, which does not list
// it. It reports whether that is so. The worker refuses orders of the earlier scheduler from now on.
func (t *Transition) endCrashedRun(w chutepool.Worker, r chutepool.Run) bool {
	j, ok := t.Job(r.ID.Task.Job)
	if !ok {
		return false
	}
	task, ok := j.Task(r.ID.Task)
	if !ok || task.Run != r.ID.Number || task.Incarnation == 0 || task.Incarnation >= w.Incarnation {
		return false
	}
	t.PutWorker(w.WithCrash(t.Now))
	t.ReleaseRun(w.ID, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndLost})
	t.recordCrash(w.ID, r.ID, r.Quarantined)
	return true
}

// recordCrash records that a worker crashed during a run, and gives its job up if too many have. It reports whether the
// record has changed.
func (t *Transition) recordCrash(worker chutetask.WorkerID, run chutegraph.RunID, quarantined bool) bool {
	j, ok := t.Job(run.Task.Job)
	if !ok || j.Phase.Ended() {
		return false
	}
	if task, ok := j.Task(run.Task); !ok || task.Phase == chutetask.TaskDone {
		return false
	}
	former := j.Crashes(run.Task)
	record := former.WithCrash(run.Number, quarantined)
	if record == former {
		return false
	}
	t.Count("crash-recorded", quarantineReason(quarantined))
	t.Log(component, "worker crashed under a run", j.ID, "run", run, "worker", worker, "crashes", record.Crashes,
		"quarantined", record.Quarantined)
	j = j.WithCrashes(run.Task, record)
	if !record.GivenUp() {
		t.PutJob(j)
		return true
	}
	t.Count("job-given-up", "crashes")
	t.Warn(component, "job failed: workers crash under its task", j.ID, "queue", j.Queue, "task", run.Task, "crashes", record.Crashes)
	j = j.WithPhase(chutetask.PhaseFailed)
	t.PutJob(j)
	t.StopJob(j, "job-failed")
	return true
}

func quarantineReason(quarantined bool) string {
	if quarantined {
		return "quarantined"
	}
	return "shared"
}

// clearBlame takes back the crash of a worker that answers again in the same incarnation.
func (t *Transition) clearBlame(w chutepool.Worker) chutepool.Worker {
	for _, b := range w.Blamed() {
		j, ok := t.Job(b.Run.Task.Job)
		if !ok || j.Phase.Ended() {
			continue
		}
		t.Log(component, "worker did not crash under a run", j.ID, "run", b.Run, "worker", w.ID)
		t.PutJob(j.WithCrashes(b.Run.Task, j.Crashes(b.Run.Task).WithoutCrash(b.Quarantined)))
	}
	return w.WithoutBlamed()
}
