package chutegraph

import (
	"slices"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// Limits of a submitted job.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 100
	MaxTasks        = 2000    // number of tasks in one occurrence
	MaxOccurrences  = 10_000  // number of occurrences of one job
	maxRequest      = 1 << 30 // amount of each resource of a task, in the unit of chutecapacity.Resources
	maxTextBytes    = 200     // length of a label, a rack or an image
)

// Check returns a chuteresult.Malformed error that names the invalid field, or nil if the specification is valid.
func (s Spec) Check() error {
	switch {
	case len(s.Payload) > MaxPayloadBytes:
		return malformed("payload: has %d bytes, the limit is %d", len(s.Payload), MaxPayloadBytes)
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return malformed("steps: must be 1 to %d", MaxSteps)
	case s.Recurrence.Count < 0 || s.Recurrence.Count > MaxOccurrences:
		return malformed("recurrence: must be 0 to %d times", MaxOccurrences)
	case s.Recurrence.Interval < 0 || s.Recurrence.Start < 0:
		return malformed("recurrence: times must not be negative")
	}
	for i, step := range s.Steps {
		if err := step.check(i); err != nil {
			return err
		}
	}
	if tasks := s.TaskCount(); tasks > MaxTasks {
		return malformed("steps: have %d tasks together, the limit is %d", tasks, MaxTasks)
	}
	return s.checkSize()
}

// maxRecorded is the largest number of occurrences, and of tasks in one of them, of a recorded job: each takes at least one byte of a
// row with the job's progress.
const maxRecorded = 1 << 16

// Consistent reports whether a recorded specification can be used: its numbers have sizes that they may have, and its steps exist
// and only depend on earlier ones. It does not apply the limits of a submitted job, which another version of the program may have
// set otherwise.
func (s Spec) Consistent() bool {
	r := s.Recurrence
	if len(s.Steps) == 0 || r.Count < 0 || r.Count > maxRecorded || r.Start < 0 || r.Interval < 0 {
		return false
	}
	for i, step := range s.Steps {
		if !step.consistent(i) {
			return false
		}
	}
	return s.TaskCount() <= maxRecorded
}

// consistent reports whether the step, the position of which in the job is its number, can be used.
func (s Step) consistent(number int) bool {
	later := func(dependency int) bool { return dependency < 0 || dependency >= number }
	return s.Count > 0 && s.Count <= maxRecorded && validRequest(s.Request) && s.Estimate >= 0 && s.TailLimit >= 0 &&
		s.AntiAffinity >= 0 && s.MaxUnavailable >= 0 && !slices.ContainsFunc(s.After, later)
}

// check returns an error if a field of the step is invalid; number is the position of the step in the job.
func (s Step) check(number int) error {
	switch {
	case s.Count <= 0 || s.Count > MaxTasks:
		return malformed("step %d: count must be 1 to %d", number, MaxTasks)
	case !validRequest(s.Request):
		return malformed("step %d: its request must not be negative or over %d", number, maxRequest)
	case s.Estimate < 0 || s.TailLimit < 0:
		return malformed("step %d: durations must not be negative", number)
	case s.AntiAffinity < 0 || s.MaxUnavailable < 0:
		return malformed("step %d: limits must not be negative", number)
	case len(s.Label) > maxTextBytes || len(s.DataRack) > maxTextBytes || len(s.Image) > maxTextBytes:
		return malformed("step %d: labels, racks and images have at most %d bytes", number, maxTextBytes)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= number {
			return malformed("step %d: may only come after earlier steps, not %d", number, dependency)
		}
	}
	return nil
}

// validRequest reports whether every resource is from 0 to maxRequest.
func validRequest(r chutecapacity.Resources) bool {
	for _, n := range []int{r.Processor, r.Memory, r.Accelerators} {
		if n < 0 || n > maxRequest {
			return false
		}
	}
	return true
}

func malformed(format string, arguments ...any) error {
	return chuteresult.New(chuteresult.Malformed, format, arguments...)
}
