package chutejob

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// checkpointDiscount is the part of unsaved progress that counts as lost although a checkpoint precedes the stop.
const checkpointDiscount = 10

// lostForEver is the run time that counts as wasted when a job is stopped that cannot be started again.
const lostForEver = 30 * 24 * time.Hour

// retryPause is the wait between a failed attempt and the next.
const retryPause = time.Second

// Phase is the stage of a job's life.
type Phase int

// The phases of a job.
const (
	PhaseWaiting       Phase = iota + 1 // queued, holds nothing
	PhaseClaiming                       // is promised accelerators that other jobs are leaving
	PhaseReserved                       // holds accelerators, its start is being written ahead
	PhaseReady                          // its start is written ahead, no order has left
	PhaseStarting                       // start orders are out
	PhaseRunning                        // every part confirmed
	PhaseCheckpointing                  // saving progress before a stop
	PhaseStopping                       // stop orders are out
	PhaseEnded
)

var phaseNames = []string{"", "waiting", "claiming", "reserved", "ready", "starting", "running", "checkpointing", "stopping", "ended"}

// String returns the kebab-case name of the phase.
func (p Phase) String() string {
	if p < PhaseWaiting || p > PhaseEnded {
		return "invalid"
	}
	return phaseNames[p]
}

// PartState is what is known of one part of an attempt.
type PartState int

// The states of a part.
const (
	PartPending PartState = iota + 1 // no start order has left
	PartOrdered                      // a start order may have reached the worker
	PartRunning
	PartDone
	PartFailed
	PartStopped // certainly not running: refused, stopped, or its lease has lapsed
)

// Gone reports whether the part certainly runs no longer.
func (s PartState) Inactive() bool {
	return s == PartPending || s == PartDone || s == PartFailed || s == PartStopped
}

// Part is one task of an attempt on the adjacent accelerators of one worker.
type Part struct {
	Block         chutetopology.Block `json:"block"`
	Boot          string              `json:"boot"` // of the worker's agent when the attempt was reserved
	State         PartState           `json:"state"`
	Released      bool                `json:"released"`     // its accelerators belong to a later attempt, so that it has ended
	Checkpointed  bool                `json:"checkpointed"` // since the latest demand
	SavedProgress time.Duration       `json:"saved"`        // progress held by its latest checkpoint
}

// StopReason tells why an attempt is stopped before its end.
type StopReason int

// The reasons to stop an attempt.
const (
	StopNone StopReason = iota
	StopCancelled
	StopReclaimed  // a guarantee or more urgent work takes its accelerators
	StopZoneOut    // its zone leaves
	StopPartFailed // one of its parts failed
	StopPartLost   // one of its workers was lost
	StopStartFailed
)

var stopNames = []string{"none", "cancelled", "reclaimed", "zone-out", "part-failed", "part-lost", "start-failed"}

// String returns the kebab-case name of the reason.
func (r StopReason) String() string {
	if r < StopNone || r > StopStartFailed {
		return "invalid"
	}
	return stopNames[r]
}

// Job is the immutable state of one gang job.
type Job struct {
	ID                  ID                       `json:"id"`
	Spec                Spec                     `json:"spec"`
	Phase               Phase                    `json:"phase"`
	Attempt             int                      `json:"attempt"` // number of the latest attempt, 0 before the first
	Parts               []Part                   `json:"parts"`
	Guaranteed          bool                     `json:"guaranteed"` // runs inside a cell of its workspace's guarantee
	SubmittedAt         time.Time                `json:"submitted"`
	RunningSince        time.Time                `json:"started"`    // when the latest attempt was running whole
	EndedAt             time.Time                `json:"ended"`      // zero until it ends
	PhaseSince          time.Time                `json:"since"`      // when the phase began
	NotBefore           time.Time                `json:"not-before"` // no attempt is reserved before this moment
	CheckpointOrderedAt time.Time                `json:"saved-at"`   // when a checkpoint was last ordered
	EarlierRunTime      time.Duration            `json:"attained"`   // run time of earlier attempts
	SavedProgress       time.Duration            `json:"saved"`      // progress held by the latest checkpoint
	StopReason          StopReason               `json:"reason"`     // why the latest attempt is or was stopped
	FailedWorkers       []chutetopology.WorkerID `json:"failed-on"`  // distinct workers on which a part failed first
	Failures            int                      `json:"failures"`   // attempts that ended by a failed part
	Result              chuteresult.Result       `json:"result"`     // zero until it ends
	Executed            bool                     `json:"executed"`   // a part may have run at least once
	CancelRequested     bool                     `json:"cancel-ask"` // a cancellation was accepted
}

