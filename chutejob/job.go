package chutejob

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// checkpointLossDivisor divides the run time since the latest checkpoint: a stop that is preceded by a checkpoint
// counts as losing one part in checkpointLossDivisor of it.
const checkpointLossDivisor = 10

// nonRestartableLoss is the run time that counts as lost when a job is stopped that cannot be started again.
const nonRestartableLoss = 30 * 24 * time.Hour

// retryDelay is the minimum time between a failed attempt and the next.
const retryDelay = time.Second

// Job is the immutable state of one gang job.
type Job struct {
	ID                  ID                       `json:"id"`
	Spec                Spec                     `json:"spec"`
	Phase               Phase                    `json:"phase"`
	Attempt             int                      `json:"attempt"` // number of the latest attempt, 0 before the first
	Parts               []Part                   `json:"parts"`
	Guaranteed          bool                     `json:"guaranteed"` // runs in a cell of its workspace's guarantee
	SubmittedAt         time.Time                `json:"submitted"`
	StartOrderedAt      time.Time                `json:"ordered-at"` // when the start orders of the attempt were sent, or it was adopted
	RunningSince        time.Time                `json:"started"`    // when all parts of the attempt had started
	EndedAt             time.Time                `json:"ended"`      // zero until it ends
	PhaseSince          time.Time                `json:"since"`      // when the current phase began
	NotBefore           time.Time                `json:"not-before"` // earliest time of the next attempt
	CheckpointOrderedAt time.Time                `json:"saved-at"`   // time of the latest periodic checkpoint order, or RunningSince
	EarlierRunTime      time.Duration            `json:"attained"`   // run time accumulated before RunningSince
	SavedProgress       time.Duration            `json:"saved"`      // run time that all parts can resume from
	StopReason          StopReason               `json:"reason"`     // reason why the latest attempt is or was stopped
	FailedWorkers       []chutetopology.WorkerID `json:"failed-on"`  // distinct workers of parts that failed first
	Failures            int                      `json:"failures"`   // number of attempts that a failed part ended
	Result              chuteresult.Result       `json:"result"`     // zero until it ends
	Executed            bool                     `json:"executed"`   // a part of any attempt may have run
	CancelRequested     bool                     `json:"cancel-ask"` // a cancellation was accepted
}

// New returns a waiting job.
func New(id ID, spec Spec, now time.Time) Job {
	return Job{ID: id, Spec: spec, Phase: PhaseWaiting, SubmittedAt: now, PhaseSince: now}
}

// NewRejected returns a job that was cancelled before anybody submitted it, and that must not be accepted later.
func NewRejected(id ID, now time.Time) Job {
	return New(id, Spec{}, now).WithResult(chuteresult.New(chuteresult.Cancelled, "job %s was cancelled before it was submitted", id), now)
}

// Rejected reports whether the job was cancelled before anybody submitted it.
func (j Job) Rejected() bool {
	return j.Spec == Spec{}
}

// WithPhase returns the job in the phase, which begins now.
func (j Job) WithPhase(phase Phase, now time.Time) Job {
	j.Phase = phase
	j.PhaseSince = now
	return j
}

// WithGrant returns the job in the phase, with one pending part on each block for its next attempt.
func (j Job) WithGrant(phase Phase, blocks []chutetopology.Block, guaranteed bool, now time.Time) Job {
	j.Guaranteed = guaranteed
	j.StopReason = StopNone
	j.Parts = make([]Part, len(blocks))
	for i, b := range blocks {
		j.Parts[i] = Part{Block: b, State: PartPending}
	}
	return j.WithPhase(phase, now)
}

// WithReserved returns the job with its next attempt reserved, before the attempt is recorded. The bootIDs are those of
// the parts' worker agents, in the order of the parts.
func (j Job) WithReserved(bootIDs []string, now time.Time) Job {
	j.Attempt++
	j.Parts = slices.Clone(j.Parts)
	for i := range j.Parts {
		j.Parts[i].BootID = bootIDs[i]
	}
	return j.WithPhase(PhaseReserved, now)
}

