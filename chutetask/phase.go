package chutetask

// Phase is the phase of a job as clients see it.
type Phase int

// The phases of a job.
const (
	PhaseQueued Phase = iota // no task has started
	PhaseRunning
	PhaseCompleted
	PhaseFailed
	PhaseCancelled
)

var phaseNames = []string{"queued", "running", "completed", "failed", "cancelled"}

// String returns the kebab-case name of the phase.
func (p Phase) String() string {
	if p < PhaseQueued || p > PhaseCancelled {
		return "invalid"
	}
	return phaseNames[p]
}

// Ended reports whether the phase is final.
func (p Phase) Ended() bool {
	return p >= PhaseCompleted
}