// New returns a waiting job.
func New(id ID, spec Spec, now time.Time) Job {
	return Job{ID: id, Spec: spec, Phase: PhaseWaiting, SubmittedAt: now, PhaseSince: now}
}

// WithPhase returns the job in the phase from the moment on.
func (j Job) WithPhase(phase Phase, now time.Time) Job {
	j.Phase = phase
	j.PhaseSince = now
	return j
}

// WithGrant returns the job in the phase with the blocks for its next attempt.
func (j Job) WithGrant(phase Phase, blocks []chutetopology.Block, guaranteed bool, now time.Time) Job {
	j.Guaranteed = guaranteed
	j.StopReason = StopNone
	j.Parts = make([]Part, len(blocks))
	for i, b := range blocks {
		j.Parts[i] = Part{Block: b, State: PartPending}
	}
	return j.WithPhase(phase, now)
}

// WithReserved returns the job with the number of its next attempt, ready to be written ahead, on agents with the boots.
func (j Job) WithReserved(boots []string, now time.Time) Job {
	j.Attempt++
	j.Parts = slices.Clone(j.Parts)
	for i := range j.Parts {
		j.Parts[i].Boot = boots[i]
	}
	return j.WithPhase(PhaseReserved, now)
}

// WithOrdered returns the job with start orders out for all parts.
func (j Job) WithStartOrdered(now time.Time) Job {
	j.Parts = slices.Clone(j.Parts)
	for i := range j.Parts {
		j.Parts[i].State = PartOrdered
	}
	return j.WithPhase(PhaseStarting, now)
}

// WithPart returns the job with the state of one part changed.
func (j Job) WithPart(number int, state PartState) Job {
	j.Parts = slices.Clone(j.Parts)
	j.Parts[number].State = state
	if state == PartRunning || state == PartDone || state == PartFailed {
		j.Executed = true
	}
	return j
}

// WithReleased returns the job with the part's accelerators no longer its own, while its end is still to be reported.
func (j Job) WithPartReleased(number int) Job {
	j.Parts = slices.Clone(j.Parts)
	j.Parts[number].Released = true
	return j
}

// WithExecuted returns the job as one that may have run.
func (j Job) WithExecuted() Job {
	j.Executed = true
	return j
}

// WithPartCheckpointed returns the job with one part's progress saved since the latest demand.
func (j Job) WithPartCheckpointed(number int) Job {
	j.Parts = slices.Clone(j.Parts)
	j.Parts[number].Checkpointed = true
	return j
}

// AllCheckpointed reports whether every part that may run has saved its progress since the latest demand.
func (j Job) AllCheckpointed() bool {
	for _, p := range j.Parts {
		if !p.Checkpointed && !p.State.Inactive() {
			return false
		}
	}
	return true
}

// WithRunning returns the job as running whole from the moment on.
func (j Job) WithRunning(now time.Time) Job {
	j.RunningSince = now
	j.CheckpointOrderedAt = now
	return j.WithPhase(PhaseRunning, now)
}

// WithCheckpointOrdered returns the job with a periodic checkpoint ordered at the moment.
func (j Job) WithCheckpointOrdered(now time.Time) Job {
	j.CheckpointOrderedAt = now
	return j
}

// WithStop returns the job on its way to a stop, in the phase given.
func (j Job) WithStop(phase Phase, reason StopReason, now time.Time) Job {
	return j.withServiceCounted(now).WithStopReason(reason).WithPhase(phase, now)
}

// WithReason returns the job with the reason of its stop; the first reason is kept unless it is cancelled.
func (j Job) WithStopReason(reason StopReason) Job {
	if j.StopReason == StopNone || reason == StopCancelled {
		j.StopReason = reason
	}
	return j
}

func (j Job) withServiceCounted(now time.Time) Job {
	if !j.RunningSince.IsZero() {
		j.EarlierRunTime += now.Sub(j.RunningSince)
		j.RunningSince = time.Time{}
	}
	return j
}

