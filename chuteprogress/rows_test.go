package chuteprogress_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteprogress"
	"monsoonchute.example/monsoonchute/chutequarantine"
	"monsoonchute.example/monsoonchute/chuterow"
	"monsoonchute.example/monsoonchute/chutetask"
)

const testID = chutegraph.JobID("0123456789abcdef")

// randomJob returns a job of any shape in the midst of its work, whose workers' ids have up to 200 bytes.
func randomJob(random *rand.Rand) chutetask.Job {
	spec := chutegraph.Spec{Recurrence: chutegraph.Recurrence{Count: 1 + random.IntN(4)}}
	for range 1 + random.IntN(4) {
		spec.Steps = append(spec.Steps, chutegraph.Step{Count: 1 + random.IntN(400)})
	}
	return runningJob(random, spec)
}

// runningJob returns a job in the midst of its work.
func runningJob(random *rand.Rand, spec chutegraph.Spec) chutetask.Job {
	j := chutetask.New(chutetask.Submission{ID: testID, Spec: spec}, 1, time.Time{}).WithPhase(chutetask.PhaseRunning)
	idBytes := 10 + random.IntN(191)
	for k := range spec.Occurrences() {
		if k == 0 || random.IntN(4) > 0 {
			j = j.WithOccurrenceBegun(k)
		}
	}
	j.ForEachTask(func(id chutegraph.TaskID, _ chutetask.Task) {
		j.Occurrences[id.Occurrence][id.Step][id.Index] = randomTask(random, idBytes)
	})
	return j
}

// wideJob returns a job whose progress takes several rows of 4 KiB.
func wideJob() chutetask.Job {
	return runningJob(rand.New(rand.NewPCG(1, 2)), chutegraph.Spec{Steps: []chutegraph.Step{{Count: 30}, {Count: 400}}})
}

func randomTask(random *rand.Rand, idBytes int) chutetask.Task {
	worker := chutetask.WorkerID(fmt.Sprintf("%0*d", idBytes, random.IntN(500)))
	task := chutetask.Task{}
	switch random.IntN(4) {
	case 0:
		return task
	case 1:
		return task.WithRun(2, worker).WithFailure(1).WithCheckpoint("00000bb87a21d94b").WithPhase(chutetask.TaskWaiting)
	case 2:
		crash := chutequarantine.Crash{Run: 1, Worker: string(worker), Incarnation: 7, Began: true, Confirmed: true, At: time.UnixMilli(1_800_000_000_000)}
		task = task.WithCrashes(chutequarantine.Record{}.WithCrash(crash))
	}
	return task.WithRun(3, worker).WithIncarnation(1_800_000_000_000).WithBegun()
}

// stored returns the rows as the store gives them back after a transaction with the version, in the order of their keys.
func stored(t *testing.T, rows []chuteaction.Row, version chuteaction.RowVersion) []chuteaction.Row {
	t.Helper()
	is := is.New(t)
	var decoded []chuteaction.Row
	for _, r := range rows {
		body, err := chuterow.Encode(r.Value)
		is.NoErr(err)
		if len(body) > chutegraph.MaxRowBytes {
			t.Errorf("row %s has %d bytes", r.Key, len(body))
		}
		r.Version = version
		r.Value, err = chuterow.DecodeUnder(r.RowKey, body)
		is.NoErr(err)
		decoded = append(decoded, r)
	}
	return decoded
}

// TestProgressOfAnySizeIsRecordedInRowsThatTheStoreTakes guards against a job whose progress the store refuses whenever it is
// written.
func TestProgressOfAnySizeIsRecordedInRowsThatTheStoreTakes(t *testing.T) {
	divided := 0
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			is := is.New(t)
			j := randomJob(rand.New(rand.NewPCG(seed, 1)))
			rows := chuteprogress.Rows(j, chutegraph.MaxRowBytes, 0)
			if len(rows) > 1 {
				divided++
			}
			joined := chuteprogress.Join(stored(t, rows, 7))
			is.Equal(len(joined), 1)
			row, ok := joined[0].Value.(chuteaction.ProgressRow)
			is.True(ok)
			is.True(row.Fits(j.Spec))
			is.Equal(row.Parts, len(rows)-1)
			is.Equal(row.Progress, j.WithoutDoneDetails())
		})
	}
	is.New(t).True(divided > 20)
}

// TestIncompleteRowsOfProgressAreNotUsed guards against tasks that start again since the rows that tell of them are missing.
func TestIncompleteRowsOfProgressAreNotUsed(t *testing.T) {
	j := wideJob()
	rows := chuteprogress.Rows(j, 4096, 0)
	cases := map[string]func(rows []chuteaction.Row) []chuteaction.Row{
		"a part is missing":        func(rows []chuteaction.Row) []chuteaction.Row { return rows[:len(rows)-1] },
		"the first row is missing": func(rows []chuteaction.Row) []chuteaction.Row { return rows[1:] },
		"a part of another write": func(rows []chuteaction.Row) []chuteaction.Row {
			rows[2].Version++
			return rows
		},
		"a malformed part": func(rows []chuteaction.Row) []chuteaction.Row {
			rows[1].Value = nil
			return rows
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			joined := chuteprogress.Join(change(stored(t, rows, 7)))
			is.New(t).Equal(len(joined), 1)
			is.New(t).Equal(joined[0].Value, nil)
		})
	}
}

// TestRowsThatAreNotNeededAnyMoreBecomeEmpty guards against rows of tasks that grow stale beside a progress that fits in one row again.
func TestRowsThatAreNotNeededAnyMoreBecomeEmpty(t *testing.T) {
	is := is.New(t)
	j := wideJob()
	before := len(chuteprogress.Rows(j, 4096, 0)) - 1
	j.ForEachTask(func(id chutegraph.TaskID, task chutetask.Task) {
		j = j.WithTask(id, task.WithPhase(chutetask.TaskDone))
	})
	rows := chuteprogress.Rows(j, chutegraph.MaxRowBytes, before)
	is.Equal(len(rows), 1+before)
	for _, r := range rows[1:] {
		body, err := chuterow.Encode(r.Value)
		is.NoErr(err)
		is.True(len(body) < 64)
	}
	row, ok := chuteprogress.Join(stored(t, rows, 8))[0].Value.(chuteaction.ProgressRow)
	is.True(ok)
	is.Equal(row.Progress, j.WithoutDoneDetails())
}

// TestHostsOfTheVersionBeforeReadThePhaseAndStartNothing guards against a leader of the version before that takes a divided progress
// for a whole one. It knows neither rows with tasks nor their number.
func TestHostsOfTheVersionBeforeReadThePhaseAndStartNothing(t *testing.T) {
	is := is.New(t)
	j := wideJob()
	head, ok := chuteprogress.Rows(j, 4096, 0)[0].Value.(chuteaction.ProgressRow)
	is.True(ok)
	head.Parts = 0
	is.Equal(head.Phase, chutetask.PhaseRunning)
	is.True(!head.Fits(j.Spec))
	is.True(strings.HasPrefix(chuteaction.ProgressPartKey(j.ID, 1).Key, string(j.ID)+"."))
}
