package chutegraph

import (
	"strings"
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
)

// JobID names a job; it is chosen by the submitter and has JobIDLength hexadecimal digits.
type JobID string

// JobOrder orders jobs by their ids.
type JobOrder struct{}

// Compare returns -1, 0 or 1 if the first id comes before, is or comes after the second.
func (JobOrder) Compare(a, b JobID) int {
	return strings.Compare(string(a), string(b))
}

// JobIDLength is the number of hexadecimal digits of a job's id.
const JobIDLength = 16

// Valid reports whether the id has the right length and digits.
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

// Spec is a job as it was submitted.
type Spec struct {
	Payload    string     `json:"payload"` // passed to the workers as it is
	Steps      []Step     `json:"steps"`
	Recurrence Recurrence `json:"recurrence"`
}

// Recurrence tells how often and when the steps run.
type Recurrence struct {
	Count    int           `json:"count"`    // 0 for a job that runs once, at once
	Start    time.Duration `json:"start"`    // of the first occurrence, since 1970
	Interval time.Duration `json:"interval"` // between the starts of occurrences
}

// Occurrences returns how many times the steps run.
func (s Spec) Occurrences() int {
	return max(1, s.Recurrence.Count)
}

// Timed reports whether the steps run at set times.
func (s Spec) HasStartTimes() bool {
	return s.Recurrence.Count > 0
}

// Due returns when an occurrence may start, since 1970; it is zero for a job that runs at once.
func (s Spec) Due(occurrence int) time.Duration {
	if !s.HasStartTimes() {
		return 0
	}
	return s.Recurrence.Start + time.Duration(occurrence)*s.Recurrence.Interval
}

// Step is a number of equal tasks.
type Step struct {
	Count          int                     `json:"count"`
	Request        chutecapacity.Resources `json:"request"`  // of each task
	Estimate       time.Duration           `json:"estimate"` // rough run time of a task; 0 if none was given
	After          []int                   `json:"after"`    // numbers of earlier steps that must be done first
	Gang           bool                    `json:"gang"`     // the tasks work only while all of them run
	SameRack       bool                    `json:"same-rack"`
	Checkpointing  bool                    `json:"checkpointing"`
	Speculative    bool                    `json:"speculative"`  // copies of a task may run in parallel
	LongRunning    bool                    `json:"long-running"` // runs until the job is cancelled
	BestEffort     bool                    `json:"fill"`         // takes the processor time that other tasks leave
	Label          string                  `json:"label"`        // that a worker must have; empty for any
	DataRack       string                  `json:"data-rack"`    // where the data is; empty for anywhere
	Image          string                  `json:"image"`        // tasks of one image behave alike
	AntiAffinity   int                     `json:"anti-affinity"`
	MaxUnavailable int                     `json:"unavailable"` // tasks that may be away at once by our own doing
	TailLimit      time.Duration           `json:"tail-limit"`  // for the response times of a serving task
}

// Reserved returns what a task takes of a worker's capacity.
func (s Step) Reserved() chutecapacity.Resources {
	if s.BestEffort {
		return chutecapacity.Resources{Memory: s.Request.Memory, Accelerators: s.Request.Accelerators}
	}
	return s.Request
}

// Work returns the weight of the step in core-seconds, as far as its estimate tells.
func (s Step) Work() float64 {
	return s.Request.Cores() * float64(s.Count) * s.Estimate.Seconds()
}

// Work returns the weight of the job in core-seconds, as far as its estimates tell.
func (s Spec) Work() float64 {
	work := 0.0
	for _, step := range s.Steps {
		work += step.Work()
	}
	return work
}
