package chuteentry_test

import (
	"fmt"
	"testing"
)

// TestObjectivesEarnMoreUnderHeavyLoad plays loads above the capacity with the objectives of the queues and without, and guards
// against decisions by the cost of waiting that serve callers worse than the order by priority and acceptance, stop as much work,
// serve urgent work worse, or let jobs stand beside free capacity.
func TestObjectivesEarnMoreUnderHeavyLoad(t *testing.T) {
	loads := []heavyLoad{
		{memory: 131_072, load: 1.5}, {memory: 131_072, load: 2.5}, {memory: 524_288, load: 1.5}, {memory: 524_288, load: 1.5, slow: true},
	}
	before, after := make([]outcome, len(loads)), make([]outcome, len(loads))
	t.Run("loads", func(t *testing.T) {
		for i, l := range loads {
			t.Run(fmt.Sprintf("memory %d load %.1f slow %v", l.memory, l.load, l.slow), func(t *testing.T) {
				t.Parallel()
				for _, seed := range seeds(t, 2) {
					before[i] = before[i].plus(l.play(seed, false))
					after[i] = after[i].plus(l.play(seed, true))
				}
				t.Logf("%+v\n  without objectives: %s\n  with objectives:    %s", l, before[i], after[i])
			})
		}
	})
	var without, with outcome
	gain := 0.0
	for i := range loads {
		without, with = without.plus(before[i]), with.plus(after[i])
		gain += after[i].value() - before[i].value()
	}
	t.Logf("in all\n  without objectives: %s\n  with objectives:    %s", without, with)
	switch {
	case gain <= 0:
		t.Errorf("the value falls by %.3f on average", -gain/float64(len(loads)))
	case with.share("urgent") < without.share("urgent"):
		t.Error("urgent work is served worse")
	case with.discarded > without.discarded/2:
		t.Error("more than half as much work is discarded")
	case with.idle > without.idle:
		t.Error("more jobs stand beside free capacity")
	}
}
