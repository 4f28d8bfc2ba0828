package chuteplacement

import (
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chuteeviction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutequota"
	"monsoonchute.example/monsoonchute/chutetask"
)

// View is the input of a planning pass.
type View struct {
	Now       time.Time
	Workers   []Worker
	RunGroups []chuteeviction.Group // Runs that a guarantee covers are in none
	Demands   []chutedemand.Demand  // in the order in which capacity is given to them
	Quotas    chutequota.Quotas     // what each workspace with a quota may still start
}

// Worker is a worker on which tasks may start.
type Worker struct {
	ID       chutetask.WorkerID
	Service  string
	Rack     string
	Labels   []string
	Capacity chutecapacity.Resources
	Free     chutecapacity.Resources
	Stopping chutecapacity.Resources // reserved by runs that are being stopped
	Ending   chutecapacity.Resources // reserved by runs that are expected to end very soon
	Penalty  float64                 // added to the worker's score; tasks go to the lowest score; 0 for a healthy worker
}

// Decision is a result of a planning pass: a Start, an Evict or a Nominate.
//
//sumtype:decl
type Decision interface{ sealedDecision() }

// Start places a task on a worker.
type Start struct {
	Task   chutegraph.TaskID
	Worker chutetask.WorkerID
}

// Evict stops a run so that a demand can have its capacity.
type Evict struct {
	Run    chutegraph.RunID
	Worker chutetask.WorkerID
	For    chutegraph.StepID
	Cost   float64 // of the run's group, in core-seconds
}

// Nominate keeps capacity that is about to become free on a worker for a task until the next pass.
type Nominate struct {
	Task   chutegraph.TaskID
	Worker chutetask.WorkerID
}

func (Start) sealedDecision()    {}
func (Evict) sealedDecision()    {}
func (Nominate) sealedDecision() {}
