package chutespeed

import (
	"math"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Reading is the progress of a task between two reports.
type Reading struct {
	Step     chutegraph.StepID
	Queue    string               // of the job; empty if unknown
	Estimate time.Duration        // of the step's run time; 0 if none was given
	Worker   chutetask.WorkerID   // that made the report
	Members  []chutetask.WorkerID // workers of all members of the task's gang, which advance together; empty without a gang
	Percent  float64
	Interval time.Duration
}

const (
	// ordinaryResidual is the least residual of a gang at which none of its members is slow.
	ordinaryResidual = -0.4
	// suspectResidual is how much slower than the others the slowest member of a gang must be to be taken as the cause alone.
	suspectResidual = 0.25
)

// WithReading returns the estimates after the reading. The first reading of a step sets its estimate, unless it is slow by what the
// queue and the estimated run time tell to expect.
func (s Speeds) WithReading(r Reading, now time.Time) Speeds {
	if r.Interval < minInterval {
		return s
	}
	rate := math.Log(max(r.Percent, minPercent) / r.Interval.Seconds())
	pace, suspect := s.gangSpeed(r, now)
	base, known := s.steps.Get(r.Step)
	if !known {
		expected, expectable := s.base(r)
		s = s.withPrior(r, rate-pace)
		if !expectable || rate-pace-expected >= slowThreshold {
			s.steps = s.steps.Set(r.Step, rate-pace)
			return s
		}
		base = expected
	}
	residual := rate - base - pace
	// Each member of a gang corrects the step, so that a gang without a slow member is soon taken for a slow step. In trials, one
	// correction by all members together left more jobs late.
	s.steps = s.steps.Set(r.Step, base+stepGain*max(-1, min(1, residual)))
	own := rate - base - s.logSpeed(r.Worker, now)
	switch {
	case len(r.Members) <= 1:
		return s.withResidual(r.Worker, residual, now)
	case residual >= ordinaryResidual:
		return s.withResidual(r.Worker, max(0, own), now) // it is no slower than its gang
	case suspect != "" && suspect != r.Worker:
		return s // another member explains it, and reports it as well
	case suspect == "":
		residual /= float64(len(r.Members))
	}
	return s.withResidual(r.Worker, residual, now)
}

// minInformative is the progress in percent that a task must be expected to make between two reports. Reports are in whole
// percents, so that less says little about the speed.
const minInformative = 2.5

// Informative reports whether the reading tells the speed of the worker: the task, at the usual speed, would have made progress
// that can be told from none.
func (s Speeds) Informative(r Reading) bool {
	base, known := s.steps.Get(r.Step)
	return known && r.Interval >= minInterval && math.Exp(base)*r.Interval.Seconds() >= minInformative
}

// gangSpeed returns the logarithm of the speed of the slowest member of a gang, or of the worker without a gang, and the slowest
// member if it is clearly slower than the others.
func (s Speeds) gangSpeed(r Reading, now time.Time) (float64, chutetask.WorkerID) {
	if len(r.Members) <= 1 {
		return s.logSpeed(r.Worker, now), ""
	}
	slowest, next := math.Inf(1), math.Inf(1)
	var worker chutetask.WorkerID
	for _, id := range r.Members {
		switch speed := s.logSpeed(id, now); {
		case id == worker:
		case speed < slowest:
			slowest, next, worker = speed, slowest, id
		case speed < next:
			next = speed
		}
	}
	if next-slowest < suspectResidual {
		worker = ""
	}
	return slowest, worker
}

// withResidual returns the estimates with that of the worker corrected by the residual.
func (s Speeds) withResidual(worker chutetask.WorkerID, residual float64, now time.Time) Speeds {
	e, _ := s.workers.Get(worker)
	e.shortTerm = e.shortTermAt(now) + shortTermGain*residual
	e.longTerm = max(-longTermLimit, min(longTermLimit, e.longTerm+longTermGain*max(-longTermLimit, min(longTermLimit, residual))))
	e.updatedAt = now
	s.workers = s.workers.Set(worker, e)
	return s
}
