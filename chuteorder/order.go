package chuteorder

import (
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// TaskLease is how long a worker keeps the tasks of a shard running without a poll by its owner.
const TaskLeaseDuration = 20 * time.Second

// ClockRateMargin bounds the difference of two clocks' rates: one part in this many.
const ClockRateMargin = 20

// LapsedAfter returns the time after which a lease of the length has certainly lapsed on the other side's clock too.
func ExpiryBound(lease time.Duration) time.Duration {
	return lease + lease/ClockRateMargin
}

// TaskID names one part of one attempt of a job.
type TaskID struct {
	Job     chutejob.ID `json:"job"`
	Attempt int         `json:"attempt"`
	Part    int         `json:"part"`
}

// String returns the id as "job/attempt/part".
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d", t.Job, t.Attempt, t.Part)
}

// Fence is what a worker compares with the highest epoch that it has seen of the shard.
type Fence struct {
	Shard int   `json:"shard"`
	Epoch int64 `json:"epoch"`
}

// Order is a request to a worker: one of the types of this package.
//
//sumtype:decl
type Order interface{ sealedOrder() }

// StartTask starts a task on adjacent accelerators. A worker starts a task id at most once.
type StartTask struct {
	Task            TaskID             `json:"task"`
	Mask            chutetopology.Mask `json:"mask"`
	Command         string             `json:"command"`
	ResumeFrom      time.Duration      `json:"resume"`      // progress to resume from
	DocumentVersion int                `json:"document"`    // version of the document that allows the start
	ValidUntil      time.Duration      `json:"valid-until"` // on the worker's own clock, past which it refuses
}

// CheckpointTask saves the task's progress while it runs on.
type CheckpointTask struct {
	Task TaskID `json:"task"`
}

// StopTask stops the task. A task id that was stopped before its start never starts.
type StopTask struct {
	Task TaskID `json:"task"`
}

func (StartTask) sealedOrder()      {}
func (CheckpointTask) sealedOrder() {}
func (StopTask) sealedOrder()       {}

// TaskOf returns the task that the order is about.
func TaskOf(order Order) TaskID {
	switch o := order.(type) {
	case StartTask:
		return o.Task
	case CheckpointTask:
		return o.Task
	case StopTask:
		return o.Task
	}
	return TaskID{}
}

// Outcome is what became of an order.
type Outcome int

// The outcomes of an order.
const (
	OutcomeAccepted Outcome = iota + 1 // the worker carried it out
	OutcomeRefused                     // the worker, or this host before any byte left, refused it
	OutcomeUnknown                     // it may have reached the worker
)

// TaskState is the state of a task in a worker's report.
type TaskState string

// The states of a task.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped" // after it had run
	TaskVoid    TaskState = "void"    // stopped before its start; it never runs
)

// TaskReport tells the state of one task. Ended tasks are reported until they are acknowledged.
type TaskReport struct {
	Task          TaskID             `json:"task"`
	Mask          chutetopology.Mask `json:"mask"`
	State         TaskState          `json:"state"`
	SavedProgress time.Duration      `json:"saved"` // progress held by the latest checkpoint
}

// Poll renews the leases of a shard's tasks on a worker and asks for its report.
type Poll struct {
	Fence        Fence         `json:"fence"`
	Lease        time.Duration `json:"lease"`
	Acknowledged []TaskID      `json:"acknowledge"` // ended tasks that the worker may forget
}

// Report is a worker's answer to a poll.
type Report struct {
	Boot  string        `json:"boot"`  // differs for each start of the worker's agent
	Clock time.Duration `json:"clock"` // the worker's own clock
	Tasks []TaskReport  `json:"tasks"`
}
