package chuteurgency_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteurgency"
)

// TestThePathOfDenselyLinkedStepsIsFound guards against a search that follows each way through the steps by itself: with 100 steps that
// come after all earlier ones it would never end.
func TestThePathOfDenselyLinkedStepsIsFound(t *testing.T) {
	is := is.New(t)
	var spec chutegraph.Spec
	for i := range 100 {
		step := chutegraph.Step{Estimate: time.Second}
		for before := range i {
			step.After = append(step.After, before)
		}
		spec.Steps = append(spec.Steps, step)
	}
	paths := chuteurgency.Paths(spec)
	is.Equal(paths[0], 100*time.Second)
	is.Equal(paths[99], time.Second)
	is.Equal(chuteurgency.Objective(spec, 1.5, time.Second), 151*time.Second)
	spec.Steps[0].Estimate = 1 << 62
	is.True(chuteurgency.Objective(spec, 1e9, time.Second) > 0) // estimates of any size do not overflow
}

// TestTheOrderOfStartsIsTransitive guards against an order in which three jobs come before each other in a circle, so that a sort may
// misplace others as well.
func TestTheOrderOfStartsIsTransitive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := make([]chuteurgency.Rank, 3)
		for i := range ranks {
			seconds := func(name string) time.Time {
				return accepted.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, name)) * time.Second)
			}
			ranks[i] = chuteurgency.Rank{AcceptedAt: seconds("accepted"), Order: int64(i)}
			if rapid.Bool().Draw(t, "objective") {
				ranks[i].Urgency.LatestStart = seconds("latest start")
			}
		}
		a, b, c := ranks[0], ranks[1], ranks[2]
		before := chuteurgency.StartOrder(ranks)
		if before(a, b) < 0 && before(b, c) < 0 && before(a, c) >= 0 {
			t.Fatal("the order has a circle")
		}
	})
}
