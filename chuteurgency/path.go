package chuteurgency

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// Path returns the longest time from the start of the step until the end of the job if nothing waits. Steps without an estimate
// count as 0.
func Path(spec chutegraph.Spec, step int) time.Duration {
	longest := time.Duration(0)
	for next := step + 1; next < len(spec.Steps); next++ {
		if slices.Contains(spec.Steps[next].After, step) {
			longest = max(longest, Path(spec, next))
		}
	}
	return spec.Steps[step].Estimate + longest
}

// Objective returns the time within which a job is on time: its critical path times stretch, plus the target. It is 0 if neither
// is stated, or if the job has a step that lasts or has no estimate.
func Objective(spec chutegraph.Spec, stretch float64, target time.Duration) time.Duration {
	if stretch <= 0 && target <= 0 {
		return 0
	}
	longest := time.Duration(0)
	for i, step := range spec.Steps {
		if step.LongRunning || step.Estimate <= 0 {
			return 0
		}
		if len(step.After) == 0 {
			longest = max(longest, Path(spec, i))
		}
	}
	return time.Duration(stretch*float64(longest)) + target
}
