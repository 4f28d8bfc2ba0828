package chutetask

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// Submission is an accepted job as it is recorded, with the settings of its queue at that time.
type Submission struct {
	ID        chutegraph.JobID `json:"id"`
	Queue     string           `json:"queue"`
	Workspace string           `json:"workspace"`
	Service   string           `json:"service"` // service whose workers run the job
	Priority  int              `json:"priority"`
	Attempts  int              `json:"attempts"` // number of failed runs of a task after which the job fails
	Stretch   float64          `json:"stretch"`  // the duration objective is the critical path times Stretch, plus Target
	Target    time.Duration    `json:"target"`   // see Stretch
	Spec      chutegraph.Spec  `json:"spec"`
	// AcceptedAt is when the call that submitted the job arrived, by the store's clock. It is 0 if the host did not know that clock,
	// and in rows of older hosts.
	AcceptedAt time.Duration `json:"accepted-at,omitempty"`
}

// Progress is the part of a job's state that is recorded and outlives the scheduler process.
type Progress struct {
	Phase       Phase      `json:"phase"`
	Occurrences [][][]Task `json:"occurrences"` // by occurrence, step and index; nil for an occurrence that has not begun
	Finished    []bool     `json:"finished"`    // by occurrence; true if all its tasks are done
	Unbegun     bool       `json:"unbegun"`     // runs have been planned, and no worker is known to have begun one
}

// Range is a range of the tasks of a step, which a row holds of a job's progress.
type Range struct {
	Occurrence int
	Step       int
	First      int    // index of the first task
	Tasks      []Task // never modified
}

// Fits reports whether the progress may be that of a job with the specification: it has the same occurrences, and those that
// have begun have the same steps and tasks, in phases that exist and with numbers of runs that tasks have.
func (p Progress) Fits(spec chutegraph.Spec) bool {
	if p.Phase < PhaseQueued || p.Phase > PhaseCancelled || len(p.Occurrences) != spec.Occurrences() || len(p.Finished) != spec.Occurrences() {
		return false
	}
	for _, steps := range p.Occurrences {
		if steps != nil && !slices.EqualFunc(steps, spec.Steps, tasksFit) {
			return false
		}
	}
	return true
}

// maxRecordedRun is the largest number of a recorded run, and of its task's failures. Later ones are exact in every encoding.
const maxRecordedRun = 1 << 52

func tasksFit(tasks []Task, step chutegraph.Step) bool {
	invalid := func(t Task) bool {
		return t.Phase < TaskWaiting || t.Phase > TaskDone || t.Run < 0 || t.Run > maxRecordedRun || t.Failures < 0 || t.Failures > maxRecordedRun
	}
	return len(tasks) == step.Count && !slices.ContainsFunc(tasks, invalid)
}
