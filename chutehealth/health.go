package chutehealth

import (
	"slices"
	"time"
)

const (
	// SilenceLimit is the time without a report after which a worker counts as silent.
	SilenceLimit = 6 * time.Second
	// suspectJobs is the number of distinct jobs that must fail on a worker, with no success between, to suspect it.
	suspectJobs = 3
	// firstSuspension is how long a worker is left out when it is first suspected; each further spell doubles it.
	firstSuspension = 30 * time.Second
	maxSuspension   = 32 * time.Minute
)

// Health is the immutable record of one worker.
type Health struct {
	ReportedAt time.Time // when the latest answered poll was sent; zero before the first
	Failing    []string  // distinct jobs that failed since the last success
	Suspended  time.Time // no work before this moment
	Spells     int       // consecutive suspensions
	Probing    bool      // the first start after a suspension decides
}

// Usable reports whether the worker may be given work at the moment.
func (h Health) Usable(now time.Time) bool {
	return !h.Silent(now) && !now.Before(h.Suspended)
}

// Silent reports whether no report has come within the silence limit.
func (h Health) Silent(now time.Time) bool {
	return h.ReportedAt.IsZero() || now.Sub(h.ReportedAt) > SilenceLimit
}

// Suspected reports whether the worker is left out for its failures at the moment.
func (h Health) Suspected(now time.Time) bool {
	return now.Before(h.Suspended)
}

// WithReport returns the record after an answered poll that was sent at the moment; older polls change nothing.
func (h Health) WithReport(sent time.Time) Health {
	if sent.After(h.ReportedAt) {
		h.ReportedAt = sent
	}
	return h
}

// WithFailure returns the record after a part of the job failed. A worker on probation is suspended by one failure.
func (h Health) WithFailure(job string, now time.Time) Health {
	if !slices.Contains(h.Failing, job) {
		h.Failing = append(slices.Clone(h.Failing), job)
	}
	if len(h.Failing) < suspectJobs && !h.Probing {
		return h
	}
	h.Suspended = now.Add(min(firstSuspension<<min(h.Spells, 10), maxSuspension))
	h.Spells++
	h.Failing = nil
	h.Probing = true
	return h
}

// WithSuccess returns the record after a part ended well.
func (h Health) WithSuccess() Health {
	h.Failing = nil
	h.Spells = 0
	h.Probing = false
	return h
}

// WithoutJob returns the record with the failures of a job that fails everywhere no longer held against the worker.
func (h Health) WithoutFailures(job string) Health {
	h.Failing = slices.DeleteFunc(slices.Clone(h.Failing), func(id string) bool { return id == job })
	return h
}
