package chutespeed

import (
	"maps"
	"math"
	"time"
)

const (
	// priorGain is the share of a deviation that is added to what is usual in a queue.
	priorGain = 0.1
	// minPriorSteps is the number of steps after which the estimates of a queue are relied on.
	minPriorSteps = 8
	// maxPriorDeviation is the mean deviation of the logarithms up to which they are. A slowdown of 5 is a difference of 1.6.
	maxPriorDeviation = 0.4
)

// prior is the usual progress of the tasks of a queue relative to the estimates of their run times.
type prior struct {
	mean      float64 // logarithm of the progress in percent during a hundredth of the estimate
	deviation float64 // mean absolute deviation from that
	steps     int     // number of steps that it is taken from
}

// reliable reports whether the progress of a step can be expected from its estimate.
func (p prior) reliable() bool {
	return p.steps >= minPriorSteps && p.deviation <= maxPriorDeviation
}

// base returns the expected logarithm of the rate of a step in percent per second, and false if its queue tells none.
func (s Speeds) base(r Reading) (float64, bool) {
	p := s.priors[r.Queue]
	return p.mean - estimateLog(r.Estimate), r.Estimate > 0 && p.reliable()
}

// withPrior returns the estimates after the first reading of a step, of the rate on a worker of the usual speed.
func (s Speeds) withPrior(r Reading, rate float64) Speeds {
	if r.Estimate <= 0 || r.Queue == "" {
		return s
	}
	p := s.priors[r.Queue]
	sample := rate + estimateLog(r.Estimate)
	if p.steps == 0 {
		p.mean = sample
	}
	difference := max(-1, min(1, sample-p.mean))
	p.mean += priorGain * difference
	p.deviation += priorGain * (math.Abs(difference) - p.deviation)
	p.steps++
	priors := maps.Clone(s.priors)
	if priors == nil {
		priors = make(map[string]prior)
	}
	priors[r.Queue] = p
	s.priors = priors
	return s
}

// estimateLog returns the logarithm of a hundredth of the estimate in seconds, per percent.
func estimateLog(estimate time.Duration) float64 {
	return math.Log(estimate.Seconds() / 100)
}
