package chuteurgency

import (
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// maxPath is the longest critical path that is told; estimates may be of any size.
const maxPath = 365 * 24 * time.Hour

// Paths returns, for each step, the longest time from its start until the end of the job if nothing waits. Steps without an estimate
// count as 0. A step comes after earlier ones alone, so that one pass over the steps from the last to the first suffices.
func Paths(spec chutegraph.Spec) []time.Duration {
	paths := make([]time.Duration, len(spec.Steps))
	for i := len(spec.Steps) - 1; i >= 0; i-- {
		step := spec.Steps[i]
		paths[i] = min(maxPath, paths[i]+max(0, min(step.Estimate, maxPath)))
		for _, before := range step.After {
			if before >= 0 && before < i {
				paths[before] = max(paths[before], paths[i])
			}
		}
	}
	return paths
}

// Objective returns the time within which a job is on time: its critical path times stretch, plus the target. It is 0 if neither
// is stated, or if the job has a step that lasts or has no estimate.
func Objective(spec chutegraph.Spec, stretch float64, target time.Duration) time.Duration {
	if stretch <= 0 && target <= 0 {
		return 0
	}
	longest := time.Duration(0)
	for i, path := range Paths(spec) {
		if spec.Steps[i].LongRunning || spec.Steps[i].Estimate <= 0 {
			return 0
		}
		longest = max(longest, path)
	}
	return time.Duration(min(float64(maxPath), stretch*float64(longest)+float64(target)))
}