// WithStartOrdered returns the job with start orders sent for all parts.
func (j Job) WithStartOrdered(now time.Time) Job {
	j.Parts = slices.Clone(j.Parts)
	for i := range j.Parts {
		j.Parts[i].State = PartOrdered
	}
	j.StartOrderedAt = now
	return j.WithPhase(PhaseStarting, now)
}

// WithExecuted returns the job marked as one of which a part may have run.
func (j Job) WithExecuted() Job {
	j.Executed = true
	return j
}

// WithRunning returns the job as running from now on.
func (j Job) WithRunning(now time.Time) Job {
	j.RunningSince = now
	j.CheckpointOrderedAt = now
	return j.WithPhase(PhaseRunning, now)
}

// WithCheckpointOrdered returns the job with a periodic checkpoint ordered now.
func (j Job) WithCheckpointOrdered(now time.Time) Job {
	j.CheckpointOrderedAt = now
	return j
}

// WithStop returns the job in the phase that leads to its stop, with the run time of the attempt added.
func (j Job) WithStop(phase Phase, reason StopReason, now time.Time) Job {
	j.Parts = slices.Clone(j.Parts)
	for i := range j.Parts {
		j.Parts[i].Checkpointed = false
	}
	return j.withRunTimeAdded(now).WithStopReason(reason).WithPhase(phase, now)
}

// WithStopReason returns the job with the reason for its stop. A job that has a reason keeps it, unless the new one is
// StopCancelled.
func (j Job) WithStopReason(reason StopReason) Job {
	if j.StopReason == StopNone || reason == StopCancelled {
		j.StopReason = reason
	}
	return j
}

// withRunTimeAdded returns the job with the run time of the attempt moved to that of earlier attempts.
func (j Job) withRunTimeAdded(now time.Time) Job {
	if !j.RunningSince.IsZero() {
		j.EarlierRunTime += now.Sub(j.RunningSince)
		j.RunningSince = time.Time{}
	}
	return j
}

// WithFailure returns the job with one more failed attempt and the worker of the part that failed first.
func (j Job) WithFailure(worker chutetopology.WorkerID) Job {
	j.Failures++
	if slices.Contains(j.FailedWorkers, worker) {
		return j
	}
	j.FailedWorkers = append(slices.Clone(j.FailedWorkers), worker)
	return j
}

// WithCancelRequested returns the job with or without a requested cancellation.
func (j Job) WithCancelRequested(requested bool) Job {
	j.CancelRequested = requested
	return j
}

// WithWaiting returns the job in its queue, without accelerators. After a failure it waits before its next attempt.
func (j Job) WithWaiting(now time.Time) Job {
	j = j.withRunTimeAdded(now)
	if j.StopReason == StopPartFailed || j.StopReason == StopStartFailed {
		j.NotBefore = now.Add(retryDelay)
	}
	j.Parts = nil
	j.Guaranteed = false
	return j.WithPhase(PhaseWaiting, now)
}

// WithResult returns the job as ended with the result.
func (j Job) WithResult(result chuteresult.Result, now time.Time) Job {
	j = j.withRunTimeAdded(now)
	j.Result = result
	j.EndedAt = now
	return j.WithPhase(PhaseEnded, now)
}

// RunTime returns the run time of all attempts up to now.
func (j Job) RunTime(now time.Time) time.Duration {
	if j.RunningSince.IsZero() {
		return j.EarlierRunTime
	}
	return j.EarlierRunTime + now.Sub(j.RunningSince)
}

// LostWork returns the run time that a stop would lose now.
func (j Job) LostWork(now time.Time) time.Duration {
	switch {
	case !j.Spec.Restartable():
		return nonRestartableLoss
	case j.RunningSince.IsZero():
		return 0
	case j.Spec.Checkpoint:
		return now.Sub(j.CheckpointOrderedAt) / checkpointLossDivisor
	}
	return now.Sub(j.RunningSince)
}

// HoldsAccelerators reports whether the job is in a phase that holds accelerators.
func (j Job) HoldsAccelerators() bool {
	return j.Phase >= PhaseReserved && j.Phase < PhaseEnded
}

// Movable reports whether the job can save its progress and resume elsewhere, and is not bound to a guaranteed cell.
func (j Job) Movable() bool {
	return j.Spec.Checkpoint && !j.Guaranteed
}
