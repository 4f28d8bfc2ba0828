package chutescheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteleader"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chutescheduler"
	"monsoonchute.example/monsoonchute/chutetask"
)

// TestNothingIsRecordedBeforeTheRecordedProgressIsRead guards against a new scheduler that sees the cancellation of a
// job before the job's progress, and records its cancelled and otherwise empty state over that progress. A job that had
// completed would be shown as cancelled from then on.
func TestNothingIsRecordedBeforeTheRecordedProgressIsRead(t *testing.T) {
	is := is.New(t)
	const id = chutegraph.JobID("00000000000000aa")
	transition := chuteaction.NewTransition(time.Unix(1_800_000_000, 0), 0)
	s := chutescheduler.New(transition, chuteaction.LeaderRow{Epoch: 2}, chuteleader.Predecessor{Row: chuteaction.LeaderRow{Epoch: 1, Released: true}}, chuteledger.Bounds{})
	watch, _ := transition.Effects[0].(chuteaction.WatchTable)
	environment := chuteledger.Environment{}
	submission := chutetask.Submission{ID: id, Spec: chutegraph.Spec{Steps: []chutegraph.Step{{Count: 1}}}}
	s = s.HandleSubmissions(transition, environment, chuteaction.TableChanged{Watch: watch.Watch, Table: chuteaction.TableJobs, Complete: true, Rows: []chuteaction.Row{
		{RowKey: chuteaction.SubmissionKey(id), Version: 5, Value: chuteaction.SubmissionRow{Submission: submission}},
		{RowKey: chuteaction.CancelKey(id), Version: 9, Value: chuteaction.CancelRow{Job: id}},
	}})
	s, rows := s.Flush(10)
	is.Equal(len(rows), 0) // the progress may say that the job has ended

	completed := chutetask.New(submission, 5, transition.Now).WithOccurrenceBegun(0)
	completed = completed.WithStepDone(chutegraph.StepID{Job: id}).WithCompletion(0)
	for _, effect := range transition.Effects {
		if read, ok := effect.(chuteaction.ReadRows); ok {
			e := chuteaction.RowsRead{Token: read.Token, Outcome: chuteaction.StoreDone}
			if read.Table == chuteaction.TableProgress {
				e.Rows = []chuteaction.Row{{RowKey: chuteaction.ProgressKey(id), Value: chuteaction.ProgressRow{Job: id, Progress: completed.Progress}}}
			}
			s = s.HandleRowsRead(transition, environment, e)
		}
	}
	_, rows = s.Flush(10)
	for _, r := range rows {
		row, _ := r.Value.(chuteaction.ProgressRow)
		is.Equal(row.Phase, chutetask.PhaseCompleted)
	}
}
