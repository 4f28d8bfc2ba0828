package chuteentry_test

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// unevenDays returns the days, each with the number of jobs that may fail on it at most: an attempt each may be spent on two
// workers that nothing is known of.
func unevenDays() []unevenDay {
	return []unevenDay{
		{name: "even", lasting: time.Second},
		{name: "slow", share: 0.3, slowdown: 5, lasting: 14 * time.Second},
		{name: "failing", share: 0.15, failRate: 1, lasting: 14 * time.Second, maxFailed: 2},
		{name: "failing in part", share: 0.2, failRate: 0.5, lasting: 14 * time.Second, maxFailed: 1},
		{name: "flapping", share: 0.25, failRate: 1, lasting: 16 * time.Second, flapping: 2 * time.Second, maxFailed: 3},
		{name: "slow and a new leader", share: 0.2, slowdown: 8, lasting: 14 * time.Second, crash: true},
	}
}

// TestCallersAreServedOnUnevenDays guards against jobs that fail since their attempts are used up on workers that fail what they
// start, and reports what callers get while workers differ. MONSOONCHUTE_SEEDS selects more seeds, and adds a higher load.
func TestCallersAreServedOnUnevenDays(t *testing.T) {
	loads := []float64{0.45}
	if os.Getenv("MONSOONCHUTE_SEEDS") != "" {
		loads = append(loads, 0.75)
	}
	list := seeds(t, 1)
	for _, load := range loads {
		for _, d := range unevenDays() {
			t.Run(fmt.Sprintf("load %.2f, %s", load, d.name), func(t *testing.T) {
				sum := outcome{jobs: make(map[string]int), onTime: make(map[string]int)}
				for _, seed := range list {
					sm, o := d.play(seed, load)
					for _, violation := range sm.violations {
						t.Errorf("seed %d: %s", seed, violation)
					}
					sum.add(o)
				}
				t.Logf("on time %.3f %.3f %.3f, %d jobs failed, %d starts, %d moves", sum.share("urgent"), sum.share("normal"), sum.share("low"),
					sum.failed, sum.starts, sum.moves)
				if limit := len(list) * d.maxFailed; load < 0.5 && sum.failed > limit {
					t.Errorf("%d jobs failed, at most %d may", sum.failed, limit)
				}
			})
		}
	}
}
