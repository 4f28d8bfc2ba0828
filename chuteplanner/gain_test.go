package chuteplanner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// TestEvictionsAreWeighedWithWeightsOfWorkspaces guards against runs that are stopped for a late urgent job although they lose more than
// it gains, where the share order copies the demands.
func TestEvictionsAreWeighedWithWeightsOfWorkspaces(t *testing.T) {
	for _, weight := range []float64{0, 2} {
		is := is.New(t)
		s := newScheduler(chutegraph.Step{Count: 1, Estimate: 4 * time.Second})
		s.environment.Catalog.Workspaces = []chutecatalog.Workspace{{Name: "a", Weight: weight}}
		s.environment.Catalog.Queues = []chutecatalog.Queue{{Name: "queue", Service: "service"}, {Name: "low", Service: "service", Priority: 1}}
		urgent, _ := s.state.Live.Get(testID)
		urgent.Workspace, urgent.Stretch, urgent.SeenAt = "a", 1, s.now.Add(-2*time.Second) // late
		s.state.Live = s.state.Live.Set(testID, urgent)
		low := chutetask.Submission{ID: "00000000000000bb", Queue: "low", Workspace: "b", Priority: 1, Stretch: 3, Spec: urgent.Spec}
		low.Spec.Steps = []chutegraph.Step{urgent.Spec.Steps[0]}
		low.Spec.Steps[0].Count = workerCount
		running := chutetask.New(low, 2, s.now).WithOccurrenceBegun(0)
		for i, w := range s.state.Pool.All() {
			id := chutegraph.TaskID{StepID: chutegraph.StepID{Job: low.ID}, Index: i}
			task, _ := running.Task(id)
			running = running.WithTask(id, task.WithRun(1, w.ID))
			run := chutepool.Run{ID: chutegraph.RunID{Task: id, Number: 1}, Reserved: w.Capacity, Priority: 1}
			s.state.Pool = s.state.Pool.With(w.WithRun(run.WithPhase(chutepool.RunStarted, s.now.Add(-time.Minute))))
		}
		s.state.Live = s.state.Live.Set(low.ID, running)
		for _, effect := range s.effects() {
			_, stops := effect.(chuteaction.StopRun)
			is.True(!stops)
		}
	}
}
