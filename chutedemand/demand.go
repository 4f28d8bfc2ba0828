package chutedemand

import (
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
	"monsoonchute.example/monsoonchute/chuteurgency"
)

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

// Single returns the demand of the i-th waiting task alone.
func (d Demand) Single(i int) Demand {
	d.Indexes = d.Indexes[i : i+1]
	d.Gain /= float64(max(1, d.Step.Count)) // the job gains once by all of its tasks
	return d
}

// Task returns the id of the i-th waiting task.
func (d Demand) Task(i int) chutegraph.TaskID {
	return chutegraph.TaskID{StepID: d.ID, Index: d.Indexes[i]}
}

// InAnyRack returns the demand without its wishes for a rack, if it may use any.
func (d Demand) InAnyRack(allowed bool) Demand {
	if allowed {
		d.Step.SameRack, d.Step.DataRack = false, ""
	}
	return d
}
