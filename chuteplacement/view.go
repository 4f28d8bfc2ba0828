package chuteplacement

import (
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chuteeviction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutequota"
	"monsoonchute.example/monsoonchute/chutetask"
	"monsoonchute.example/monsoonchute/chuteurgency"
)

// View is the input of a planning pass.
type View struct {
	Now       time.Time
	Workers   []Worker
	RunGroups []chuteeviction.Group // Runs that a guarantee covers are in none
	Demands   []Demand              // in the order in which capacity is given to them
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

// Demand is a step with tasks that wait for a worker.
type Demand struct {
	ID               chutegraph.StepID
	Step             chutegraph.Step
	Service          string
	Workspace        string // of its job, whose quota its tasks count towards; empty if it has none
	Priority         int
	Class            chuteurgency.Class            // by which it is ordered within its priority
	Indexes          []int                         // indexes of the tasks that wait
	TasksByWorker    map[chutetask.WorkerID]int    // number of the step's tasks that have capacity on a worker
	Excluded         map[chutetask.WorkerID]bool   // workers on which no task of the step may start
	Tickets          map[chutetask.WorkerID]string // approval tickets of the workers that may run the step; nil if any may
	LatestStart      time.Time                     // of the step for its job to be on time; zero if the job has no objective
	Weighed          bool                          // evictions for it must lose no more than Gain
	Gain             float64                       // value that is lost if it does not start now
	MayPreempt       bool                          // runs of lower priority may be evicted for it
	Nominated        map[int]chutetask.WorkerID    // worker whose capacity an earlier pass nominated for a task, by its index
	Guaranteed       bool                          // its workspace's guarantee covers it: if need be, runs of equal priority are evicted as well
	NeedsReservation bool                          // capacity is reserved for it until it starts
	SharesReserved   bool                          // that may be so beside others of its service, up to a part of the capacity
	MayUseReserved   bool                          // it may use capacity that is reserved for others, for one task or its gang
	MayUseAnyRack    bool                          // it may use any rack as well then
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
