package chutescheduler

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuteprogress"
	"monsoonchute.example/monsoonchute/chutetask"
)

// maxBatchBytes is the largest sum of the sizes of the rows in one write, unless they are of one job. They grow by a third as
// text in a request.
const maxBatchBytes = 600_000

// batch is the write of progress rows that is in flight, if any.
type batch struct {
	inFlight bool
	jobs     []chutegraph.JobID
	ends     []handledEnds
}

// handledEnds are the ended runs of a worker's incarnation up to a number, whose effects a batch records.
type handledEnds struct {
	worker      chutetask.WorkerID
	incarnation int64
	number      int64
}

// Flush returns up to limit rows to write, and no more than the store takes in one write, and marks the write as in
// flight. It returns no rows while one is in flight or the recorded progress has not been read.
func (s State) Flush(limit int) (State, []chuteaction.Row) {
	if s.batch.inFlight || !s.progressMerged() {
		return s, nil
	}
	limit = s.rejections.MaxJobs(limit)
	jobs := s.jobsToWrite(limit + 1)
	if len(jobs) == 0 {
		return s.withEndsRecorded(), nil
	}
	s.batch = batch{inFlight: true}
	var rows []chuteaction.Row
	size := 0
	for _, j := range jobs[:min(len(jobs), limit)] {
		next := s.rowsOf(j)
		if size += j.SizeBound(); len(rows) > 0 && (size > maxBatchBytes || len(rows)+len(next) > limit) {
			break
		}
		s.runner.Dirty = s.runner.Dirty.Delete(j.ID)
		s.batch.jobs = append(s.batch.jobs, j.ID)
		rows = append(rows, next...)
		s = s.withParts(j.ID, len(next)-1).withRunsRecording(j)
	}
	if len(s.batch.jobs) == len(jobs) && !s.writesAlone() {
		s.batch.ends = s.unrecordedEnds()
	}
	return s, rows
}

// jobsToWrite returns jobs whose progress is to be recorded: one that was set aside if it is due, or else others up to the limit.
func (s State) jobsToWrite(limit int) []chutetask.Job {
	if j, ok := s.runner.Job(s.retried); ok {
		return []chutetask.Job{j}
	}
	var jobs []chutetask.Job
	for i := s.runner.Dirty.Iterator(); !i.Done() && len(jobs) < limit; {
		id, _, _ := i.Next()
		if j, ok := s.runner.Job(id); ok && !s.runner.SetAside[id] {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// writesAlone reports whether a job that was set aside is written alone.
func (s State) writesAlone() bool {
	return s.retried != ""
}

// rowsOf returns the rows that record the progress of the job.
func (s schedulerState) rowsOf(j chutetask.Job) []chuteaction.Row {
	stored, _ := s.parts.Get(j.ID)
	return chuteprogress.Rows(j, s.rejections.MaxRowBytes(j.ID), stored)
}

// withParts returns the state with the number of rows with tasks that the store has, or may have, of a job.
func (s State) withParts(id chutegraph.JobID, count int) State {
	if count > 0 {
		s.parts = s.parts.Set(id, count)
	}
	return s
}

// unrecordedEnds returns each worker's latest handled ended run, if its effects are not known to be recorded, but for the workers
// whose ends are withheld.
func (s State) unrecordedEnds() []handledEnds {
	var unrecorded []handledEnds
	for i := s.runner.Unrecorded.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		if w, ok := s.runner.Pool.Get(id); ok && w.HandledEnd > w.RecordedEnd && !s.runner.Withheld[id] {
			unrecorded = append(unrecorded, handledEnds{worker: id, incarnation: w.Incarnation, number: w.HandledEnd})
		}
	}
	return unrecorded
}

// withEndsRecorded marks all handled ends as recorded. It is for ends that changed no job and leave nothing to write.
func (s State) withEndsRecorded() State {
	for _, e := range s.unrecordedEnds() {
		w, _ := s.runner.Pool.Get(e.worker)
		w.RecordedEnd = e.number
		s.runner.Pool = s.runner.Pool.With(w)
		s.runner.Unrecorded = s.runner.Unrecorded.Delete(e.worker)
	}
	return s
}

// withRunsRecording returns the state with the planned runs of the job marked as being written.
func (s State) withRunsRecording(j chutetask.Job) State {
	j.ForEachTask(func(id chutegraph.TaskID, task chutetask.Task) {
		if task.Phase != chutetask.TaskActive {
			return
		}
		w, r, ok := s.runner.Pool.FindRun(task.Worker, chutegraph.RunID{Task: id, Number: task.Run})
		if ok && r.Phase == chutepool.RunPlanned {
			r.Phase = chutepool.RunRecording
			s.runner.Pool = s.runner.Pool.With(w.WithRun(r))
		}
	})
	return s
}

// HandleCommit handles the write's success: it starts the runs recorded, and workers may delete the ends recorded.
func (s State) HandleCommit(t *chuteaction.Transition, environment chuteledger.Environment) State {
	u := s.transition(t, environment)
	u.handover = u.handover.WithRecorded()
	u.FinalLeases = u.handover.NotExtended()
	b := u.batch
	u.batch = batch{}
	u.retried = ""
	u.resumeRecorded(b.jobs)
	for _, e := range b.ends {
		if w, ok := u.Pool.Get(e.worker); ok && w.Incarnation == e.incarnation && w.HandledEnd >= e.number {
			w.RecordedEnd = max(w.RecordedEnd, e.number)
			u.PutWorker(w)
			if w.RecordedEnd == w.HandledEnd {
				u.Unrecorded = u.Unrecorded.Delete(w.ID)
			}
			u.renewIfDue(w)
		}
	}
	for _, id := range b.jobs {
		if j, ok := u.Job(id); ok {
			u.startRecordedRuns(j)
			if j.Phase.Ended() {
				u.planner = u.planner.WithoutJob(j)
			}
		}
	}
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
