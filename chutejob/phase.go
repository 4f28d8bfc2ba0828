package chutejob

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
