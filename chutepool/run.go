package chutepool

import (
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// RunPhase is the phase of a run on its worker.
type RunPhase int

// The phases of a run.
const (
	RunPlanned   RunPhase = iota + 1 // reserves capacity, is not recorded yet
	RunRecording                     // its record is being written to the store
	RunOrdered                       // recorded; a start order may have reached the worker
	RunStarted                       // the worker confirmed that it runs
	RunStopping                      // a stop order was sent, and is repeated if it fails
)

// Run is the immutable state of one run of a task on a worker. It reserves capacity until its end is certain.
type Run struct {
	ID              chutegraph.RunID
	Reserved        chutecapacity.Resources
	Priority        int
	Phase           RunPhase
	PhaseSince      time.Time // when the phase began
	OrdersSent      int       // number of start or stop orders sent in this phase
	AnswerPending   bool      // an order has no answer yet
	StartUnanswered bool      // a start order got no answer and may still be carried out
	StartNotSent    bool      // the host did not send the latest start order, and it is due again
	StopAnsweredAt  time.Time // when the worker answered a stop order; zero before
	StartedAt       time.Time // when the worker first confirmed it; zero before
	CheckpointedAt  time.Time // when its checkpoint last changed; StartedAt before the first change
	Incarnation     int64     // incarnation of the worker that last reported the run; 0 before
	Inherited       bool      // it was started by an earlier scheduler
	ProgressReadAt  time.Time // when the worker last reported its progress
	Checkpoint      string
	Percent         int                     // progress in percent
	Usage           int                     // as last reported; for the unit see chutetask.RunReport
	paceReduction   int                     // percentage points by which the pace is below FullPace
	PacedAt         time.Time               // when the pace last changed
	ProgressedAt    time.Time               // when its progress last changed
	AfterRestart    bool                    // its worker had restarted before it started, which its incarnation does not show yet
	Quarantined     bool                    // it has its worker to itself, since workers crashed under its task
	Ticket          string                  // approval ticket for the worker; empty if the queue needs none
	Workspace       string                  // workspace of its job, whose quota it counts towards; empty if it has none or is unknown
	Request         chutecapacity.Resources // what its task requests, which counts towards that quota
}

// WithPhase returns the run in the phase, which begins now.
func (r Run) WithPhase(phase RunPhase, now time.Time) Run {
	r.Phase = phase
	r.PhaseSince = now
	r.OrdersSent = 0
	r.StopAnsweredAt = time.Time{}
	if phase == RunStarted && r.StartedAt.IsZero() {
		r.StartedAt, r.CheckpointedAt, r.ProgressedAt, r.ProgressReadAt = now, now, now, now
	}
	return r
}

// WithOrder returns the run with one more order sent in its phase.
func (r Run) WithOrder() Run {
	r.OrdersSent++
	r.StartNotSent = false
	return r
}

// WithStartNotSent returns the run without its latest start order, which was not sent.
func (r Run) WithStartNotSent() Run {
	r.OrdersSent--
	r.StartNotSent = true
	return r
}

// WithAnswerPending returns the run with an order that has no answer yet, or with none.
func (r Run) WithAnswerPending(pending bool) Run {
	r.AnswerPending = pending
	return r
}

// WithStartUnanswered returns the run with a start order that got no answer.
func (r Run) WithStartUnanswered() Run {
	r.StartUnanswered = true
	return r
}

// WithStopAnswered returns the run with its stop order answered now.
func (r Run) WithStopAnswered(now time.Time) Run {
	r.StopAnsweredAt = now
	return r
}

// Pace returns the share of its full speed at which the run may work, in percent.
func (r Run) Pace() int {
	return FullPace - r.paceReduction
}

// WithPace returns the run with the pace in percent, which applies from now on.
func (r Run) WithPace(percent int, now time.Time) Run {
	r.paceReduction = FullPace - percent
	r.PacedAt = now
	return r
}

// FullPace is the pace of a run that is not slowed down, in percent.
const FullPace = 100

// Begun reports whether the run has begun, as far as is known when it is released with the end: its worker has confirmed it, or has
// listed its end.
func (r Run) Begun(end chutetask.RunEnd) bool {
	listed := end.Number > 0 || end.Kind != chutetask.EndStopped && end.Kind != chutetask.EndLost
	return listed || !r.StartedAt.IsZero()
}

// Serves reports whether the run of a long-running task is at work, as far as its worker has reported.
func (r Run) Serves() bool {
	return r.Phase == RunStarted && r.Percent == 100
}

// WithReport returns the run with the report that an incarnation of its worker has just made of it.
func (r Run) WithReport(incarnation int64, report chutetask.RunReport, now time.Time) Run {
	checkpoint, percent := report.Checkpoint, report.Percent
	r.Incarnation = incarnation
	r.Usage = report.Usage
	if checkpoint != r.Checkpoint {
		r.Checkpoint = checkpoint
		r.CheckpointedAt = now
	}
	if percent != r.Percent {
		r.Percent = percent
		r.ProgressedAt = now
	}
	r.ProgressReadAt = now
	return r
}

// UnsavedWork returns the core-seconds of work that would be lost if the run stopped now. For a run that an earlier
// scheduler started, the estimate of its run time and its progress stand in for the unknown start time.
func (r Run) UnsavedWork(now time.Time, estimate time.Duration, checkpointing bool) float64 {
	if r.Phase <= RunRecording {
		return 0
	}
	lost := now.Sub(r.PhaseSince)
	if !r.StartedAt.IsZero() {
		lost = now.Sub(r.StartedAt)
	}
	if r.Inherited {
		lost = max(lost, estimate/100*time.Duration(max(r.Percent, minInheritedPercent)))
	}
	if checkpointing {
		lost = min(lost, now.Sub(r.CheckpointedAt), maxCheckpointInterval)
	}
	return r.Reserved.Cores() * lost.Seconds()
}

const (
	// minInheritedPercent is the least progress that is assumed of a run that an earlier scheduler started.
	minInheritedPercent = 50
	// maxCheckpointInterval is the longest time between two checkpoints that is assumed of a checkpointing task.
	maxCheckpointInterval = 2 * time.Second
)
