package chuteclock

import (
	"math"
	"time"
)

// maxDrift is the share by which the two clocks may run at different speeds.
const maxDrift = 0.02

// Store is an immutable reading of the store's clock. The zero value is that of a clock which has not been read.
type Store struct {
	reading time.Duration
	sentAt  time.Time // when the request was sent that the store answered with the reading
	readAt  time.Time // when the answer arrived
}

// WithReading returns the clock as read in an answer; a reading of 0 changes nothing.
func (s Store) WithReading(reading time.Duration, sentAt, readAt time.Time) Store {
	if reading <= 0 || sentAt.Before(s.sentAt) {
		return s
	}
	return Store{reading: reading, sentAt: sentAt, readAt: readAt}
}

// Known reports whether the clock has been read.
func (s Store) Known() bool {
	return s.reading > 0
}

// ReadSince reports whether the clock was read after the time.
func (s Store) ReadSince(t time.Time) bool {
	return s.Known() && !s.sentAt.Before(t)
}

// Latest returns the latest that the store's clock may show, or have shown, at the time.
func (s Store) Latest(at time.Time) time.Duration {
	return s.reading + longest(at.Sub(s.sentAt))
}

// Time returns a time at which the store's clock has certainly reached the value.
func (s Store) Time(value time.Duration) time.Time {
	return s.readAt.Add(max(0, longest(value-s.reading)))
}

// Reading returns what the clock shows at the time, to within the delay of an answer, and 0 if it has not been read.
func (s Store) Reading(at time.Time) time.Duration {
	if !s.Known() {
		return 0
	}
	return s.reading + at.Sub(s.readAt)
}

// TimeOf returns when the clock showed the value, to within the delay of an answer, and false if it has not been read.
func (s Store) TimeOf(value time.Duration) (time.Time, bool) {
	return s.readAt.Add(value - s.reading), s.Known()
}

// longest returns the longest time by which one clock may advance while the other advances by the time, or the shortest of a time
// that lies back, as a negative one.
func longest(d time.Duration) time.Duration {
	if d < 0 {
		return time.Duration(math.Ceil(float64(d) * (1 - maxDrift)))
	}
	return time.Duration(math.Ceil(float64(d) / (1 - maxDrift)))
}
