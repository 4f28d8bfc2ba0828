package chutewatch_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutewatch"
)

// pollTimeout is how long overwrittenTable holds polls without changes.
const pollTimeout = time.Second

// overwrittenTable is a table with one row, which is written ten times a second. It answers no request while it is silent.
type overwrittenTable struct {
	startedAt time.Time
	silent    atomic.Bool
	largest   atomic.Int64 // number of rows in the largest answer to a poll
}

func (o *overwrittenTable) version() chuteaction.RowVersion {
	return chuteaction.RowVersion(time.Since(o.startedAt) / (100 * time.Millisecond))
}

func (o *overwrittenTable) List(context.Context, chuteaction.Table) (chutewatch.TableAnswer, error) {
	time.Sleep(time.Millisecond)
	if o.silent.Load() {
		return chutewatch.TableAnswer{}, errors.New("silent")
	}
	return chutewatch.TableAnswer{Version: o.version(), Rows: []chuteaction.Row{{Version: o.version()}}}, nil
}

func (o *overwrittenTable) Changes(_ context.Context, _ chuteaction.Table, after chuteaction.RowVersion, _ time.Duration) (chutewatch.TableAnswer, error) {
	time.Sleep(100 * time.Millisecond)
	if o.silent.Load() {
		time.Sleep(pollTimeout)
		return chutewatch.TableAnswer{}, errors.New("silent")
	}
	answer := chutewatch.TableAnswer{Version: o.version()}
	for v := after + 1; v <= answer.Version; v++ {
		answer.Rows = append(answer.Rows, chuteaction.Row{Version: v})
	}
	o.largest.Store(max(o.largest.Load(), int64(len(answer.Rows))))
	return answer, nil
}

// TestAWatchThatFallsBehindAsksForTheNewestRowsAlone guards against answers that grow with the time for which a host was cut off.
func TestAWatchThatFallsBehindAsksForTheNewestRowsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		group, end := chuteduty.New(log)
		defer end()
		events := chutering.NewEntryEvents("core", 4096)
		store := &overwrittenTable{startedAt: time.Now()}
		chutewatch.New(group, store, events, log).Watch(chuteaction.WatchTable{
			Table: chuteaction.TableOperator, PollTimeout: pollTimeout, ListAfter: 2 * time.Second,
		})
		for range 3 {
			time.Sleep(5 * time.Second)
			store.silent.Store(true)
			time.Sleep(10 * time.Second)
			store.silent.Store(false)
		}
		time.Sleep(2 * time.Second)
		const mostRows = 30 // written in ListAfter and the time of one poll
		if rows := store.largest.Load(); rows == 0 || rows > mostRows {
			t.Errorf("a poll was answered with %d rows", rows)
		}
	})
}

// idleTable is a table that does not change. It refuses all requests while it is down.
type idleTable struct{ down atomic.Bool }

func (i *idleTable) List(context.Context, chuteaction.Table) (chutewatch.TableAnswer, error) {
	return i.answer(0)
}

func (i *idleTable) Changes(_ context.Context, _ chuteaction.Table, _ chuteaction.RowVersion, pollTimeout time.Duration) (chutewatch.TableAnswer, error) {
	return i.answer(pollTimeout)
}

func (i *idleTable) answer(after time.Duration) (chutewatch.TableAnswer, error) {
	if i.down.Load() {
		return chutewatch.TableAnswer{}, errors.New("down")
	}
	time.Sleep(after)
	return chutewatch.TableAnswer{Version: 1}, nil
}

// TestNothingIsHeldThatTellsWhetherATableIsUpToDate guards against a host that is ready a whole poll later than the store.
func TestNothingIsHeldThatTellsWhetherATableIsUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		group, end := chuteduty.New(log)
		defer end()
		events := chutering.NewEntryEvents("core", 4096)
		store := &idleTable{}
		store.down.Store(true)
		chutewatch.New(group, store, events, log).Watch(chuteaction.WatchTable{Table: chuteaction.TableOperator, PollTimeout: pollTimeout})
		for range 3 {
			time.Sleep(5 * time.Second)
			store.down.Store(false)
			backAt := time.Now()
			for polled := false; !polled; {
				event, _ := events.Take(t.Context())
				changed, ok := event.(chuteaction.TableChanged)
				polled = ok && !changed.Complete && !changed.SentAt.Before(backAt)
			}
			if took := time.Since(backAt); took > pollTimeout/2 {
				t.Errorf("the table is up to date %v after the store is back", took)
			}
			store.down.Store(true)
		}
	})
}
