package chuteaction

import (
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// ExplainRequested asks where a job would go now and why: a job that the leader knows, or one that is not submitted.
type ExplainRequested struct {
	ID         CallID
	Job        chutegraph.JobID // empty for a job that is not submitted, which the other fields describe
	Queue      string
	Workspace  string
	Spec       chutegraph.Spec
	ParseError string // why the body cannot be decoded; empty if it can
}

func (ExplainRequested) sealedEvent() {}

// JobExplanation is the body that tells what a planning pass would decide about a job now.
type JobExplanation struct {
	Job       chutegraph.JobID // empty for a job that is not submitted
	Queue     string
	Workspace string
	Phase     chutetask.Phase
	Priority  int
	JobsAhead int                // jobs of the service with waiting tasks that are served before it
	Ahead     []chutegraph.JobID // the first of them
	Steps     []StepExplanation  // of the steps with waiting tasks
	MoreSteps int                // steps with waiting tasks that Steps leaves out
	Age       DataAge
}

// StepExplanation tells what a planning pass would decide about the waiting tasks of a step now.
type StepExplanation struct {
	Step     chutegraph.StepID
	Waiting  int             // tasks without a run
	Active   int             // tasks with a run
	Starts   []TaskPlacement // waiting tasks that would start, and where
	Kept     []TaskPlacement // waiting tasks for which capacity that is about to become free is kept, and where
	Evicts   []chutegraph.RunID
	Reason   string        // why the tasks that would not start wait, in kebab case; empty if all would start
	Earliest time.Duration // expected time until the first of them may start, if EarliestKnown
	// EarliestKnown reports whether the expected ends of runs, or the start time of the job, tell when that is.
	EarliestKnown bool
}

// TaskPlacement is a task of a step and a worker.
type TaskPlacement struct {
	Index  int
	Worker chutetask.WorkerID
}

// DataAge is the age of what an explanation is based on.
type DataAge struct {
	Workers   time.Duration // of the list of workers
	Operators time.Duration // of the operators' table
	Progress  time.Duration // of the oldest report among those on the running tasks of the service; 0 without any
}

func (JobExplanation) sealedAnswerBody() {}
