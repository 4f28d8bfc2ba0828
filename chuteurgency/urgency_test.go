package chuteurgency_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteurgency"
)

var accepted = time.Unix(1_800_000_000, 0)

// facts are those of a job that takes 4 s and is on time within 10 s.
func facts(priority int) chuteurgency.Facts {
	return chuteurgency.Facts{Priority: priority, AcceptedAt: accepted, Objective: 10 * time.Second, Path: 4 * time.Second}
}

// TestAJobLosesItsValueAsItWaits guards against work that is started, or stopped for, although its job has no value any more.
func TestAJobLosesItsValueAsItWaits(t *testing.T) {
	for _, c := range []struct {
		waited time.Duration
		class  chuteurgency.Class
		aged   bool
		value  float64
	}{
		{0, chuteurgency.OnTime, false, 3},
		{6 * time.Second, chuteurgency.OnTime, false, 3},
		{7 * time.Second, chuteurgency.Late, false, 0.75},
		{26 * time.Second, chuteurgency.Late, false, 0.75},
		{27 * time.Second, chuteurgency.Lapsed, false, 0},
		{70 * time.Second, chuteurgency.Lapsed, true, 0},
	} {
		u := chuteurgency.Of(facts(1), accepted.Add(c.waited))
		is := is.New(t)
		is.Equal(u.Class, c.class)
		is.Equal(u.Aged, c.aged)
		is.Equal(u.Value, c.value)
		is.Equal(u.LatestStart, accepted.Add(6*time.Second))
		is.Equal(u.Cost > 0, c.value > 0)
	}
}

// rank returns the rank of a job that was accepted so long ago.
func rank(priority int, age time.Duration, order int64) chuteurgency.Rank {
	f := facts(priority)
	now := accepted.Add(age)
	return chuteurgency.Rank{Priority: priority, Urgency: chuteurgency.Of(f, now), AcceptedAt: accepted, Order: order}
}

func compare(a, b chuteurgency.Rank) int {
	if c := chuteurgency.CompareClass(a, b); c != 0 {
		return c
	}
	return chuteurgency.StartOrder([]chuteurgency.Rank{a, b})(a, b)
}

// TestTheOrderFollowsValueUntilAJobHasAged guards against capacity for jobs without value while others can be on time, and against
// jobs that wait without a bound since newer ones are still of value.
func TestTheOrderFollowsValueUntilAJobHasAged(t *testing.T) {
	is := is.New(t)
	fresh, late, lapsed, aged := 0*time.Second, 8*time.Second, 40*time.Second, 10*time.Second+chuteurgency.AgeingDelay
	is.True(compare(rank(0, late, 1), rank(1, fresh, 2)) < 0)   // priority first
	is.True(compare(rank(1, fresh, 2), rank(1, late, 1)) < 0)   // then what can be on time
	is.True(compare(rank(2, fresh, 2), rank(0, lapsed, 1)) < 0) // a lapsed job after lower priorities
	is.True(compare(rank(0, aged, 2), rank(1, fresh, 1)) < 0)   // until it has aged
	is.True(compare(rank(1, aged, 1), rank(1, 8*time.Second, 2)) < 0)
	plain := chuteurgency.Rank{Priority: 1, AcceptedAt: accepted, Order: 1}
	is.True(compare(plain, chuteurgency.Rank{Priority: 1, AcceptedAt: accepted.Add(-time.Hour), Order: 2}) < 0) // as accepted
	is.True(compare(plain, rank(1, fresh, 2)) < 0)                                                              // accepted before the latest start of the other
}

func TestOnlyAQueueThatStatesItHasAnObjective(t *testing.T) {
	is := is.New(t)
	spec := chutegraph.Spec{Steps: []chutegraph.Step{
		{Estimate: 2 * time.Second}, {Estimate: time.Second, After: []int{0}}, {Estimate: 4 * time.Second, After: []int{0}},
	}}
	is.Equal(chuteurgency.Objective(spec, 1.5, time.Second), 10*time.Second)
	is.Equal(chuteurgency.Objective(spec, 0, 0), time.Duration(0))
	spec.Steps[1].LongRunning = true
	is.Equal(chuteurgency.Objective(spec, 1.5, time.Second), time.Duration(0))
}
