package chuterow_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuterow"
	"monsoonchute.example/monsoonchute/chutetask"
)

// maxRowBytes is the size of the largest row that the platform's store accepts.
const maxRowBytes = 65_536

// TestTheProgressOfAnAcceptedJobFitsInARow guards against a job whose progress the store refuses whenever it is written.
func TestTheProgressOfAnAcceptedJobFitsInARow(t *testing.T) {
	cases := []struct {
		name        string
		step        chutegraph.Step
		steps       int
		occurrences int
		least       int // number of tasks in a step that must be accepted
	}{
		{"one step", chutegraph.Step{}, 1, 0, 1000},
		{"one step with checkpoints", chutegraph.Step{Checkpointing: true}, 1, 0, 736},
		{"many steps", chutegraph.Step{Checkpointing: true}, 20, 0, 40},
		{"a few occurrences", chutegraph.Step{Checkpointing: true}, 3, 8, 150},
		{"many occurrences", chutegraph.Step{}, 1, 2000, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			largest := 0
			for count := 1; count <= chutegraph.MaxTasks; count++ {
				if spec := repeated(c.step, count, c.steps, c.occurrences); spec.Check() == nil {
					largest = count
				}
			}
			is.True(largest >= c.least)
			body, err := chuterow.Encode(progressNearItsEnd(repeated(c.step, largest, c.steps, c.occurrences)))
			is.NoErr(err)
			if len(body) > maxRowBytes {
				t.Errorf("%d tasks a step are accepted, whose progress takes %d bytes", largest, len(body))
			}
		})
	}
}

func repeated(step chutegraph.Step, count, steps, occurrences int) chutegraph.Spec {
	step.Count = count
	spec := chutegraph.Spec{Recurrence: chutegraph.Recurrence{Count: occurrences}}
	for range steps {
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// progressNearItsEnd returns the progress of a job whose last occurrence runs while all others are finished.
func progressNearItsEnd(spec chutegraph.Spec) chuteaction.ProgressRow {
	j := chutetask.New(chutetask.Submission{ID: "0123456789abcdef", Spec: spec}, 1, time.Time{})
	last := spec.Occurrences() - 1
	for k := range spec.Occurrences() {
		j = j.WithOccurrenceBegun(k)
		j.Finished[k] = k < last
	}
	j.ForEachTask(func(id chutegraph.TaskID, _ chutetask.Task) {
		task := chutetask.Task{}.WithRun(3, "i-0db3486068")
		task = task.WithIncarnation(1_800_000_000_000).WithFailure(1).WithFailure(2)
		if spec.Steps[id.Step].Checkpointing {
			task = task.WithCheckpoint("00000bb87a21d94b")
		}
		if id.Occurrence < last {
			task = task.WithPhase(chutetask.TaskDone)
		}
		j.Occurrences[id.Occurrence][id.Step][id.Index] = task
	})
	return chuteaction.ProgressRow{Job: j.ID, Progress: j.WithoutDoneDetails()}
}

// TestAnAcceptedSubmissionFitsInARow guards against a job that the store refuses however often the client comes back.
func TestAnAcceptedSubmissionFitsInARow(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("x", 200)
	step := chutegraph.Step{Count: 1, Label: text, DataRack: text, Image: text, Estimate: time.Hour, TailLimit: time.Hour}
	largest := chutegraph.Spec{}
	for count := 1; count <= chutegraph.MaxSteps; count++ {
		spec := repeated(step, 1, count, 0)
		spec.Payload = strings.Repeat("x", chutegraph.MaxPayloadBytes)
		if spec.Check() == nil {
			largest = spec
		}
	}
	is.True(len(largest.Steps) >= 50)
	body, err := chuterow.Encode(chuteaction.SubmissionRow{Submission: chutetask.Submission{ID: "0123456789abcdef", Queue: text, Workspace: text, Service: text, Spec: largest}})
	is.NoErr(err)
	if len(body) > maxRowBytes {
		t.Errorf("%d steps are accepted, which take %d bytes", len(largest.Steps), len(body))
	}
}
