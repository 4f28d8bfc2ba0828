package chuterenewal

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecrash"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// endAbsentRuns handles the runs that the worker's report should list but does not: those that had started or were
// being stopped have ended, and those that an earlier scheduler recorded are resumed.
func endAbsentRuns(t *chuterunner.Transition, id chutetask.WorkerID, e chuteaction.LeaseRenewed) {
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
				endAbsentRun(t, w, r, e)
			}
		case chutepool.RunStopping:
			if !r.StopAnsweredAt.IsZero() && !e.SentAt.Before(r.StopAnsweredAt) {
				chutecrash.RecordInherited(t.Transition, id, r)
				t.ReleaseRun(id, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndStopped})
			}
		case chutepool.RunOrdered:
			if r.Inherited && r.OrdersSent == 0 && !endCrashedRun(t, id, r) {
				resumeRun(t, id, r)
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
// If one of them is silent for long, or the gang has worked, so that the member has run before, the gang is stopped.
func resumeRun(t *chuterunner.Transition, id chutetask.WorkerID, r chutepool.Run) {
	w, _ := t.Pool.Get(id)
	j, _ := t.Job(r.ID.Task.Job)
	switch {
	case !t.StartStillDue(w, r):
		t.StopRun(id, r.ID, "not-resumed")
	case !t.GangReported(j, r.ID.Task.StepID) && t.Now.Sub(t.LeaderSince) >= maxGangWait:
		t.AbandonStart(w, r, "gang-member-silent")
	case !t.GangReported(j, r.ID.Task.StepID):
		w.ReportDue = true
		w.RenewAfter = t.Now.Add(resumeRetryDelay)
		t.PutWorker(w)
	case t.GangHasWorked(j, r.ID.Task.StepID):
		t.AbandonStart(w, r, "gang-has-worked")
	default:
		t.OrderStart(w, r)
	}
}

// maxGangWait is how long after its takeover a scheduler waits for the workers of a gang to report what they run.
const maxGangWait = 2 * time.Second

// endAbsentRun ends a run that its worker had confirmed and does not list any more. If the worker's process has started after
// that, the worker has crashed under the run, in an incarnation of which no answer or entry told.
func endAbsentRun(t *chuterunner.Transition, w chutepool.Worker, r chutepool.Run, e chuteaction.LeaseRenewed) {
	if startedAfter(r, e) {
		chutecrash.Record(t.Transition, w.WithUnknownIncarnation(), []chutepool.Run{r}, true)
	}
	t.Count("run-ended", "absent")
	t.ReleaseRun(w.ID, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndLost})
}

// startedAfter reports whether the worker's process, by its clock in the answer, has started after it confirmed the run.
func startedAfter(r chutepool.Run, e chuteaction.LeaseRenewed) bool {
	age := time.Duration(float64(e.Clock) * (1 + chuteledger.MaxClockDrift))
	return e.Clock > 0 && e.SentAt.Add(-age).After(r.StartedAt)
}

// endCrashedRun ends a run that an earlier scheduler recorded for a former incarnation of the worker, which does not list
// it. It reports whether that is so. The worker refuses orders of the earlier scheduler from now on.
func endCrashedRun(t *chuterunner.Transition, worker chutetask.WorkerID, r chutepool.Run) bool {
	if !chutecrash.RecordInherited(t.Transition, worker, r) {
		return false
	}
	t.ReleaseRun(worker, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndLost})
	return true
}