// WithPartSaved returns the job with the progress that one part has saved. The job resumes from the least progress
// of all parts, and that never goes back.
func (j Job) WithPartProgress(number int, saved time.Duration) Job {
	j.Parts = slices.Clone(j.Parts)
	j.Parts[number].SavedProgress = max(j.Parts[number].SavedProgress, saved)
	least := j.Parts[0].SavedProgress
	for _, p := range j.Parts[1:] {
		least = min(least, p.SavedProgress)
	}
	j.SavedProgress = max(j.SavedProgress, least)
	return j
}

// WithFailedOn returns the job after an attempt failed, with the worker among those that failed it.
func (j Job) WithFailure(worker chutetopology.WorkerID) Job {
	j.Failures++
	if slices.Contains(j.FailedWorkers, worker) {
		return j
	}
	j.FailedWorkers = append(slices.Clone(j.FailedWorkers), worker)
	return j
}

// WithCancelAsked returns the job with a cancellation asked for or not.
func (j Job) WithCancelRequested(asked bool) Job {
	j.CancelRequested = asked
	return j
}

// WithWaiting returns the job back in its queue, holding nothing. After a failure it waits before its next attempt.
func (j Job) WithWaiting(now time.Time) Job {
	j = j.withServiceCounted(now)
	if j.StopReason == StopPartFailed || j.StopReason == StopStartFailed {
		j.NotBefore = now.Add(retryPause)
	}
	j.Parts = nil
	j.Guaranteed = false
	return j.WithPhase(PhaseWaiting, now)
}

// WithEnd returns the job as ended with the result.
func (j Job) WithResult(result chuteresult.Result, now time.Time) Job {
	j = j.withServiceCounted(now)
	j.Result = result
	j.EndedAt = now
	return j.WithPhase(PhaseEnded, now)
}

// Blocks returns the accelerators that parts which may still run hold.
func (j Job) Blocks() []chutetopology.Block {
	var blocks []chutetopology.Block
	for _, p := range j.Parts {
		if p.State != PartStopped && p.State != PartDone && p.State != PartFailed && !p.Released {
			blocks = append(blocks, p.Block)
		}
	}
	return blocks
}

// AllStarted reports whether every part is confirmed to have started.
func (j Job) AllStarted() bool {
	for _, p := range j.Parts {
		if p.State != PartRunning && p.State != PartDone {
			return false
		}
	}
	return len(j.Parts) > 0
}

// AllParts reports whether every part is in the state.
func (j Job) AllPartsIn(state PartState) bool {
	for _, p := range j.Parts {
		if p.State != state {
			return false
		}
	}
	return len(j.Parts) > 0
}

// AllGone reports whether no part can be running.
func (j Job) AllInactive() bool {
	for _, p := range j.Parts {
		if !p.State.Inactive() {
			return false
		}
	}
	return true
}

// Service returns the run time received until the moment, over all attempts.
func (j Job) RunTime(now time.Time) time.Duration {
	if j.RunningSince.IsZero() {
		return j.EarlierRunTime
	}
	return j.EarlierRunTime + now.Sub(j.RunningSince)
}

// LostWork returns the run time that a stop at the moment would waste.
func (j Job) LostWork(now time.Time) time.Duration {
	switch {
	case !j.Spec.Restartable():
		return lostForEver
	case j.RunningSince.IsZero():
		return 0
	case j.Spec.Checkpoint:
		return now.Sub(j.CheckpointOrderedAt) / checkpointDiscount
	}
	return now.Sub(j.RunningSince)
}

// Holds reports whether the job is in a phase that holds accelerators.
func (j Job) HoldsAccelerators() bool {
	return j.Phase >= PhaseReserved && j.Phase < PhaseEnded
}

// Movable reports whether the job can save its progress and go on elsewhere, and no guarantee keeps it where it is.
func (j Job) Movable() bool {
	return j.Spec.Checkpoint && !j.Guaranteed
}

// Stoppable reports whether the job may be told to stop: it holds accelerators and is not being stopped yet.
func (j Job) Stoppable() bool {
	return j.Phase == PhaseStarting || j.Phase == PhaseRunning
}
