package chuterunner

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// endAbsentRuns handles the runs that the worker's report should list but does not: those that had started or were
// being stopped have ended, and those that an earlier scheduler recorded are resumed.
func (t *Transition) endAbsentRuns(id chutetask.WorkerID, e chuteaction.LeaseRenewed) {
	if e.MoreEnded {
		return // they may have ended as done
	}
	listed := make(map[chutegraph.RunID]bool, len(e.Running))
	for _, report := range e.Running {
		listed[report.Run] = true
	}
	w, _ := t.Pool.Get(id)
	for _, r := range w.Runs() {
		if listed[r.ID] {
			continue
		}
		switch r.Phase {
		case chutepool.RunStarted:
			if !e.SentAt.Before(r.PhaseSince) {
				t.Count("run-ended", "absent")
				t.ReleaseRun(id, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndLost})
			}
		case chutepool.RunStopping:
			if !r.StopAnsweredAt.IsZero() && !e.SentAt.Before(r.StopAnsweredAt) {
				t.recordInheritedCrash(id, r)
				t.ReleaseRun(id, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndStopped})
			}
		case chutepool.RunOrdered:
			if r.Inherited && r.OrdersSent == 0 && !t.endCrashedRun(id, r) {
				t.resumeRun(id, r)
			}
		case chutepool.RunPlanned, chutepool.RunRecording:
		}
	}
}

// resumeRetryDelay is the delay before a worker must report again while one of its runs cannot be resumed, because other
// workers of the run's gang have not reported yet.
const resumeRetryDelay = 100 * time.Millisecond

// resumeRun starts or stops a run that an earlier scheduler recorded and the worker does not list. A member of a gang
// waits until the workers of all members have reported what they run, since the end of one member ends the whole gang.
// If the gang has worked, the member has run before, and the gang is stopped.
func (t *Transition) resumeRun(id chutetask.WorkerID, r chutepool.Run) {
	w, _ := t.Pool.Get(id)
	j, _ := t.Job(r.ID.Task.Job)
	switch {
	case !t.startStillDue(w, r):
		t.StopRun(id, r.ID, "not-resumed")
	case !t.gangReported(j, r.ID.Task.StepID):
		w.ReportDue = true
		w.RenewAfter = t.Now.Add(resumeRetryDelay)
		t.PutWorker(w)
	case t.gangHasWorked(j, r.ID.Task.StepID):
		t.abandonStart(w, r, "gang-has-worked")
	default:
		t.OrderStart(w, r)
	}
}

// gangReported reports whether the workers of all members of a gang have reported what they run or are lost. It is true
// for a step without a gang.
func (t *Transition) gangReported(j chutetask.Job, id chutegraph.StepID) bool {
	if !j.Step(id).Gang {
		return true
	}
	for _, task := range j.Tasks(id) {
		if w, ok := t.Pool.Get(task.Worker); task.Phase == chutetask.TaskActive && ok && !w.Contacted && !w.Lost {
			return false
		}
	}
	return true
}

// gangHasWorked reports whether a member of a gang has made progress, which it does only while all members run. It is
// false for a step without a gang.
func (t *Transition) gangHasWorked(j chutetask.Job, id chutegraph.StepID) bool {
	if !j.Step(id).Gang {
		return false
	}
	for i, task := range j.Tasks(id) {
		member := chutegraph.RunID{Task: chutegraph.TaskID{StepID: id, Index: i}, Number: task.Run}
		_, r, ok := t.Pool.FindRun(task.Worker, member)
		if ok && (r.Percent > 0 || r.Checkpoint != task.Checkpoint) {
			return true
		}
	}
	return false
}

// gangBroken reports whether the run is of a gang of which another member's run has ended, so that it would wait alone.
func gangBroken(j chutetask.Job, run chutegraph.RunID) bool {
	if !j.Step(run.Task.StepID).Gang {
		return false
	}
	return slices.ContainsFunc(j.Tasks(run.Task.StepID), func(task chutetask.Task) bool {
		return task.Phase != chutetask.TaskActive || task.Run != run.Number
	})
}
