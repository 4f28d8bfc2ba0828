package chutequota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutequota"
	"monsoonchute.example/monsoonchute/chutesimulation"
)

// ledgerOf returns the ledger of one worker with 400 accelerators, of which the runs of the workspaces request so many.
func ledgerOf(use map[string]int) chutequota.Ledger {
	w := chutepool.NewWorker(chutepool.Listing{ID: "w", Service: "s", Capacity: chutecapacity.Resources{Accelerators: 400}}, time.Time{})
	w.Listed = true
	for name, n := range use {
		id := chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: chutegraph.JobID(name)}}}
		w = w.WithRun(chutepool.Run{ID: id, Workspace: name, Request: chutecapacity.Resources{Accelerators: n}})
	}
	return chutequota.NewLedger([]chutepool.Worker{w}, true)
}

func item(workspace string, rank, tasks int) chutequota.Item {
	return chutequota.Item{Workspace: workspace, Service: "s", Rank: rank, Each: chutecapacity.Resources{Accelerators: 1}, Tasks: tasks}
}

// TestWorkspacesAreServedByTheirShares guards against an order that disregards use, weight, rank or the order within a workspace.
func TestWorkspacesAreServedByTheirShares(t *testing.T) {
	gang := item("a", 0, 3)
	gang.Gang = true
	cases := []struct {
		name    string
		use     map[string]int
		weights map[string]float64
		items   []chutequota.Item
		want    []chutequota.Part
	}{
		{"the smaller use first", map[string]int{"a": 8, "b": 4}, nil, []chutequota.Item{item("a", 0, 1), item("b", 0, 1)}, []chutequota.Part{{1, 0, 1}, {0, 0, 1}}},
		{
			"the smaller use for its weight first",
			map[string]int{"a": 8, "b": 4},
			map[string]float64{"a": 4},
			[]chutequota.Item{item("b", 0, 1), item("a", 0, 1)},
			[]chutequota.Part{{1, 0, 1}, {0, 0, 1}},
		},
		{"a lower rank first", map[string]int{"a": 8}, nil, []chutequota.Item{item("a", 0, 1), item("b", 1, 1)}, []chutequota.Part{{0, 0, 1}, {1, 0, 1}}},
		{"equal shares in order", nil, nil, []chutequota.Item{item("b", 0, 1), item("a", 0, 1)}, []chutequota.Part{{0, 0, 1}, {1, 0, 1}}},
		{"in turn", nil, nil, []chutequota.Item{item("a", 0, 2), item("b", 0, 2)}, []chutequota.Part{{0, 0, 1}, {1, 0, 1}, {0, 1, 2}, {1, 1, 2}}},
		{"alone at once", nil, nil, []chutequota.Item{item("a", 0, 9)}, []chutequota.Part{{0, 0, 9}}},
		{"a gang whole", nil, nil, []chutequota.Item{gang, item("b", 0, 4)}, []chutequota.Part{{0, 0, 3}, {1, 0, 4}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(chutequota.Order(ledgerOf(c.use), c.weights, c.items), c.want)
		})
	}
}

// TestNoWorkspaceStarvesBehindOneThatSubmitsMore guards against a workspace that waits longer than the bound in docs/design/quota.md
// because another has far more tasks waiting: 40 places, and 20 to 120 workspaces with a task each behind 1,000 tasks of one.
func TestNoWorkspaceStarvesBehindOneThatSubmitsMore(t *testing.T) {
	const places, longest = 40, 10
	for _, seed := range chutesimulation.Seeds(1, 20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 14))
			others := 20 + random.IntN(101)
			items := []chutequota.Item{item("busy", 0, 1000)}
			for i := range others {
				items = append(items, item(fmt.Sprint("other", i), 0, 1))
			}
			running := make(map[string][]int) // ends of the runs by workspace
			bound := (others+1+places-1)/places*longest + 1
			for now := 0; len(items) > 1; now++ {
				if now > bound {
					t.Fatalf("%d of %d workspaces have waited for more than %d", len(items)-1, others, bound)
				}
				items = passAt(random, now, places, longest, running, items)
			}
		})
	}
}

// passAt ends the runs that are due, starts tasks on the free places in the order of shares, and returns the items that still wait.
func passAt(random *rand.Rand, now, places, longest int, running map[string][]int, items []chutequota.Item) []chutequota.Item {
	use, free := make(map[string]int), places
	for name, ends := range running {
		kept := ends[:0]
		for _, end := range ends {
			if end > now {
				kept = append(kept, end)
			}
		}
		running[name], use[name] = kept, len(kept)
		free -= len(kept)
	}
	left := append([]chutequota.Item(nil), items...)
	for _, part := range chutequota.Order(ledgerOf(use), map[string]float64{"busy": 1}, items) {
		started := min(free, part.To-part.From)
		name := items[part.Item].Workspace
		for range started {
			running[name] = append(running[name], now+1+random.IntN(longest))
		}
		free -= started
		left[part.Item].Tasks -= started
	}
	waiting := left[:1]
	for _, it := range left[1:] {
		if it.Tasks > 0 {
			waiting = append(waiting, it)
		}
	}
	return waiting
}
