package soak_test

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

// The jobs of TestSoakNoJobStandsBesideAGangThatWaits: one that runs for long, a gang that does not fit beside it, and one
// that does.
var (
	longKind  = jobKind{"a", "14000/3", `[{"count":3,"cpu":1000,"gpu":8,"estimate_ms":14000,"gang":true}]`, []int{3}, smallNeed(8), false, 0}
	wideKind  = jobKind{"a", "500/6", `[{"count":6,"cpu":1000,"gpu":8,"estimate_ms":500,"gang":true}]`, []int{6}, smallNeed(8), false, 0}
	smallKind = jobKind{"a", "500", `[{"count":1,"cpu":1000,"gpu":1,"estimate_ms":500}]`, []int{1}, smallNeed(1), false, 0}
)

// TestSoakNoJobStandsBesideAGangThatWaits guards against capacity that a gang waits for and no other job may use.
func TestSoakNoJobStandsBesideAGangThatWaits(t *testing.T) {
	binary := buildDaemon(t)
	logs, err := os.MkdirTemp("", "monsoonchute-soak-")
	if err != nil {
		t.Fatal(err)
	}
	r := newSoakRun(t, binary, logs, 1, small)
	endWatch := r.watch()
	c := r.newClient(0, rand.Uint64())
	for _, kind := range []jobKind{longKind, wideKind, smallKind} {
		c.submit(r.ctx, c.newJob(kind))
		wait(r.ctx, 5*time.Second)
	}
	r.endTraffic()
	r.awaitEnds(c, small.endTimeout)
	endWatch()
	r.report(t, logs, 1)
}
