package chuteentry_test

import (
	"testing"
	"time"
)

func unevenDays() []unevenDay {
	return []unevenDay{
		{name: "even", lasting: time.Second},
		{name: "slow", share: 0.3, slowdown: 5, lasting: 14 * time.Second},
		{name: "failing", share: 0.15, failRate: 1, lasting: 14 * time.Second},
		{name: "failing in part", share: 0.2, failRate: 0.5, lasting: 14 * time.Second},
		{name: "flapping", share: 0.25, failRate: 1, lasting: 16 * time.Second, flapping: 2 * time.Second},
		{name: "slow and a new leader", share: 0.2, slowdown: 8, lasting: 14 * time.Second, crash: true},
	}
}

// TestCallersAreServedOnUnevenDays reports what callers get while workers differ. It guards against jobs that fail since their
// attempts are used up on workers that fail all they start.
func TestCallersAreServedOnUnevenDays(t *testing.T) {
	for _, load := range []float64{0.45, 0.75} {
		for _, d := range unevenDays() {
			sum := outcome{jobs: make(map[string]int), onTime: make(map[string]int)}
			for _, seed := range seeds(t, 2) {
				sm, o := d.play(seed, load)
				for _, violation := range sm.violations {
					t.Errorf("%s, seed %d: %s", d.name, seed, violation)
				}
				for queue, n := range o.jobs {
					sum.jobs[queue] += n
					sum.onTime[queue] += o.onTime[queue]
				}
				sum.failed += o.failed
				sum.starts += o.starts
			}
			share := func(queue string) float64 { return float64(sum.onTime[queue]) / float64(max(1, sum.jobs[queue])) }
			t.Logf("load %.2f, %s: on time %.3f %.3f %.3f, %d jobs failed, %d starts", load, d.name,
				share("urgent"), share("normal"), share("low"), sum.failed, sum.starts)
		}
	}
}
