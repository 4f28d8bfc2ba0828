package chutespeed

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// minInterval is the shortest time between two readings of progress that are compared.
	minInterval = 400 * time.Millisecond
	// minPercent is the least progress in percent that is assumed between two readings, so that the rate of a run without
	// progress has a finite logarithm.
	minPercent = 0.3
	// longTermGain is the share of a residual that is added to the long-term part of a worker's estimate.
	longTermGain = 0.15
	// longTermLimit is the highest absolute value of the long-term part, as the logarithm of a speed.
	longTermLimit = 0.35
	// shortTermGain is the share of a residual that is added to the short-term part of a worker's estimate.
	shortTermGain = 0.7
	// shortTermHalfLife is the time in which the short-term part of an estimate halves.
	shortTermHalfLife = 3 * time.Second
	// stepGain is the share of a residual that is added to the estimate of a step after its first reading.
	stepGain = 0.2
	// slowThreshold is the logarithm of the speed below which a worker counts as slow.
	slowThreshold = -0.8
)

// Speeds is the immutable set of estimates for workers and steps.
type Speeds struct {
	workers *immutable.SortedMap[chutetask.WorkerID, estimate]
	steps   *immutable.SortedMap[chutegraph.StepID, float64] // logarithm of percent per second on a worker with speed 1
}

// estimate is the logarithm of a worker's speed as the sum of a long-term part and a short-term part, which decays.
type estimate struct {
	longTerm  float64
	shortTerm float64   // value at updatedAt
	updatedAt time.Time // time of the latest residual
}

// New returns estimates without any readings, in which every worker has speed 1.
func New() Speeds {
	return Speeds{
		workers: immutable.NewSortedMap[chutetask.WorkerID, estimate](chutetask.WorkerOrder{}),
		steps:   immutable.NewSortedMap[chutegraph.StepID, float64](chutegraph.StepOrder{}),
	}
}

// shortTermAt returns the short-term part as it has decayed until now.
func (e estimate) shortTermAt(now time.Time) float64 {
	return e.shortTerm * math.Exp2(-float64(now.Sub(e.updatedAt))/float64(shortTermHalfLife))
}

// logSpeed returns the logarithm of the worker's speed; it is 0 for an unknown worker.
func (s Speeds) logSpeed(worker chutetask.WorkerID, now time.Time) float64 {
	e, _ := s.workers.Get(worker)
	return e.longTerm + e.shortTermAt(now)
}

// Speed returns the relative speed of the worker now; 1 is the usual speed.
func (s Speeds) Speed(worker chutetask.WorkerID, now time.Time) float64 {
	return math.Exp(s.logSpeed(worker, now))
}

// Slow reports whether the worker is much slower than usual now.
func (s Speeds) Slow(worker chutetask.WorkerID, now time.Time) bool {
	return s.logSpeed(worker, now) < slowThreshold
}

// Rate returns the expected progress of a task of the step on the worker in percent per second. It returns false if no
// progress of the step is known.
func (s Speeds) Rate(step chutegraph.StepID, worker chutetask.WorkerID, now time.Time) (float64, bool) {
	base, ok := s.steps.Get(step)
	return math.Exp(base + s.logSpeed(worker, now)), ok
}

// WithProgress returns the estimates after a task of the step advanced by percent on the worker in the interval that
// ends now. The first reading of a step sets its estimate. After that, the residual, which is the difference
// between the logarithms of the measured and the expected rate, corrects the estimates of the worker and, to a lesser
// part, of the step.
func (s Speeds) WithProgress(step chutegraph.StepID, worker chutetask.WorkerID, percent float64, interval time.Duration, now time.Time) Speeds {
	if interval < minInterval {
		return s
	}
	rate := math.Log(max(percent, minPercent) / interval.Seconds())
	base, known := s.steps.Get(step)
	if !known {
		s.steps = s.steps.Set(step, rate-s.logSpeed(worker, now))
		return s
	}
	residual := rate - base - s.logSpeed(worker, now)
	e, _ := s.workers.Get(worker)
	e.shortTerm = e.shortTermAt(now) + shortTermGain*residual
	e.longTerm = max(-longTermLimit, min(longTermLimit, e.longTerm+longTermGain*max(-longTermLimit, min(longTermLimit, residual))))
	e.updatedAt = now
	s.workers = s.workers.Set(worker, e)
	s.steps = s.steps.Set(step, base+stepGain*max(-1, min(1, residual)))
	return s
}

// WithoutWorker returns the estimates without that of the worker.
func (s Speeds) WithoutWorker(worker chutetask.WorkerID) Speeds {
	s.workers = s.workers.Delete(worker)
	return s
}

// WithoutStep returns the estimates without that of the step, for a step that has ended.
func (s Speeds) WithoutStep(step chutegraph.StepID) Speeds {
	s.steps = s.steps.Delete(step)
	return s
}
