package chutescheduler

import (
	"maps"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// rejectionsBeforeCrashes is the number of rejections from which on the crashes under a job's tasks are not recorded.
	rejectionsBeforeCrashes = 2
	// rejectionsBeforeCheckpoints is the number from which on the checkpoints of its waiting tasks are not, either.
	rejectionsBeforeCheckpoints = 4
)

// HandleRejection handles that the store will never take the latest write. The jobs in it are written again, fewer at a time, until
// the one whose rows it rejects stands alone. That one is set aside: the others go on without it.
func (s State) HandleRejection(t *chuteaction.Transition, environment chuteledger.Environment) State {
	u := s.transition(t, environment)
	b := u.batch
	u.batch, u.retried = batch{}, ""
	for _, id := range b.jobs {
		u.Dirty = u.Dirty.Set(id, true)
	}
	t.Count("rows-rejected", "write")
	if len(b.jobs) == 0 {
		t.Warn(component, "the store rejects the leader's row", "")
		return u.state()
	}
	u.rejections = u.rejections.WithRejected(b.jobs, t.Now)
	if len(b.jobs) == 1 {
		u.setAside(b.jobs[0])
	}
	return u.state()
}

// setAside handles that the store rejects the rows of a job alone. What it runs goes on, and what ends is not acknowledged until
// that is recorded. Nothing of it starts meanwhile.
func (t *transition) setAside(id chutegraph.JobID) {
	j, ok := t.Job(id)
	if !ok {
		return
	}
	rejections := t.rejections.Rejections(id)
	t.Count("rows-rejected", "job")
	t.Warn(component, "the store rejects the progress of a job; it is set aside", id, "rejections", rejections,
		"bytes", j.SizeBound(), "rows", len(t.rowsOf(j)), "phase", j.Phase)
	t.SetAside = t.rejections.Aside()
	t.Emit(chuteaction.SetGauge{Gauge: "jobs-set-aside", Value: float64(len(t.SetAside))})
	t.withholdEnds()
	t.releaseUnrecorded(j)
	if j, ok = t.Job(id); ok {
		t.PutJob(withoutDetails(j, rejections))
	}
}

// withholdEnds keeps the ended runs that are not recorded from being acknowledged: some may be of the job that was set aside.
func (t *transition) withholdEnds() {
	withheld := maps.Clone(t.Withheld)
	if withheld == nil {
		withheld = make(map[chutetask.WorkerID]bool)
	}
	for i := t.Unrecorded.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		withheld[id] = true
	}
	t.Withheld = withheld
}

// releaseUnrecorded releases the runs of a job whose record was rejected. Their start orders have not left.
func (t *transition) releaseUnrecorded(j chutetask.Job) {
	j.ForEachTask(func(id chutegraph.TaskID, task chutetask.Task) {
		w, r, ok := t.Pool.FindRun(task.Worker, chutegraph.RunID{Task: id, Number: task.Run})
		if ok && (r.Phase == chutepool.RunPlanned || r.Phase == chutepool.RunRecording) {
			t.Count("start-dropped", "not-recorded")
			t.ReleaseRun(w.ID, r.ID, chutetask.RunEnd{Run: r.ID, Kind: chutetask.EndStopped})
		}
	})
}

// withoutDetails returns the job without what is only good to know, the more of it the more often its progress was rejected.
func withoutDetails(j chutetask.Job, rejections int) chutetask.Job {
	if rejections >= rejectionsBeforeCrashes {
		j = j.WithoutCrashes()
	}
	if rejections >= rejectionsBeforeCheckpoints {
		j = j.WithoutCheckpoints()
	}
	return j
}

// resumeRecorded lets the jobs go on that were set aside and whose progress has been recorded now.
func (t *transition) resumeRecorded(jobs []chutegraph.JobID) {
	t.rejections = t.rejections.WithRecorded(jobs)
	if len(t.rejections.Aside()) == len(t.SetAside) {
		return
	}
	for _, id := range jobs {
		if t.SetAside[id] {
			t.Log(component, "the progress of a job that was set aside is recorded", id, "row-bytes", t.rejections.MaxRowBytes(id))
		}
	}
	t.SetAside = t.rejections.Aside()
	t.Emit(chuteaction.SetGauge{Gauge: "jobs-set-aside", Value: float64(len(t.SetAside))})
	if len(t.SetAside) == 0 {
		t.Withheld = nil
	}
	t.PlanDue = true
}
