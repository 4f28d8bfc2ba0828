package chutefreshness

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
)

// maxClockDriftPercent is how much faster the clock of the store may run than this host's.
const maxClockDriftPercent = 2

// Freshness is the immutable knowledge of how recent the rows of a watched table are. The zero value is that of a table that has
// not been read.
type Freshness struct {
	knownAt    time.Time     // up to this time all changes are known
	storeClock time.Duration // the store's clock in the latest answer; 0 if unknown
}

// New returns the freshness of a table of which all changes up to the time are known, when the store's clock had the reading.
func New(knownAt time.Time, storeClock time.Duration) Freshness {
	return Freshness{knownAt: knownAt, storeClock: storeClock}
}

// WithAnswer returns the freshness after an answer of the store that arrived now. The answer holds all changes up to the time
// its request was sent or, since the store holds a poll until there is a change, up to the end of a poll without one. If the
// store held the request, its clock shows that the answer is younger.
func (f Freshness) WithAnswer(e chuteaction.TableChanged, now time.Time) Freshness {
	at := e.SentAt
	if !e.Complete && len(e.Rows) == 0 {
		at = at.Add(e.HeldFor)
	}
	if passed := e.StoreClock - f.storeClock; f.storeClock > 0 && passed > 0 {
		at = latest(at, f.knownAt.Add(passed-passed*maxClockDriftPercent/100))
	}
	if at.After(now) {
		at = now
	}
	return Freshness{knownAt: at, storeClock: e.StoreClock}
}

// StoreClock returns the store's steady clock in the latest answer, or 0 if it is unknown.
func (f Freshness) StoreClock() time.Duration {
	return f.storeClock
}

// KnownAt returns the time up to which all changes are known; it is zero for a table that has not been read.
func (f Freshness) KnownAt() time.Time {
	return f.knownAt
}

// Known reports whether the table has been read.
func (f Freshness) Known() bool {
	return !f.knownAt.IsZero()
}

// Age returns for how long changes may have been made that are not known; it is very large for a table that has not been read.
func (f Freshness) Age(now time.Time) time.Duration {
	return now.Sub(f.knownAt)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
