package chuterow_test

import (
	"encoding/hex"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutequarantine"
	"monsoonchute.example/monsoonchute/chuterow"
	"monsoonchute.example/monsoonchute/chutetask"
)

func TestRowsRoundTrip(t *testing.T) {
	spec := chutegraph.Spec{Payload: "p", Steps: []chutegraph.Step{
		{Count: 2, Gang: true, Estimate: time.Second}, {Count: 1, After: []int{0}, Label: "a"},
	}}
	job := chutetask.New(chutetask.Submission{ID: "0123456789abcdef", Spec: spec, AcceptedAt: time.Hour}, 1, time.Time{}).WithOccurrenceBegun(0)
	id := chutegraph.TaskID{StepID: chutegraph.StepID{Job: job.ID}, Index: 1}
	job = job.WithTask(id, chutetask.Task{}.WithRun(3, "w").WithBegun().WithCheckpoint("c").WithFailure(1).WithFailure(2).
		WithIncarnation(1_800_000_000_000).WithQuarantine(true).WithCrashes(chutequarantine.NewRecord([]chutequarantine.Crash{
		{Run: 2, Worker: "w", Incarnation: 7, Quarantined: true, Confirmed: true, At: time.UnixMilli(1_800_000_000_001)},
		{Run: 3, Member: 63, Worker: "v", Began: true, At: time.UnixMilli(1_800_000_000_002)},
	}, 1, 1)))
	first := chutegraph.TaskID{StepID: chutegraph.StepID{Job: job.ID}}
	job = job.WithTask(first, chutetask.Task{}.WithRun(1, "v").WithIncarnation(1_800_000_000_001))
	cases := []chuteaction.RowValue{
		chuteaction.SubmissionRow{Submission: job.Submission},
		chuteaction.CancelRow{Job: job.ID},
		chuteaction.ProgressRow{Job: job.ID, Progress: job.Progress},
		chuteaction.LeaderRow{Epoch: 4, Host: "h", Process: "p", Sequence: 9, Released: true, Pending: map[string]int{"q": 2}},
		chuteaction.LeaderRow{Epoch: 4, Host: "h", Process: "p", Handover: chuteaction.Handover{
			FormerLeaseEnd: 90_123 * time.Millisecond, FinalLeases: []chuteaction.FinalLease{{Worker: "w", End: 80_321 * time.Millisecond}},
			Unlisted: []chuteaction.UnlistedWorker{{Worker: "v", Address: "127.0.0.1:2"}},
		}},
		chuteaction.HostRow{Host: "h", Process: "p", Address: "127.0.0.1:1"},
	}
	for _, c := range cases {
		is := is.New(t)
		body, err := chuterow.Encode(c)
		is.NoErr(err)
		read, err := chuterow.Decode(body)
		is.NoErr(err)
		is.Equal(read, c)
	}
}

// TestCrashesThatAnOlderHostRecordedNameNoMember guards against a row without the details of its crashes that cannot be read, or
// convicts.
func TestCrashesThatAnOlderHostRecordedNameNoMember(t *testing.T) {
	is := is.New(t)
	body, err := hex.DecodeString("a203847030313233343536373839616263646566008181818501036177600081f407818800000000f50101818602617707f5f51b000001a3185c5001")
	is.NoErr(err)
	read, err := chuterow.Decode(body)
	is.NoErr(err)
	crashes := read.(chuteaction.ProgressRow).Occurrences[0][0][0].Crashes.Crashes()
	is.Equal(crashes, []chutequarantine.Crash{{
		Run: 2, Member: chutequarantine.UnknownMember, Worker: "w", Incarnation: 7, Began: true, Quarantined: true, Confirmed: true,
		At: time.UnixMilli(1_800_000_000_001),
	}})
}

// TestProgressIsNotLargerThanItsBound guards against a write that the store refuses for its size again and again.
func TestProgressIsNotLargerThanItsBound(t *testing.T) {
	is := is.New(t)
	spec := chutegraph.Spec{Steps: []chutegraph.Step{{Count: 30}, {Count: 1}}, Recurrence: chutegraph.Recurrence{Count: 300}}
	for _, run := range []int{0, 1, 1 << 30} {
		for _, text := range []string{"", "i-0db3486068", strings.Repeat("x", 300)} {
			j := chutetask.New(chutetask.Submission{ID: "0123456789abcdef", Spec: spec}, 1, time.Time{})
			for k := range 4 {
				j = j.WithOccurrenceBegun(k)
			}
			j.ForEachTask(func(id chutegraph.TaskID, _ chutetask.Task) {
				task := chutetask.Task{Failures: run, FailedRuns: []int{run, run}}.WithRun(run, chutetask.WorkerID(text)).WithCheckpoint(text)
				task.Incarnation, task.Begun = int64(run)<<30, true
				for i := range 3 {
					task.Crashes = task.Crashes.WithCrash(chutequarantine.Crash{Run: run + i, Member: run, Worker: text, Began: true, Incarnation: int64(run) << 30, At: time.UnixMilli(1 << 45)})
				}
				j.Occurrences[id.Occurrence][id.Step][id.Index] = task
			})
			body, err := chuterow.Encode(chuteaction.ProgressRow{Job: j.ID, Progress: j.Progress})
			is.NoErr(err)
			if len(body) > j.SizeBound() {
				t.Errorf("%d bytes, bound %d", len(body), j.SizeBound())
			}
		}
	}
}

func TestEncodeRejectsRowsOfOtherWriters(t *testing.T) {
	is := is.New(t)
	_, err := chuterow.Encode(chuteaction.CatalogRow{})
	is.True(err != nil)
}

func FuzzDecode(f *testing.F) {
	body, err := chuterow.Encode(chuteaction.CancelRow{Job: "0123456789abcdef"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		value, err := chuterow.Decode(body)
		if err == nil && value == nil {
			t.Fatal("Decode returned neither a row nor an error")
		}
	})
}

func TestForwardedRowsRoundTrip(t *testing.T) {
	is := is.New(t)
	submission := chutetask.Submission{ID: "0123456789abcdef", Spec: chutegraph.Spec{Steps: []chutegraph.Step{{Count: 2}}}}
	rows := []chuteaction.Row{
		{RowKey: chuteaction.SubmissionKey(submission.ID), Version: 7, Value: chuteaction.SubmissionRow{Submission: submission}},
		{RowKey: chuteaction.CancelKey(submission.ID), Version: 9, Value: chuteaction.CancelRow{Job: submission.ID}},
	}
	body, err := chuterow.EncodeForwardedRows(rows)
	is.NoErr(err)
	read, err := chuterow.DecodeForwardedRows(body)
	is.NoErr(err)
	is.Equal(read, rows)
	_, err = chuterow.EncodeForwardedRows([]chuteaction.Row{{Value: chuteaction.LeaderRow{}}})
	is.True(err != nil) // only rows about jobs are forwarded
	_, err = chuterow.DecodeForwardedRows([]byte("\xff"))
	is.True(err != nil)
}
