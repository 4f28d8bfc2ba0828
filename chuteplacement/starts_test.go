package chuteplacement_test

import (
	"testing"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutetask"
)

// TestAWorkerInDoubtGetsNoMoreRunsThanAllowed guards against a worker that fails what it starts and gets as many runs as fit at
// once, and against a gang that it fails.
func TestAWorkerInDoubtGetsNoMoreRunsThanAllowed(t *testing.T) {
	is := is.New(t)
	list := workers(8, 8)
	list[0].MaxStarts = 2
	started := make(map[chutetask.WorkerID]int)
	demands := []chuteplacement.Demand{demand("gang", 1, 4, 1, gang), demand("tasks", 1, 6, 1, nil), demand("more", 1, 6, 1, nil)}
	for _, decision := range chuteplacement.Plan(chuteplacement.View{Workers: list, Demands: demands}) {
		if s, ok := decision.(chuteplacement.Start); ok {
			started[s.Worker]++
			is.True(s.Worker != "w0" || s.Task.Job != "gang")
		}
	}
	is.Equal(started, map[chutetask.WorkerID]int{"w0": 2, "w1": 8})
}
