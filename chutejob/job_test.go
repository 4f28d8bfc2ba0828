package chutejob_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutejob"
)

// TestAStopWaitsForNewCheckpoints guards against a gang that is stopped at the first answer, because earlier periodic
// checkpoints count as answers of the other parts.
func TestAStopWaitsForNewCheckpoints(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	running := chutejob.Part{State: chutejob.PartRunning}
	j := chutejob.Job{Parts: []chutejob.Part{running, running}}
	j = j.WithPartCheckpointed(0).WithPartCheckpointed(1)
	is.True(j.AllCheckpointed())
	j = j.WithStop(chutejob.PhaseCheckpointing, chutejob.StopReclaimed, now)
	is.True(!j.AllCheckpointed())
	j = j.WithPartCheckpointed(0)
	is.True(!j.AllCheckpointed())
	is.True(j.WithPartCheckpointed(1).AllCheckpointed())
}
