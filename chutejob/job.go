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

// Phase is the stage of a job's life cycle.
type Phase int

// The phases of a job.
const (
	PhaseWaiting       Phase = iota + 1 // queued, without accelerators
	PhaseClaiming                       // waits for other jobs to release the accelerators assigned to it
	PhaseReserved                       // holds accelerators while the record of its attempt is being written
	PhaseReady                          // the record of its attempt is written, no start order was sent
	PhaseStarting                       // start orders were sent
	PhaseRunning                        // every part has started
	PhaseCheckpointing                  // saves its progress before a stop
	PhaseStopping                       // stop orders were sent
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

// PartState is the state of one part of an attempt as its owner knows it.
type PartState int

// The states of a part.
const (
	PartPending PartState = iota + 1 // no start order was sent
	PartOrdered                      // a start order may have reached the worker
	PartRunning
	PartDone
	PartFailed
	PartStopped // certainly not running: its start was refused, it was stopped, or its lease has expired
)

// Inactive reports whether the part certainly does not run.
func (s PartState) Inactive() bool {
	return s == PartPending || s == PartDone || s == PartFailed || s == PartStopped
}

// Part is one task of an attempt on the adjacent accelerators of one worker.
type Part struct {
	Block         chutetopology.Block `json:"block"`
	BootID        string              `json:"boot"` // boot id of the worker's agent when the attempt was reserved
	State         PartState           `json:"state"`
	Released      bool                `json:"released"`     // a later attempt holds its accelerators, so this part has ended
	Checkpointed  bool                `json:"checkpointed"` // has saved its progress since the latest stop was ordered
	SavedProgress time.Duration       `json:"saved"`        // run time that its latest checkpoint preserves
}

// StopReason is the reason why an attempt is stopped before it ends.
type StopReason int

// The reasons to stop an attempt.
const (
	StopNone StopReason = iota
	StopCancelled
	StopReclaimed  // a guarantee or a more urgent job takes its accelerators
	StopZoneOut    // its zone is taken out of service
	StopPartFailed // one of its parts failed
	StopPartLost   // one of its parts stopped, or was lost with its worker
	StopStartFailed
)

var stopReasonNames = []string{"none", "cancelled", "reclaimed", "zone-out", "part-failed", "part-lost", "start-failed"}

// String returns the kebab-case name of the reason.
func (r StopReason) String() string {
	if r < StopNone || r > StopStartFailed {
		return "invalid"
	}
	return stopReasonNames[r]
}

// Job is the immutable state of one gang job.
type Job struct {
	ID                  ID                       `json:"id"`
	Spec                Spec                     `json:"spec"`
	Phase               Phase                    `json:"phase"`
	Attempt             int                      `json:"attempt"` // number of the latest attempt, 0 before the first
	Parts               []Part                   `json:"parts"`
	Guaranteed          bool                     `json:"guaranteed"` // runs in a cell of its workspace's guarantee
	SubmittedAt         time.Time                `json:"submitted"`
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
	return j.WithPhase(PhaseStarting, now)
}

// WithPart returns the job with the state of the numbered part replaced.
func (j Job) WithPart(number int, state PartState) Job {
	j.Parts = slices.Clone(j.Parts)
	j.Parts[number].State = state
	if state == PartRunning || state == PartDone || state == PartFailed {
		j.Executed = true
	}
	return j
}

// WithPartReleased returns the job with the numbered part's accelerators held by a later attempt. The worker has yet to
// report the part's end.
func (j Job) WithPartReleased(number int) Job {
	j.Parts = slices.Clone(j.Parts)
	j.Parts[number].Released = true
	return j
}

// WithExecuted returns the job marked as one of which a part may have run.
func (j Job) WithExecuted() Job {
	j.Executed = true
	return j
}

// WithPartCheckpointed returns the job with the numbered part marked as having saved its progress.
func (j Job) WithPartCheckpointed(number int) Job {
	j.Parts = slices.Clone(j.Parts)
	j.Parts[number].Checkpointed = true
	return j
}

// AllCheckpointed reports whether every part that may run is marked as having saved its progress.
func (j Job) AllCheckpointed() bool {
	for _, p := range j.Parts {
		if !p.Checkpointed && !p.State.Inactive() {
			return false
		}
	}
	return true
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

// WithPartProgress returns the job with the progress that the numbered part has saved. The job resumes from the least
// saved progress of all parts, which never decreases.
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

// Blocks returns the accelerators that the job holds: those of parts that have not ended and were not released.
func (j Job) Blocks() []chutetopology.Block {
	var blocks []chutetopology.Block
	for _, p := range j.Parts {
		if p.State != PartStopped && p.State != PartDone && p.State != PartFailed && !p.Released {
			blocks = append(blocks, p.Block)
		}
	}
	return blocks
}

// AllStarted reports whether every part is known to have started and none has failed or was stopped.
func (j Job) AllStarted() bool {
	for _, p := range j.Parts {
		if p.State != PartRunning && p.State != PartDone {
			return false
		}
	}
	return len(j.Parts) > 0
}

// AllPartsIn reports whether every part is in the state.
func (j Job) AllPartsIn(state PartState) bool {
	for _, p := range j.Parts {
		if p.State != state {
			return false
		}
	}
	return len(j.Parts) > 0
}

// AllInactive reports whether no part can run.
func (j Job) AllInactive() bool {
	for _, p := range j.Parts {
		if !p.State.Inactive() {
			return false
		}
	}
	return true
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

// Stoppable reports whether the job is starting or running, so that it can be stopped to free its accelerators.
func (j Job) Stoppable() bool {
	return j.Phase == PhaseStarting || j.Phase == PhaseRunning
}
