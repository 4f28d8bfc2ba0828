package chutepool

import (
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// RunPhase is the stage of a run on its worker.
type RunPhase int

// The phases of a run.
const (
	RunPlanned   RunPhase = iota + 1 // holds room, is not recorded yet
	RunRecording                     // its record is on the way to the store
	RunOrdered                       // recorded; a start order may have reached the worker
	RunStarted                       // the worker confirmed it
	RunStopping                      // a stop order is out, or is to be repeated
)

// Run is the immutable state of one run of a task on a worker. It holds room until its end is certain.
type Run struct {
	ID              chutegraph.RunID
	Reserved        chutecapacity.Resources
	Priority        int
	Phase           RunPhase
	PhaseSince      time.Time // when the phase began
	OrdersSent      int       // start or stop orders of this phase that were sent
	AnswerPending   bool      // the answer to an order is awaited
	StartUnanswered bool      // a start order got no answer, so that it may be carried out late
	StopAnsweredAt  time.Time // when the worker answered a stop order; zero before
	Working         time.Time // when it was first confirmed; zero before
	Saved           time.Time // when its checkpoint last changed, or when it began
	Incarnation     int64     // of the worker when it last listed the run; 0 before
	Inherited       bool      // a former scheduler started it
	ProgressReadAt  time.Time // when its progress was last read
	Checkpoint      string
	Percent         int
	Usage           int       // as the worker last reported it: see chutetask.RunReport
	held            int       // by how much it is held back, in percent
	PacedAt         time.Time // when that last changed
	Advanced        time.Time // when its progress last changed
	Ticket          string    // that approves the worker, where the queue asks for one
}

// WithPhase returns the run in the phase from the moment on.
func (r Run) WithPhase(phase RunPhase, now time.Time) Run {
	r.Phase = phase
	r.PhaseSince = now
	r.OrdersSent = 0
	if phase == RunStarted && r.Working.IsZero() {
		r.Working, r.Saved, r.Advanced, r.ProgressReadAt = now, now, now, now
	}
	return r
}

// WithOrder returns the run after one more order of its phase.
func (r Run) WithOrder() Run {
	r.OrdersSent++
	return r
}

// WithOutstanding returns the run with the answer to an order awaited or not.
func (r Run) WithAnswerPending(outstanding bool) Run {
	r.AnswerPending = outstanding
	return r
}

// WithUnanswered returns the run with a start order that got no answer.
func (r Run) WithStartUnanswered() Run {
	r.StartUnanswered = true
	return r
}

// WithStopped returns the run with its stop order answered at the moment.
func (r Run) WithStopAnswered(now time.Time) Run {
	r.StopAnsweredAt = now
	return r
}

// Pace returns the share at which the run may work, in percent.
func (r Run) Pace() int {
	return fullPace - r.held
}

// WithPace returns the run with the pace, in percent, from the moment on.
func (r Run) WithPace(percent int, now time.Time) Run {
	r.held = fullPace - percent
	r.PacedAt = now
	return r
}

// fullPace is the pace of a run that is not held back, in percent.
const fullPace = 100

// WithTicket returns the run with the ticket that approves its worker.
func (r Run) WithTicket(ticket string) Run {
	r.Ticket = ticket
	return r
}

// WithReport returns the run with what its worker, in one of its incarnations, says of it at the moment.
func (r Run) WithReport(incarnation int64, report chutetask.RunReport, now time.Time) Run {
	checkpoint, percent := report.Checkpoint, report.Percent
	r.Incarnation = incarnation
	r.Usage = report.Usage
	if checkpoint != r.Checkpoint {
		r.Checkpoint = checkpoint
		r.Saved = now
	}
	if percent != r.Percent {
		r.Percent = percent
		r.Advanced = now
	}
	r.ProgressReadAt = now
	return r
}

// Unsaved returns the core-seconds of work that a stop at the moment would waste. The estimate of the run time stands in
// for what this process has not seen itself.
func (r Run) UnsavedWork(now time.Time, estimate time.Duration, checkpointing bool) float64 {
	if r.Phase <= RunRecording {
		return 0
	}
	lost := now.Sub(r.PhaseSince)
	if !r.Working.IsZero() {
		lost = now.Sub(r.Working)
	}
	if r.Inherited {
		lost = max(lost, estimate*time.Duration(max(r.Percent, inheritedPercent))/100)
	}
	if checkpointing {
		lost = min(lost, now.Sub(r.Saved), longestUnsaved)
	}
	return r.Reserved.Cores() * lost.Seconds()
}

const (
	// inheritedPercent is the progress that is assumed of a run whose start this process has not seen.
	inheritedPercent = 50
	// longestUnsaved bounds the time between two checkpoints of a task that makes them.
	longestUnsaved = 2 * time.Second
)
