package chutefreshness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutefreshness"
)

// TestAnEmptyAnswerIsAsRecentAsTheEndOfItsPoll guards against a slow answer to a request that was not held, and that counts as new.
func TestAnEmptyAnswerIsAsRecentAsTheEndOfItsPoll(t *testing.T) {
	is := is.New(t)
	sentAt := time.Unix(1_800_000_000, 0)
	for _, held := range []time.Duration{0, 2 * time.Second} {
		answer := chuteaction.TableChanged{SentAt: sentAt, HeldFor: held}
		const late = 700 * time.Millisecond
		now := sentAt.Add(held + late)
		is.Equal(chutefreshness.New(sentAt.Add(-time.Second), 0).WithAnswer(answer, now).Age(now), late)
	}
}
