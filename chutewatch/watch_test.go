package chutewatch_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutewatch"
)

// slowStore answers each request after its latency, whether or not the caller still waits.
type slowStore struct{ latency time.Duration }

func (s slowStore) Write(context.Context, chuteaction.WriteRows) chuteaction.RowsWritten {
	return chuteaction.RowsWritten{}
}

func (s slowStore) Read(context.Context, chuteaction.ReadRows) chuteaction.RowsRead {
	return chuteaction.RowsRead{}
}

func (s slowStore) List(context.Context, chuteaction.Table) (chutewatch.TableAnswer, error) {
	time.Sleep(s.latency)
	return chutewatch.TableAnswer{Version: 1, Clock: listClock}, nil
}

func (s slowStore) Changes(context.Context, chuteaction.Table, chuteaction.RowVersion, time.Duration) (chutewatch.TableAnswer, error) {
	time.Sleep(s.latency)
	return chutewatch.TableAnswer{Version: 1, Clock: changesClock}, nil
}

// The readings of the store's clock in its answers.
const (
	listClock    = 70 * time.Second
	changesClock = 73 * time.Second
)

func (s slowStore) Interrupt() {}

// TestAnEndedWatchDeliversNoList guards against a list from before a takeover that reaches the next scheduler of the same host.
func TestAnEndedWatchDeliversNoList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		group, end := chuteduty.New(log)
		defer end()
		events := chutering.NewEntryEvents("core", 64)
		w := chutewatch.New(group, slowStore{latency: time.Second}, events, log)
		const watches = 20
		for range watches {
			w.Watch(chuteaction.WatchTable{Table: chuteaction.TableJobs})
			time.Sleep(10 * time.Millisecond)
			w.Unwatch(chuteaction.TableJobs)
		}
		time.Sleep(2 * time.Second)
		if delivered := events.Stats().Depth; delivered > 0 {
			t.Errorf("%d of %d ended watches delivered a list", delivered, watches)
		}
	})
}

// TestAnAnswerAboutATableKeepsTheClockOfTheStore guards against delays on the host that make a worker's heartbeat look recent.
func TestAnAnswerAboutATableKeepsTheClockOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := slog.New(slog.DiscardHandler)
		group, end := chuteduty.New(log)
		defer end()
		events := chutering.NewEntryEvents("core", 64)
		chutewatch.New(group, slowStore{latency: time.Second}, events, log).Watch(chuteaction.WatchTable{Table: chuteaction.TableWorkers})
		for _, clock := range []time.Duration{listClock, changesClock} {
			event, _ := events.Take(t.Context())
			changed, ok := event.(chuteaction.TableChanged)
			is.True(ok)
			is.Equal(changed.StoreClock, clock)
		}
	})
}

// TestAnAnswerAboutATableTellsWhenItsRequestWasSent guards against an old list of workers that counts as new.
func TestAnAnswerAboutATableTellsWhenItsRequestWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const latency, interval = 700 * time.Millisecond, 300 * time.Millisecond
		log := slog.New(slog.DiscardHandler)
		group, end := chuteduty.New(log)
		defer end()
		events := chutering.NewEntryEvents("core", 64)
		sentAt := time.Now()
		chutewatch.New(group, slowStore{latency: latency}, events, log).Watch(chuteaction.WatchTable{Table: chuteaction.TableWorkers, MinInterval: interval})
		time.Sleep(10 * time.Second) // the events wait in the ring meanwhile
		for range 3 {
			event, _ := events.Take(t.Context())
			changed, ok := event.(chuteaction.TableChanged)
			is.True(ok)
			is.Equal(changed.SentAt, sentAt)
			sentAt = sentAt.Add(latency + interval)
		}
	})
}
