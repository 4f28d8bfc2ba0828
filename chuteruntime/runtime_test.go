package chuteruntime_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteruntime"
)

// TestARunPastItsExpectedEndIsPredictedFromTheTail guards against capacity that is waited for since a run that is overdue is taken
// to end at any moment, while those that are overdue take several times their estimate.
func TestARunPastItsExpectedEndIsPredictedFromTheTail(t *testing.T) {
	is := is.New(t)
	r := chuteruntime.New()
	_, known := r.Remaining("middle", time.Second, 0)
	is.True(!known)
	for n := range 100 {
		took := time.Second
		if n%33 == 0 {
			took = 7 * time.Second
		}
		r = r.WithRun("middle", time.Second, took)
	}
	is.True(r.Typical("middle") > 0.8 && r.Typical("middle") < 1.2)
	left, known := r.Remaining("middle", time.Second, 100*time.Millisecond)
	is.True(known && left > 800*time.Millisecond && left < 1500*time.Millisecond)
	left, known = r.Remaining("middle", time.Second, 1500*time.Millisecond)
	is.True(known && left > 4*time.Second && left < 7*time.Second)
	left, known = r.Remaining("middle", time.Second, 20*time.Second)
	is.True(known && left >= 20*time.Second)
}
