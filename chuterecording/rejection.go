package chuterecording

import (
	"maps"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// rejectionsBeforeCrashes is the number of rejections from which on the crashes under a job's tasks are not recorded.
	rejectionsBeforeCrashes = 2
	// rejectionsBeforeCheckpoints is the number from which on the checkpoints of its waiting tasks are not, either.
	rejectionsBeforeCheckpoints = 4
)

// HandleRejection handles that the store will never take the write in flight. The jobs in it are written again, fewer at a time,
// until the one whose rows it rejects stands alone. That one is set aside: the others go on without it.
func (s State) HandleRejection(t *chuterunner.Transition) State {
	jobs := s.jobs
	s.inFlight, s.jobs, s.ends, s.retried = false, nil, nil, ""
	for _, id := range jobs {
		t.Dirty = t.Dirty.Set(id, true)
	}
	t.Count("rows-rejected", "write")
	if len(jobs) == 0 {
		t.Warn(component, "the store rejects the leader's row", "")
		return s
	}
	s.rejections = s.rejections.WithRejected(jobs, t.Now)
	if j, ok := t.Job(jobs[0]); ok && len(jobs) == 1 {
		s.setAside(t, j)
	}
	return s
}

// setAside handles that the store rejects the rows of a job alone. What it runs goes on, and what ends is not acknowledged until
// that is recorded. Nothing of it starts meanwhile.
func (s State) setAside(t *chuterunner.Transition, j chutetask.Job) {
	rejections := s.rejections.Rejections(j.ID)
	t.Count("rows-rejected", "job")
	t.Warn(component, "the store rejects the progress of a job; it is set aside", j.ID, "rejections", rejections,
		"bytes", j.SizeBound(), "rows", len(s.rowsOf(j)), "phase", j.Phase)
	t.SetAside = s.rejections.Aside()
	t.Emit(chuteaction.SetGauge{Gauge: "jobs-set-aside", Value: float64(len(t.SetAside))})
	withholdEnds(t)
	releaseUnrecorded(t, j)
	if j, ok := t.Job(j.ID); ok {
		t.PutJob(withoutDetails(j, rejections))
	}
}

// withholdEnds keeps the ended runs that are not recorded from being acknowledged: some may be of the job that was set aside.
func withholdEnds(t *chuterunner.Transition) {
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
func releaseUnrecorded(t *chuterunner.Transition, j chutetask.Job) {
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

// withRecorded returns the state after the jobs were recorded. Those that were set aside go on.
func (s State) withRecorded(t *chuterunner.Transition, jobs []chutegraph.JobID) State {
	s.rejections = s.rejections.WithRecorded(jobs)
	if len(s.rejections.Aside()) == len(t.SetAside) {
		return s
	}
	for _, id := range jobs {
		if t.SetAside[id] {
			t.Log(component, "the progress of a job that was set aside is recorded", id, "row-bytes", s.rejections.MaxRowBytes(id))
		}
	}
	t.SetAside = s.rejections.Aside()
	t.Emit(chuteaction.SetGauge{Gauge: "jobs-set-aside", Value: float64(len(t.SetAside))})
	if len(t.SetAside) == 0 {
		t.Withheld = nil
	}
	t.PlanDue = true
	return s
}
