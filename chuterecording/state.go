package chuterecording

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuteprogress"
	"monsoonchute.example/monsoonchute/chuterejection"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	component = "scheduler" // these lines are logged as part of the scheduler
	// maxBatchBytes is the largest sum of the sizes of the rows in one write, unless they are of one job. They grow by a third as
	// text in a request.
	maxBatchBytes = 600_000
)

// State is the immutable state of the writes of progress.
type State struct {
	inFlight   bool
	jobs       []chutegraph.JobID                          // in the write that is in flight; never modified
	ends       []handledEnds                               // that it records; never modified
	parts      *immutable.SortedMap[chutegraph.JobID, int] // number of rows with tasks that the store has of large jobs
	rejections chuterejection.State
	retried    chutegraph.JobID // a job that was set aside, to be written alone; empty for none
}

// handledEnds are the ended runs of a worker's incarnation up to a number, whose effects a write records.
type handledEnds struct {
	worker      chutetask.WorkerID
	incarnation int64
	number      int64
}

// New returns a state without a write in flight.
func New() State {
	return State{parts: immutable.NewSortedMap[chutegraph.JobID, int](chutegraph.JobOrder{}), rejections: chuterejection.New()}
}

// WithParts returns the state with the number of rows with tasks that the store has, or may have, of a job.
func (s State) WithParts(id chutegraph.JobID, count int) State {
	if count > 0 {
		s.parts = s.parts.Set(id, count)
	}
	return s
}

// WithTime returns the state at the time: a job that was set aside may be due to be written again.
func (s State) WithTime(now time.Time) State {
	if id, due := s.rejections.DueJob(now); due && !s.inFlight {
		s.retried = id
	}
	return s
}

// Flush returns up to limit rows to write, and no more than the store takes in one write, and marks the write as in
// flight. It returns no rows while one is in flight. The ledger that it returns has the runs in the rows marked.
func (s State) Flush(ledger chuteledger.State, limit int) (State, chuteledger.State, []chuteaction.Row) {
	if s.inFlight {
		return s, ledger, nil
	}
	limit = s.rejections.MaxJobs(limit)
	jobs := s.jobsToWrite(ledger, limit+1)
	if len(jobs) == 0 {
		return s, withEndsRecorded(ledger), nil
	}
	s.inFlight, s.jobs, s.ends = true, nil, nil
	var rows []chuteaction.Row
	size := 0
	for _, j := range jobs[:min(len(jobs), limit)] {
		next := s.rowsOf(j)
		if size += j.SizeBound(); len(rows) > 0 && (size > maxBatchBytes || len(rows)+len(next) > limit) {
			break
		}
		ledger.Dirty = ledger.Dirty.Delete(j.ID)
		s.jobs = append(s.jobs, j.ID)
		rows = append(rows, next...)
		s = s.WithParts(j.ID, len(next)-1)
		ledger = withRunsRecording(ledger, j)
	}
	if len(s.jobs) == len(jobs) && s.retried == "" {
		s.ends = unrecordedEnds(ledger)
	}
	return s, ledger, rows
}

// jobsToWrite returns jobs whose progress is to be recorded: one that was set aside if it is due, or else others up to the limit.
func (s State) jobsToWrite(ledger chuteledger.State, limit int) []chutetask.Job {
	if j, ok := ledger.Job(s.retried); ok {
		return []chutetask.Job{j}
	}
	var jobs []chutetask.Job
	for i := ledger.Dirty.Iterator(); !i.Done() && len(jobs) < limit; {
		id, _, _ := i.Next()
		if j, ok := ledger.Job(id); ok && !ledger.SetAside[id] {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// rowsOf returns the rows that record the progress of the job.
func (s State) rowsOf(j chutetask.Job) []chuteaction.Row {
	stored, _ := s.parts.Get(j.ID)
	return chuteprogress.Rows(j, s.rejections.MaxRowBytes(j.ID), stored)
}

// HandleCommit handles the success of the write in flight: workers may delete the ends that it records. It returns the jobs
// that were written, and the workers whose ends are recorded now.
func (s State) HandleCommit(t *chuterunner.Transition) (next State, jobs []chutegraph.JobID, workers []chutepool.Worker) {
	jobs, ends := s.jobs, s.ends
	s.inFlight, s.jobs, s.ends, s.retried = false, nil, nil, ""
	s = s.withRecorded(t, jobs)
	for _, e := range ends {
		w, ok := t.Pool.Get(e.worker)
		if !ok || w.Incarnation != e.incarnation || w.HandledEnd < e.number {
			continue
		}
		w.RecordedEnd = max(w.RecordedEnd, e.number)
		t.PutWorker(w)
		if w.RecordedEnd == w.HandledEnd {
			t.Unrecorded = t.Unrecorded.Delete(w.ID)
		}
		workers = append(workers, w)
	}
	return s, jobs, workers
}

// unrecordedEnds returns each worker's latest handled ended run, if its effects are not known to be recorded, but for the workers
// whose ends are withheld.
func unrecordedEnds(ledger chuteledger.State) []handledEnds {
	var unrecorded []handledEnds
	for i := ledger.Unrecorded.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		if w, ok := ledger.Pool.Get(id); ok && w.HandledEnd > w.RecordedEnd && !ledger.Withheld[id] {
			unrecorded = append(unrecorded, handledEnds{worker: id, incarnation: w.Incarnation, number: w.HandledEnd})
		}
	}
	return unrecorded
}

// withEndsRecorded marks all handled ends as recorded. It is for ends that changed no job and leave nothing to write.
func withEndsRecorded(ledger chuteledger.State) chuteledger.State {
	for _, e := range unrecordedEnds(ledger) {
		w, _ := ledger.Pool.Get(e.worker)
		w.RecordedEnd = e.number
		ledger.Pool = ledger.Pool.With(w)
		ledger.Unrecorded = ledger.Unrecorded.Delete(e.worker)
	}
	return ledger
}

// withRunsRecording returns the ledger with the planned runs of the job marked as being written.
func withRunsRecording(ledger chuteledger.State, j chutetask.Job) chuteledger.State {
	j.ForEachTask(func(id chutegraph.TaskID, task chutetask.Task) {
		if task.Phase != chutetask.TaskActive {
			return
		}
		w, r, ok := ledger.Pool.FindRun(task.Worker, chutegraph.RunID{Task: id, Number: task.Run})
		if ok && r.Phase == chutepool.RunPlanned {
			r.Phase = chutepool.RunRecording
			ledger.Pool = ledger.Pool.With(w.WithRun(r))
		}
	})
	return ledger
}
