package chuteclock_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteclock"
)

// TestATimeOnTheStoresClockIsNeverTakenAsReachedTooEarly guards against a lease that one host takes as expired before it is by the
// clock of the host that granted it.
func TestATimeOnTheStoresClockIsNeverTakenAsReachedTooEarly(t *testing.T) {
	is := is.New(t)
	sentAt := time.Unix(1_800_000_000, 0)
	readAt := sentAt.Add(500 * time.Millisecond)
	clock := chuteclock.Store{}.WithReading(100*time.Second, sentAt, readAt)
	for _, speed := range []float64{0.98, 1, 1.02} { // of the store's clock
		for _, takenAt := range []time.Time{sentAt, readAt} {
			shown := func(at time.Time) time.Duration {
				return 100*time.Second + time.Duration(math.Round(float64(at.Sub(takenAt))*speed))
			}
			for _, at := range []time.Time{readAt.Add(14 * time.Second), sentAt, sentAt.Add(-5 * time.Second)} {
				is.True(clock.Latest(at) >= shown(at))
			}
			is.True(shown(clock.Time(114*time.Second)) >= 114*time.Second)
		}
	}
	is.Equal(clock.Time(time.Second), readAt) // reached already
}

// TestAnOldReadingReplacesNoNewOne guards against answers that overtake each other.
func TestAnOldReadingReplacesNoNewOne(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	clock := chuteclock.Store{}.WithReading(0, now, now)
	is.Equal(clock.Known(), false)
	clock = clock.WithReading(100*time.Second, now, now)
	is.Equal(clock.WithReading(99*time.Second, now.Add(-time.Second), now.Add(time.Second)), clock)
	is.True(clock.ReadSince(now))
	is.Equal(clock.ReadSince(now.Add(1)), false)
}
