package chutejob

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutetopology"
)

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

// WithPartCheckpointed returns the job with the numbered part marked as having saved its progress.
func (j Job) WithPartCheckpointed(number int) Job {
	j.Parts = slices.Clone(j.Parts)
	j.Parts[number].Checkpointed = true
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

// AllCheckpointed reports whether every part that may run is marked as having saved its progress.
func (j Job) AllCheckpointed() bool {
	for _, p := range j.Parts {
		if !p.Checkpointed && !p.State.Inactive() {
			return false
		}
	}
	return true
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
