package chutequarantine

import "time"

// Crash is the crash of a worker during a run of a task.
type Crash struct {
	Run         int
	Member      int // index in its gang; 0 for other tasks, UnknownMember in records of older hosts
	Worker      string
	Incarnation int64     // of the worker that crashed; 0 if unknown
	Began       bool      // the worker had confirmed the run; otherwise it may have crashed before the order arrived
	Unknown     bool      // an earlier scheduler may have been told that the run began
	Planned     bool      // the worker drained and may have ended as announced; counts only towards the limit of starts
	Quarantined bool      // its worker ran nothing of another job
	Confirmed   bool      // the worker was restarted, replaced or is gone; before, it may only be unreachable
	Chance      int       // of such a crash at that time whatever the worker ran, in percent, as crashes of others show
	At          time.Time // when the scheduler took the worker as crashed
}

// WithPlan returns the crash as an end of the worker that may have been planned, and says nothing of the task.
func (c Crash) WithPlan() Crash {
	c.Planned, c.Confirmed, c.Chance = true, true, certainChance
	c.Began, c.Unknown, c.Quarantined = false, false, false
	return c
}

// UnknownMember is the member of a crash of which it is not recorded.
const UnknownMember = -1

// joined returns what two records of one crash say together. One that calls it planned adds nothing to the other.
func joined(a, b Crash) Crash {
	if a.Planned != b.Planned {
		if a.Planned {
			return b
		}
		return a
	}
	b.Confirmed = a.Confirmed || b.Confirmed
	b.Began = a.Began || b.Began
	b.Unknown = a.Unknown || b.Unknown
	b.Quarantined = a.Quarantined || b.Quarantined
	b.Chance = max(a.Chance, b.Chance)
	return b
}
