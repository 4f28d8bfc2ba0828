package chutegraph

import (
	"math"
	"strings"
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
)

// JobID identifies a job. The client that submits the job chooses it; it has JobIDLength hexadecimal digits.
type JobID string

// JobOrder orders jobs by their ids.
type JobOrder struct{}

// Compare returns -1, 0 or 1 if the first id comes before, is or comes after the second.
func (JobOrder) Compare(a, b JobID) int {
	return strings.Compare(string(a), string(b))
}

// JobIDLength is the number of hexadecimal digits of a job's id.
const JobIDLength = 16

// Valid reports whether the id has JobIDLength hexadecimal digits.
func (id JobID) Valid() bool {
	if len(id) != JobIDLength {
		return false
	}
	for _, r := range id {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') && (r < 'A' || r > 'F') {
			return false
		}
	}
	return true
}

// Spec is the specification of a job as it was submitted.
type Spec struct {
	Payload    string     `json:"payload"` // passed to the workers unchanged
	Steps      []Step     `json:"steps"`
	Recurrence Recurrence `json:"recurrence"`
}

// Recurrence is the number of occurrences of a job and their start times.
type Recurrence struct {
	Count    int           `json:"count"`    // 0 for a job that runs once and starts at once
	Start    time.Duration `json:"start"`    // start of the first occurrence, since 1970
	Interval time.Duration `json:"interval"` // time between the starts of two occurrences
}

// Occurrences returns the number of times that the steps run.
func (s Spec) Occurrences() int {
	return max(1, s.Recurrence.Count)
}

// TaskCount returns the number of tasks in one occurrence.
func (s Spec) TaskCount() int {
	count := 0
	for _, step := range s.Steps {
		count += step.Count
	}
	return count
}

// HasStartTimes reports whether the occurrences start at given times.
func (s Spec) HasStartTimes() bool {
	return s.Recurrence.Count > 0
}

// Due returns the start time of an occurrence, since 1970; it is 0 for a job that starts at once. A time that is too far away
// for a duration is the longest duration.
func (s Spec) Due(occurrence int) time.Duration {
	if !s.HasStartTimes() {
		return 0
	}
	const latest = time.Duration(math.MaxInt64)
	if s.Recurrence.Interval > 0 && time.Duration(occurrence) > (latest-s.Recurrence.Start)/s.Recurrence.Interval {
		return latest
	}
	return s.Recurrence.Start + time.Duration(occurrence)*s.Recurrence.Interval
}

// PeakAccelerators returns the number of accelerators that one occurrence needs at most at a time, if steps of the same
// depth in the graph run together.
func (s Spec) PeakAccelerators() int {
	depths := make([]int, len(s.Steps))
	needs := make([]int, len(s.Steps))
	peak := 0
	for i, step := range s.Steps {
		for _, dependency := range step.After {
			depths[i] = max(depths[i], depths[dependency]+1)
		}
		needs[depths[i]] += step.Count * step.Request.Accelerators
		peak = max(peak, needs[depths[i]])
	}
	return peak
}

// Step is the specification of one or more equal tasks.
type Step struct {
	Count          int                     `json:"count"`
	Request        chutecapacity.Resources `json:"request"`       // resources of each task
	Estimate       time.Duration           `json:"estimate"`      // estimated run time of a task; 0 if none was given
	After          []int                   `json:"after"`         // positions of earlier steps that must be done first
	Gang           bool                    `json:"gang"`          // the tasks only work while all of them run
	SameRack       bool                    `json:"same-rack"`     // the tasks should run in one rack
	Checkpointing  bool                    `json:"checkpointing"` // the tasks save checkpoints from which they can resume
	Speculative    bool                    `json:"speculative"`   // several runs of a task may run at the same time
	LongRunning    bool                    `json:"long-running"`  // the tasks run until the job is cancelled
	BestEffort     bool                    `json:"fill"`          // the tasks use only processor time that others leave
	Label          string                  `json:"label"`         // label that a worker must have; empty for any worker
	DataRack       string                  `json:"data-rack"`     // rack that holds the data; empty for any rack
	Image          string                  `json:"image"`         // tasks with the same image behave alike
	AntiAffinity   int                     `json:"anti-affinity"` // tasks that may run on one worker at once; 0 for any number
	MaxUnavailable int                     `json:"unavailable"`   // tasks that maintenance may keep from running at once
	TailLimit      time.Duration           `json:"tail-limit"`    // limit of a serving task's tail latency; 0 for others
}

// Reserved returns the resources that a task reserves on a worker; a best-effort task reserves no processor time.
func (s Step) Reserved() chutecapacity.Resources {
	if s.BestEffort {
		return chutecapacity.Resources{Memory: s.Request.Memory, Accelerators: s.Request.Accelerators}
	}
	return s.Request
}

// EstimatedWork returns the work of all tasks of the step in core-seconds; it is 0 without an estimate.
func (s Step) EstimatedWork() float64 {
	return s.Request.Cores() * float64(s.Count) * s.Estimate.Seconds()
}

// EstimatedWork returns the work of one occurrence in core-seconds; steps without an estimate count as 0.
func (s Spec) EstimatedWork() float64 {
	work := 0.0
	for _, step := range s.Steps {
		work += step.EstimatedWork()
	}
	return work
}
