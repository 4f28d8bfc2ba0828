package chuteplacement

import (
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// View is all that a planning pass looks at.
type View struct {
	Now       time.Time
	Workers   []Worker
	RunGroups []RunGroup
	Demands   []Demand // in the order in which they are served
}

// Worker is a worker that may be given work.
type Worker struct {
	ID       chutetask.WorkerID
	Service  string
	Rack     string
	Labels   []string
	Capacity chutecapacity.Resources
	Free     chutecapacity.Resources
	Stopping chutecapacity.Resources // held by runs that are being stopped
	Ending   chutecapacity.Resources // held by runs that are expected to end very soon
	Penalty  float64                 // 0 for a sound worker; greater ones are taken later
}

// Group is work that ends together: a run of one task, or of all tasks of a gang.
type RunGroup struct {
	Priority int
	Cost     float64 // core-seconds of work that stopping it wastes
	Members  []Member
}

// Member is one run of a group.
type Member struct {
	Run      chutegraph.RunID
	Worker   chutetask.WorkerID
	Reserved chutecapacity.Resources
}

// Demand is a step with tasks that wait.
type Demand struct {
	ID               chutegraph.StepID
	Step             chutegraph.Step
	Service          string
	Priority         int
	Indexes          []int                      // of the tasks that wait
	TasksByWorker    map[chutetask.WorkerID]int // tasks of the step that hold room, by worker
	Avoid            map[chutetask.WorkerID]bool
	Tickets          map[chutetask.WorkerID]string // of the workers that may run the step; nil where any may
	MayPreempt       bool                          // running work of lower priority may be stopped for it
	NeedsReservation bool                          // it has waited so long that room is kept free for it
}

// Decision is an outcome of a planning pass: one of the types below.
//
//sumtype:decl
type Decision interface{ sealedDecision() }

// Start gives a task room on a worker.
type Start struct {
	Task   chutegraph.TaskID
	Worker chutetask.WorkerID
}

// Evict stops a run so that a demand can have its room.
type Evict struct {
	Run    chutegraph.RunID
	Worker chutetask.WorkerID
	For    chutegraph.StepID
	Cost   float64 // of the run's group
}

func (Start) sealedDecision() {}
func (Evict) sealedDecision() {}
