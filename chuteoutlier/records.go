package chuteoutlier

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// endMemory is how long the end of a run counts when the failures of a queue are compared between workers.
	endMemory = 10 * time.Second
	// minWorkersCompared is the least number of workers for such a comparison.
	minWorkersCompared = 3
)

// Records is the immutable set of the records of all workers.
type Records struct {
	workers *immutable.SortedMap[chutetask.WorkerID, Record]
	jobs    *immutable.SortedMap[chutegraph.JobID, chutetask.WorkerID] // worker on which a run of a job first failed
}

// New returns records without any evidence.
func New() Records {
	return Records{
		workers: immutable.NewSortedMap[chutetask.WorkerID, Record](chutetask.WorkerOrder{}),
		jobs:    immutable.NewSortedMap[chutegraph.JobID, chutetask.WorkerID](chutegraph.JobOrder{}),
	}
}

// Of returns the record of the worker, which is empty if nothing is known of it.
func (s Records) Of(worker chutetask.WorkerID) Record {
	r, _ := s.workers.Get(worker)
	return r
}

// WithEnd returns the records after the end of a run of the queue, which began at the time. It reports whether a failure was
// attributed to the worker. One of a queue whose runs fail wherever they run is not.
func (s Records) WithEnd(worker chutetask.WorkerID, queue string, end chutetask.RunEnd, begunAt, now time.Time) (Records, bool) {
	r := s.Of(worker)
	switch end.Kind {
	case chutetask.EndDone:
		s.workers = s.workers.Set(worker, r.withDone(queue, begunAt, now))
	case chutetask.EndFailed:
		job := end.Run.Task.Job
		first, failedBefore := s.jobs.Get(job)
		if !failedBefore {
			s.jobs = s.jobs.Set(job, worker)
		}
		if queue != "" && s.failsWidely(queue, worker, now) {
			s.workers = s.workers.Set(worker, r.withEnd(queue, queueEnd{at: now, doneAt: r.ends[queue].doneAt, failed: true}))
			return s, false
		}
		s.workers = s.workers.Set(worker, r.withFailure(queue, job, failedBefore && first != worker, now))
		return s, true
	case chutetask.EndStopped, chutetask.EndLeaseExpired, chutetask.EndGangBroken, chutetask.EndGangIncomplete, chutetask.EndLost:
	}
	return s, false
}

// failsWidely reports whether the latest run of the queue has failed on more than half of the other workers on which one has
// ended lately.
func (s Records) failsWidely(queue string, worker chutetask.WorkerID, now time.Time) bool {
	compared, failed := 0, 0
	for i := s.workers.Iterator(); !i.Done(); {
		id, r, _ := i.Next()
		end, known := r.ends[queue]
		if id == worker || !known || now.Sub(end.at) >= endMemory {
			continue
		}
		compared++
		if end.failed {
			failed++
		}
	}
	return compared >= minWorkersCompared && 2*failed > compared
}

// WithSpeed returns the records after progress has shown the worker's speed, relative to the usual, and whether it is slow.
func (s Records) WithSpeed(worker chutetask.WorkerID, speed float64, slow bool, now time.Time) Records {
	r, known := s.workers.Get(worker)
	if !slow && (!known || r.cause != CauseSlowness) {
		return s
	}
	s.workers = s.workers.Set(worker, r.withSpeed(speed, slow, now))
	return s
}

// WithoutWorker returns the records without that of the worker, which has left or restarted.
func (s Records) WithoutWorker(worker chutetask.WorkerID) Records {
	s.workers = s.workers.Delete(worker)
	return s
}

// WithoutJob returns the records without what is kept of a job, which has ended.
func (s Records) WithoutJob(job chutegraph.JobID) Records {
	s.jobs = s.jobs.Delete(job)
	return s
}
