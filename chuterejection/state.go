package chuterejection

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutegraph"
)

const (
	// firstRetryDelay is the wait before a job that was set aside is written again. It doubles with each rejection.
	firstRetryDelay = 250 * time.Millisecond
	// maxRetryDoublings limits that wait to 16 s.
	maxRetryDoublings = 6
	// maxHalvings is how often the rows of a job are halved, to 4 KiB at least.
	maxHalvings = 4
)

// State is the immutable state of the jobs whose progress the store rejects, or has rejected.
type State struct {
	maxJobs int // largest number of jobs in the next write; 0 for no limit
	jobs    *immutable.SortedMap[chutegraph.JobID, rejectedJob]
	aside   map[chutegraph.JobID]bool // those that are set aside; never modified
}

// rejectedJob is a job whose progress the store has rejected when nothing else was written.
type rejectedJob struct {
	rejections int
	retryAt    time.Time
}

// New returns a state without rejected jobs.
func New() State {
	return State{jobs: immutable.NewSortedMap[chutegraph.JobID, rejectedJob](chutegraph.JobOrder{})}
}

// MaxJobs returns how many jobs may share the next write, at most limit.
func (s State) MaxJobs(limit int) int {
	if s.maxJobs > 0 {
		return min(limit, s.maxJobs)
	}
	return limit
}

// Aside returns the jobs that are set aside: no write has them beside others. The map must not be modified.
func (s State) Aside() map[chutegraph.JobID]bool {
	return s.aside
}

// DueJob returns a job that was set aside and is to be written alone now, and false if there is none.
func (s State) DueJob(now time.Time) (chutegraph.JobID, bool) {
	for i := s.jobs.Iterator(); !i.Done(); {
		if id, j, _ := i.Next(); s.aside[id] && !now.Before(j.retryAt) {
			return id, true
		}
	}
	return "", false
}

// Rejections returns how often the store has rejected the job's progress when nothing else was written.
func (s State) Rejections(id chutegraph.JobID) int {
	j, _ := s.jobs.Get(id)
	return j.rejections
}

// MaxRowBytes returns the size of the largest row that is written for the job. It halves with each rejection.
func (s State) MaxRowBytes(id chutegraph.JobID) int {
	return chutegraph.MaxRowBytes >> min(s.Rejections(id), maxHalvings)
}

// WithRejected returns the state after the store has rejected a write of the jobs. One job is set aside; of several the next writes
// have half as many, until the one that is rejected stands alone.
func (s State) WithRejected(jobs []chutegraph.JobID, now time.Time) State {
	if len(jobs) != 1 {
		s.maxJobs = max(1, len(jobs)/2)
		return s
	}
	j, _ := s.jobs.Get(jobs[0])
	j.retryAt = now.Add(firstRetryDelay << min(j.rejections, maxRetryDoublings))
	j.rejections++
	s.jobs = s.jobs.Set(jobs[0], j)
	s.aside = withJob(s.aside, jobs[0])
	return s
}

// WithRecorded returns the state after the store has taken a write of the jobs. Their rows stay as small as they are.
func (s State) WithRecorded(jobs []chutegraph.JobID) State {
	if s.maxJobs > 0 {
		s.maxJobs *= 2
	}
	for _, id := range jobs {
		if s.aside[id] {
			s.aside = withoutJob(s.aside, id)
		}
	}
	return s
}

func withJob(jobs map[chutegraph.JobID]bool, id chutegraph.JobID) map[chutegraph.JobID]bool {
	changed := make(map[chutegraph.JobID]bool, len(jobs)+1)
	for other := range jobs {
		changed[other] = true
	}
	changed[id] = true
	return changed
}

func withoutJob(jobs map[chutegraph.JobID]bool, id chutegraph.JobID) map[chutegraph.JobID]bool {
	changed := make(map[chutegraph.JobID]bool, len(jobs))
	for other := range jobs {
		if other != id {
			changed[other] = true
		}
	}
	return changed
}
