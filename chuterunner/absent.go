package chuterunner

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// findAbsent looks for runs that the worker should list but does not.
func (t *Transition) findAbsent(id chutetask.WorkerID, e chuteaction.LeaseRenewed) {
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
				t.ReleaseRun(id, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndStopped})
			}
		case chutepool.RunOrdered:
			if r.Inherited && r.OrdersSent == 0 {
				t.resume(id, r)
			}
		case chutepool.RunPlanned, chutepool.RunRecording:
		}
	}
}

// resumePause is the wait before a run that waits for news of its gang is looked at again.
const resumePause = 100 * time.Millisecond

// resume goes on with a run that a former scheduler recorded and the worker does not list. A member of a gang waits until
// the workers of all members have told what they run: the end of one stands for all.
func (t *Transition) resume(id chutetask.WorkerID, r chutepool.Run) {
	w, _ := t.Pool.Get(id)
	j, ok := t.Job(r.ID.Task.Job)
	task, _ := j.Task(r.ID.Task)
	switch {
	case !ok || j.Phase.Ended() || !t.MayStartOn(w) || !t.expected(id, r.ID) || task.Phase != chutetask.TaskActive:
		t.StopRun(id, r.ID, "not-resumed")
	case !t.gangHeard(j, r.ID.Task.StepID):
		w.ReportDue = true
		w.RenewAfter = t.Now.Add(resumePause)
		t.PutWorker(w)
	default:
		t.OrderStart(w, r)
	}
}

// gangHeard reports whether the workers of all members of a gang have told what they run; a task alone waits for nobody.
func (t *Transition) gangHeard(j chutetask.Job, id chutegraph.StepID) bool {
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
