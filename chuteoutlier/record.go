package chuteoutlier

import (
	"maps"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// fullTrust is the trust in a worker that may get any number of new runs; below it, the trust determines the number.
const fullTrust = 4

const (
	// failureCost is how much trust the first failure after a success costs. One more of another job costs the rest.
	failureCost = 2
	// firstHold is how long a worker without trust gets no new runs; each further time it is twice as long, up to longestHold.
	firstHold = 2 * time.Second
	// longestHold is the longest such time. Slowness lasts 6 to 14 s in the loads that this is made for.
	longestHold = 8 * time.Second
	// slowHold is how long a slow worker gets no new runs after the latest progress that showed it. Workers report at least every
	// 2 s, so that it is held for as long as slow runs go on there.
	slowHold = 3 * time.Second
	// trustInterval is the time without bad evidence in which trust rises by one.
	trustInterval = 10 * time.Second
	// ordinarySpeed is the relative speed from which progress counts as evidence that a worker is not slow.
	ordinarySpeed = 0.6
)

// Cause is the kind of the evidence against a worker.
type Cause int

// The causes.
const (
	CauseNone Cause = iota
	CauseFailures
	CauseSlowness
)

var causeNames = []string{"none", "failures", "slowness"}

// String returns the kebab-case name of the cause.
func (c Cause) String() string {
	if c < CauseNone || c > CauseSlowness {
		return "invalid"
	}
	return causeNames[c]
}

// Record is the immutable record of one worker.
type Record struct {
	doubt         int       // by how much trust is below fullTrust, as of the latest evidence
	doubtSince    time.Time // since when trust has been below fullTrust
	evidenceAt    time.Time // time of the latest change of the doubt
	cause         Cause     // of that evidence
	heldUntil     time.Time // no new runs start before this time
	holds         int       // number of such times since there was full trust
	speed         float64   // relative speed as of the latest progress that showed it slow
	failedAt      time.Time // time of the latest failure
	failedJobs    int       // number of different jobs in a row whose runs have failed since the latest success
	lastFailedJob chutegraph.JobID
	ends          map[string]queueEnd // latest end of a run of each queue; never modified
}

// queueEnd is the latest end of a run of a queue on a worker.
type queueEnd struct {
	doneAt time.Time // latest success; zero if none
	at     time.Time
	failed bool
}

// FailedSinceSuccess reports whether a run has failed on the worker since one last succeeded there.
func (r Record) FailedSinceSuccess() bool {
	return r.failedJobs > 0
}

// Slow reports whether progress has shown the worker slow so lately that it is held for it.
func (r Record) Slow(now time.Time) bool {
	return r.cause == CauseSlowness && now.Before(r.heldUntil)
}

// Speed returns the relative speed of a worker that is slow.
func (r Record) Speed() float64 {
	return r.speed
}

// FailedAt returns when a run last failed on the worker; zero if never.
func (r Record) FailedAt() time.Time {
	return r.failedAt
}

// FailedLast reports whether a run of the job was the latest to fail on the worker, and none has succeeded since.
func (r Record) FailedLast(job chutegraph.JobID) bool {
	return r.failedJobs > 0 && r.lastFailedJob == job
}

// ProvenFor reports whether work of the queue has succeeded on the worker within the time, and nothing has failed there since a
// success.
func (r Record) ProvenFor(queue string, within time.Duration, now time.Time) bool {
	doneAt := r.ends[queue].doneAt
	return !r.FailedSinceSuccess() && !doneAt.IsZero() && now.Sub(doneAt) < within
}

// Trust returns how far the worker is trusted now, from 0 to fullTrust. It rises while there is no further evidence against the worker.
func (r Record) Trust(now time.Time) int {
	if r.doubt == 0 {
		return fullTrust
	}
	regained := max(0, int(now.Sub(r.evidenceAt)/trustInterval))
	return fullTrust - max(0, r.doubt-regained)
}

// withDoubt returns the record with less trust, and without new runs for a time if none is left.
func (r Record) withDoubt(cost int, cause Cause, now time.Time) Record {
	before := r.Trust(now)
	if before == fullTrust {
		r.doubtSince = now
	}
	trust := max(0, before-cost)
	r.doubt, r.evidenceAt, r.cause = fullTrust-trust, now, cause
	switch {
	case trust > 0:
	case cause == CauseSlowness:
		r.heldUntil = now.Add(slowHold)
	case !now.Before(r.heldUntil):
		r.heldUntil = now.Add(min(firstHold<<min(r.holds, 8), longestHold))
		r.holds++
	}
	return r
}

// withConfidence returns the record with more trust, by one.
func (r Record) withConfidence(now time.Time) Record {
	if r.doubt == 0 {
		return r
	}
	trust := min(fullTrust, max(r.Trust(now), 1)+1)
	r.doubt, r.evidenceAt = fullTrust-trust, now
	if r.doubt == 0 {
		r.holds, r.cause = 0, CauseNone
	}
	r.heldUntil = time.Time{}
	return r
}

// withDone returns the record after the successful end of a run. It counts for the trust in the worker if the run began after
// the latest evidence against it.
func (r Record) withDone(queue string, begunAt, now time.Time) Record {
	r = r.withEnd(queue, queueEnd{at: now, doneAt: now})
	r.failedJobs = 0
	if r.cause == CauseFailures && begunAt.After(r.failedAt) {
		return r.withConfidence(now)
	}
	return r
}

// withFailure returns the record after the failure of a run. Further failures of the same job say nothing new. The first job to
// fail costs trust only if it is not known to fail elsewhere too.
func (r Record) withFailure(queue string, job chutegraph.JobID, failsElsewhere bool, now time.Time) Record {
	r = r.withEnd(queue, queueEnd{at: now, doneAt: r.ends[queue].doneAt, failed: true})
	r.failedAt = now
	if r.FailedLast(job) {
		return r
	}
	r.failedJobs++
	r.lastFailedJob = job
	switch {
	case r.failedJobs > 1 || r.Trust(now) < failureCost:
		return r.withDoubt(fullTrust, CauseFailures, now)
	case !failsElsewhere:
		return r.withDoubt(failureCost, CauseFailures, now)
	}
	return r
}

func (r Record) withEnd(queue string, end queueEnd) Record {
	ends := maps.Clone(r.ends)
	if ends == nil {
		ends = make(map[string]queueEnd)
	}
	ends[queue] = end
	r.ends = ends
	return r
}

// withSpeed returns the record after progress has shown the worker's speed.
func (r Record) withSpeed(speed float64, slow bool, now time.Time) Record {
	switch {
	case slow:
		r.speed = speed
		return r.withDoubt(fullTrust, CauseSlowness, now)
	case speed >= ordinarySpeed && r.cause == CauseSlowness:
		return r.withConfidence(now)
	}
	return r
}
