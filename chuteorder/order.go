package chuteorder

import (
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// TaskLeaseDuration is the time for which a worker keeps a shard's tasks running without a poll that renews their
// leases.
const TaskLeaseDuration = 20 * time.Second

// ClockRateDivisor bounds the drift between two clocks: they differ by at most one part in ClockRateDivisor of a
// duration.
const ClockRateDivisor = 20

// ExpiryBound returns the time after which a lease of the duration has certainly expired, on its holder's clock too.
func ExpiryBound(lease time.Duration) time.Duration {
	return lease + lease/ClockRateDivisor
}

// TaskID identifies a task: one part of one attempt of a job.
type TaskID struct {
	Job     chutejob.ID `json:"job"`
	Attempt int         `json:"attempt"`
	Part    int         `json:"part"`
}

// String returns the id as "job/attempt/part".
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d", t.Job, t.Attempt, t.Part)
}

// Fence identifies the shard's owner that sends an order or a poll. A worker compares its epoch with the highest epoch
// that it has seen for the shard.
type Fence struct {
	Shard int   `json:"shard"`
	Epoch int64 `json:"epoch"`
}

// Order is an order to a worker: one of StartTask, CheckpointTask and StopTask.
//
//sumtype:decl
type Order interface{ sealedOrder() }

// StartTask starts a task on adjacent accelerators. A worker starts the same task id at most once.
type StartTask struct {
	Task            TaskID             `json:"task"`
	Mask            chutetopology.Mask `json:"mask"`
	Command         string             `json:"command"`
	ResumeFrom      time.Duration      `json:"resume"`      // saved progress to resume from
	DocumentVersion int                `json:"document"`    // version of the operators' document under which the task starts
	ValidUntil      time.Duration      `json:"valid-until"` // worker clock reading after which it refuses the order
}

// CheckpointTask saves the task's progress; the task keeps running.
type CheckpointTask struct {
	Task TaskID `json:"task"`
}

// StopTask stops the task. A task that is stopped before its start never starts.
type StopTask struct {
	Task TaskID `json:"task"`
}

func (StartTask) sealedOrder()      {}
func (CheckpointTask) sealedOrder() {}
func (StopTask) sealedOrder()       {}

// TaskOf returns the id of the task that the order concerns.
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

// Outcome is the outcome of an order, as its sender knows it.
type Outcome int

// The outcomes of an order.
const (
	OutcomeAccepted Outcome = iota + 1 // the worker carried it out
	OutcomeRefused                     // the worker refused it, or this host did before it sent a byte
	OutcomeUnknown                     // the order may have reached the worker
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

// TaskReport is the state of one task in a worker's report. Ended tasks are reported until they are acknowledged.
type TaskReport struct {
	Task          TaskID             `json:"task"`
	Mask          chutetopology.Mask `json:"mask"`
	State         TaskState          `json:"state"`
	SavedProgress time.Duration      `json:"saved"` // run time that the latest checkpoint preserves
}

// Poll asks a worker for its report and renews the leases of the shard's tasks there.
type Poll struct {
	Fence        Fence         `json:"fence"`
	Lease        time.Duration `json:"lease"`       // time from now for which the tasks may run; 0 renews no lease
	Acknowledged []TaskID      `json:"acknowledge"` // ended tasks whose records the worker may forget
}

// Report is a worker's answer to a poll.
type Report struct {
	BootID string        `json:"boot"`  // differs for each start of the worker's agent
	Clock  time.Duration `json:"clock"` // reading of the worker's own clock
	Tasks  []TaskReport  `json:"tasks"`
}
