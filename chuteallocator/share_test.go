package chuteallocator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteallocator"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteinventory"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutesimulation"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// grantsByWorkspace plans 32 accelerators for jobs of one accelerator each: 100 of flood, which came first, and 20 each
// of a and b. It returns the grants by workspace.
func grantsByWorkspace(weights map[string]float64) map[string]int {
	document := chutedocument.New()
	view := chuteallocator.View{Now: chutesimulation.StartTime(), MaxGrants: 1000}
	submitted := view.Now.Add(-30 * time.Minute) // flood's jobs have waited longer than the patience, the others' have not
	for i, w := range []struct {
		name string
		jobs int
	}{{"flood", 100}, {"a", 20}, {"b", 20}} {
		document.Workspaces = append(document.Workspaces, chutedocument.Workspace{Name: w.name, Weight: weights[w.name]})
		for n := range w.jobs {
			spec := chutejob.Spec{Workspace: w.name, Checkpoint: true, Shape: chutetopology.Shape{Parts: 1, Accelerators: 1, Within: chutetopology.LevelWorker}}
			id := chutejob.ID(fmt.Sprintf("%s-%03d", w.name, n))
			view.Waiting = append(view.Waiting, chutejob.New(id, spec, submitted.Add(time.Duration(i)*14*time.Minute)))
		}
	}
	view.Document, view.Inventory = document, chuteinventory.New(chutesimulation.Topology(1, 1, 8, 4))
	for _, w := range view.Inventory.Topology().Workers() {
		view.Inventory = view.Inventory.WithUsable(w.ID, true)
	}
	grants := make(map[string]int)
	for _, g := range chuteallocator.Plan(view).Grants {
		grants[string(g.Job)[:len(g.Job)-4]]++
	}
	return grants
}

// TestSharesFollowWeights guards against a workspace that gets more than its share by submitting more jobs, or by having
// submitted them earlier.
func TestSharesFollowWeights(t *testing.T) {
	is.New(t).Equal(grantsByWorkspace(map[string]float64{"a": 2}), map[string]int{"flood": 8, "a": 16, "b": 8})
}

// TestWithoutWeightsTheOrderIsUnchanged guards against shares in documents that state no weight.
func TestWithoutWeightsTheOrderIsUnchanged(t *testing.T) {
	is.New(t).Equal(grantsByWorkspace(nil), map[string]int{"flood": 32})
}

// TestUnusedSharesGoToOthers guards against accelerators that idle for a workspace that does not need its share.
func TestUnusedSharesGoToOthers(t *testing.T) {
	is.New(t).Equal(grantsByWorkspace(map[string]float64{"a": 1e6}), map[string]int{"flood": 6, "a": 20, "b": 6})
}
