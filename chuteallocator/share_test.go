package chuteallocator_test

import (
	"fmt"
	"slices"
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

// workload is a number of waiting jobs of one workspace, of one accelerator each.
type workload struct {
	workspace string
	jobs      int
}

// plan plans 32 accelerators for the workloads, the earlier ones of which were submitted earlier, the first before the
// patience of the policy. It returns the workspaces of the grants in their order.
func plan(weights map[string]float64, workloads ...workload) []string {
	document := chutedocument.New()
	view := chuteallocator.View{Now: chutesimulation.StartTime(), MaxGrants: 1000}
	submitted := view.Now.Add(-2 * document.Policy.Patience)
	for i, w := range workloads {
		document.Workspaces = append(document.Workspaces, chutedocument.Workspace{Name: w.workspace, Weight: weights[w.workspace]})
		for n := range w.jobs {
			spec := chutejob.Spec{Workspace: w.workspace, Checkpoint: true, Shape: chutetopology.Shape{Parts: 1, Accelerators: 1, Within: chutetopology.LevelWorker}}
			id := chutejob.ID(fmt.Sprintf("%s-%03d", w.workspace, n))
			view.Waiting = append(view.Waiting, chutejob.New(id, spec, submitted.Add(time.Duration(i)*time.Minute)))
		}
	}
	view.Document, view.Inventory = document, chuteinventory.New(chutesimulation.Topology(1, 1, 8, 4))
	for _, w := range view.Inventory.Topology().Workers() {
		view.Inventory = view.Inventory.WithUsable(w.ID, true)
	}
	var granted []string
	for _, g := range chuteallocator.Plan(view).Grants {
		granted = append(granted, string(g.Job)[:len(g.Job)-4])
	}
	return granted
}

// grantsByWorkspace returns the numbers of grants when workspace flood has submitted most jobs, and those first.
func grantsByWorkspace(weights map[string]float64) map[string]int {
	grants := make(map[string]int)
	for _, workspace := range plan(weights, workload{"flood", 100}, workload{"a", 20}, workload{"b", 20}) {
		grants[workspace]++
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

// TestAWorkspaceWithoutUseWaitsForOneJobOfEachOther guards against a workspace that starves beside others that have
// waited longer.
func TestAWorkspaceWithoutUseWaitsForOneJobOfEachOther(t *testing.T) {
	granted := plan(map[string]float64{"a": 9}, workload{"a", 50}, workload{"b", 50}, workload{"c", 50}, workload{"late", 1})
	is.New(t).True(slices.Index(granted, "late") <= 3)
}
