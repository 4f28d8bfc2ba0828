package chutejob

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// MaxNameBytes is the maximum length of a name in a specification, in bytes.
const MaxNameBytes = 128

// MaxCommandBytes is the maximum length of a command, in bytes. A worker gets it with each order.
const MaxCommandBytes = 64 << 10

// ID identifies a job across all shards.
type ID string

// Spec is the specification of a job, as submitted.
type Spec struct {
	Name            string              `json:"name"`
	Workspace       string              `json:"workspace"`
	Shape           chutetopology.Shape `json:"shape"`
	Urgent          bool                `json:"urgent"`
	Repeatable      bool                `json:"repeatable"` // may be started again after it was interrupted
	Checkpoint      bool                `json:"checkpoint"` // can save its progress and resume from it
	ExpectedRunTime time.Duration       `json:"declared"`   // as declared by the submitter; only a hint
	Command         string              `json:"command"`    // passed to the worker unchanged
}

// Check returns an error that names the first invalid field.
func (s Spec) Check() error {
	switch {
	case s.Name == "" || len(s.Name) > MaxNameBytes:
		return chuteresult.New(chuteresult.Malformed, "name: must have 1 to %d bytes", MaxNameBytes)
	case s.Workspace == "" || len(s.Workspace) > MaxNameBytes:
		return chuteresult.New(chuteresult.Malformed, "workspace: must have 1 to %d bytes", MaxNameBytes)
	case len(s.Command) > MaxCommandBytes:
		return chuteresult.New(chuteresult.Malformed, "command: must have at most %d bytes", MaxCommandBytes)
	case s.ExpectedRunTime < 0:
		return chuteresult.New(chuteresult.Malformed, "declared: must not be negative")
	}
	return s.Shape.Check()
}

// Restartable reports whether the job may be started again once a part of it has started.
func (s Spec) Restartable() bool {
	return s.Repeatable || s.Checkpoint
}
