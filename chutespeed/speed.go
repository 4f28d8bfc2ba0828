package chutespeed

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// minInterval is the least time between two readings of progress that are compared.
	minInterval = 400 * time.Millisecond
	// leastPercent stands for the progress of a run that did not advance between two readings.
	leastPercent = 0.3
	// lastingGain is the share of a surprise that is put down to the worker for good.
	lastingGain = 0.15
	// lastingLimit bounds the lasting part of an estimate, as the logarithm of a speed.
	lastingLimit = 0.35
	// passingGain is the share of a surprise that is put down to a passing state of the worker.
	passingGain = 0.7
	// passingHalf is the time in which the passing part of an estimate halves.
	passingHalf = 3 * time.Second
	// stepGain is the share of a surprise that is put down to the step after its first reading.
	stepGain = 0.2
	// slowBelow is the logarithm of the speed under which a worker counts as slow.
	slowBelow = -0.8
)

// Speeds is the immutable state of the estimates.
type Speeds struct {
	workers *immutable.SortedMap[chutetask.WorkerID, estimate]
	steps   *immutable.SortedMap[chutegraph.StepID, float64] // logarithm of percent a second on a worker of speed 1
}

// estimate is the logarithm of a worker's speed in two parts.
type estimate struct {
	lasting float64
	passing float64
	at      time.Time // of the passing part
}

// New returns estimates that know nothing: every worker has speed 1.
func New() Speeds {
	return Speeds{
		workers: immutable.NewSortedMap[chutetask.WorkerID, estimate](chutetask.WorkerOrder{}),
		steps:   immutable.NewSortedMap[chutegraph.StepID, float64](chutegraph.StepOrder{}),
	}
}

func (e estimate) passingAt(now time.Time) float64 {
	return e.passing * math.Exp2(-float64(now.Sub(e.at))/float64(passingHalf))
}

func (s Speeds) log(worker chutetask.WorkerID, now time.Time) float64 {
	e, _ := s.workers.Get(worker)
	return e.lasting + e.passingAt(now)
}

// Speed returns how fast the worker is at the moment; 1 is usual.
func (s Speeds) Speed(worker chutetask.WorkerID, now time.Time) float64 {
	return math.Exp(s.log(worker, now))
}

// Slow reports whether the worker is much slower than the others at the moment.
func (s Speeds) Slow(worker chutetask.WorkerID, now time.Time) bool {
	return s.log(worker, now) < slowBelow
}

// Rate returns the percent a second that a task of the step makes on the worker, and false if no task of it was seen.
func (s Speeds) Rate(step chutegraph.StepID, worker chutetask.WorkerID, now time.Time) (float64, bool) {
	base, ok := s.steps.Get(step)
	return math.Exp(base + s.log(worker, now)), ok
}

// WithProgress returns the estimates after a task of the step advanced on the worker in the interval that ends now.
// What surprises is put down to the worker, and in part to the step.
func (s Speeds) WithProgress(step chutegraph.StepID, worker chutetask.WorkerID, percent float64, interval time.Duration, now time.Time) Speeds {
	if interval < minInterval {
		return s
	}
	rate := math.Log(max(percent, leastPercent) / interval.Seconds())
	base, known := s.steps.Get(step)
	if !known {
		s.steps = s.steps.Set(step, rate-s.log(worker, now))
		return s
	}
	surprise := rate - base - s.log(worker, now)
	e, _ := s.workers.Get(worker)
	e.passing = e.passingAt(now) + passingGain*surprise
	e.lasting = max(-lastingLimit, min(lastingLimit, e.lasting+lastingGain*max(-lastingLimit, min(lastingLimit, surprise))))
	e.at = now
	s.workers = s.workers.Set(worker, e)
	s.steps = s.steps.Set(step, base+stepGain*max(-1, min(1, surprise)))
	return s
}

// WithoutWorker returns the estimates without the worker.
func (s Speeds) WithoutWorker(worker chutetask.WorkerID) Speeds {
	s.workers = s.workers.Delete(worker)
	return s
}

// WithoutStep returns the estimates without the step, which has ended.
func (s Speeds) WithoutStep(step chutegraph.StepID) Speeds {
	s.steps = s.steps.Delete(step)
	return s
}
