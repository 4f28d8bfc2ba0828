package chutehealth

import (
	"slices"
	"time"
)

const (
	// SilenceLimit is the time without an answered poll after which a worker counts as silent.
	SilenceLimit = 6 * time.Second
	// suspectThreshold is the number of distinct jobs that must fail on a worker, without a success between them,
	// before the worker is suspended.
	suspectThreshold = 3
	// firstSuspension is the duration of a worker's first suspension; each further one is twice as long, up to
	// maxSuspension.
	firstSuspension = 30 * time.Second
	maxSuspension   = 32 * time.Minute
)

// Health is the immutable health record of one worker.
type Health struct {
	ReportedAt     time.Time // when the latest answered poll was sent; zero before the first
	FailedJobs     []string  // ids of the latest distinct jobs that failed since the last success
	SuspendedUntil time.Time // the worker gets no work before this time
	Suspensions    int       // number of suspensions since the last success
	OnProbation    bool      // was suspended and has had no success since; one failure suspends it again
}

// Usable reports whether the worker may be given work now: it is neither silent nor suspended.
func (h Health) Usable(now time.Time) bool {
	return !h.Silent(now) && !now.Before(h.SuspendedUntil)
}

// Silent reports whether the worker has answered no poll that was sent within SilenceLimit.
func (h Health) Silent(now time.Time) bool {
	return h.ReportedAt.IsZero() || now.Sub(h.ReportedAt) > SilenceLimit
}

// Suspected reports whether the worker is suspended now because of failures.
func (h Health) Suspected(now time.Time) bool {
	return now.Before(h.SuspendedUntil)
}

// WithReport returns the record after an answered poll that was sent at the given time. An older poll changes nothing.
func (h Health) WithReport(sent time.Time) Health {
	if sent.After(h.ReportedAt) {
		h.ReportedAt = sent
	}
	return h
}

// WithFailure returns the record after a part of the job failed.
func (h Health) WithFailure(job string) Health {
	if !slices.Contains(h.FailedJobs, job) {
		latest := h.FailedJobs[max(0, len(h.FailedJobs)-suspectThreshold+1):]
		h.FailedJobs = append(slices.Clone(latest), job)
	}
	return h
}

// SuspensionDue reports whether so many distinct jobs have failed that the worker is to be suspended. On probation one
// failure is enough.
func (h Health) SuspensionDue() bool {
	return len(h.FailedJobs) >= suspectThreshold || h.OnProbation && len(h.FailedJobs) > 0
}

// WithSuspension returns the record with a suspension that begins now, and with probation after it.
func (h Health) WithSuspension(now time.Time) Health {
	h.SuspendedUntil = now.Add(min(firstSuspension<<min(h.Suspensions, 10), maxSuspension))
	h.Suspensions++
	h.FailedJobs = nil
	h.OnProbation = true
	return h
}

// WithSuccess returns the record after a part succeeded, which clears all failures and ends probation.
func (h Health) WithSuccess() Health {
	h.FailedJobs = nil
	h.Suspensions = 0
	h.OnProbation = false
	return h
}

// WithoutFailures returns the record without the failures of the job, which is itself at fault because it fails
// everywhere.
func (h Health) WithoutFailures(job string) Health {
	h.FailedJobs = slices.DeleteFunc(slices.Clone(h.FailedJobs), func(id string) bool { return id == job })
	return h
}
