package chutejob

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// MaxNameBytes is the length limit of names in a specification.
const MaxNameBytes = 128

// ID names a job across all shards.
type ID string

// Spec is what the submitter asks for.
type Spec struct {
	Name            string              `json:"name"`
	Workspace       string              `json:"workspace"`
	Shape           chutetopology.Shape `json:"shape"`
	Urgent          bool                `json:"urgent"`
	Repeatable      bool                `json:"repeatable"` // may be started again after an interruption
	Checkpoint      bool                `json:"checkpoint"` // can save its progress and resume from it
	ExpectedRunTime time.Duration       `json:"declared"`   // expected run time, never relied on
	Command         string              `json:"command"`    // passed to the worker as it is
}

// Check returns an error that names the field at fault.
func (s Spec) Check() error {
	switch {
	case s.Name == "" || len(s.Name) > MaxNameBytes:
		return chuteresult.New(chuteresult.Malformed, "name: must have 1 to %d bytes", MaxNameBytes)
	case s.Workspace == "" || len(s.Workspace) > MaxNameBytes:
		return chuteresult.New(chuteresult.Malformed, "workspace: must have 1 to %d bytes", MaxNameBytes)
	case s.ExpectedRunTime < 0:
		return chuteresult.New(chuteresult.Malformed, "declared: must not be negative")
	}
	return s.Shape.Check()
}

// Restarts reports whether the job may be started again once a part of it has started.
func (s Spec) Restartable() bool {
	return s.Repeatable || s.Checkpoint
}
