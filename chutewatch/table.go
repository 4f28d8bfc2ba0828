package chutewatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutering"
)

// retryDelay is the shortest delay before a failed request is repeated; jitter adds up to as much again.
const retryDelay = 150 * time.Millisecond

// tableWatch is the watch of one table. Only its duty uses it.
type tableWatch struct {
	request          chuteaction.WatchTable
	store            Tables
	events           chutering.EntryEvents
	log              *slog.Logger
	unavailableSince time.Time // when the first of the requests that have failed in a row was sent; zero if the latest succeeded
	failures         int       // number of these requests
	answeredAt       time.Time // when the latest answer arrived
	polled           bool      // the latest request was a poll, and it was answered
}

func newTableWatch(w *Watchers, request chuteaction.WatchTable) *tableWatch {
	return &tableWatch{request: request, store: w.store, events: w.events, log: w.log.With("table", request.Table.String())}
}

// run lists the table and then long-polls for its changes. It lists the table again when the store no longer has the changes, or
// it has fallen behind.
func (w *tableWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := time.Now()
		list, err := w.store.List(ctx, w.request.Table)
		if err != nil {
			w.handleFailure(ctx, sentAt, err)
			continue
		}
		if ctx.Err() != nil {
			return // the watch ended during the request
		}
		w.deliver(ctx, chuteaction.TableChanged{SentAt: sentAt, Complete: true}, list)
		w.runChanges(ctx, list.Version)
	}
}

// runChanges long-polls for changes until the store no longer has those after the version, they cannot be read, or the watch has
// fallen behind.
func (w *tableWatch) runChanges(ctx context.Context, version chuteaction.RowVersion) {
	for ctx.Err() == nil && !w.isBehind() {
		if w.request.MinInterval > 0 && !sleep(ctx, w.request.MinInterval) {
			return
		}
		sentAt, held := time.Now(), w.pollTimeout()
		changes, err := w.store.Changes(ctx, w.request.Table, version, held)
		if errors.Is(err, ErrHistoryGone) {
			w.log.Info("store: changes are no longer available, listing the table again", "after", version)
			return
		}
		if err != nil {
			w.handleFailure(ctx, sentAt, err)
			if errors.Is(err, ErrUnreadable) {
				return // it would not change
			}
			continue
		}
		version = changes.Version
		w.deliver(ctx, chuteaction.TableChanged{SentAt: sentAt, HeldFor: held}, changes)
	}
}

// pollTimeout returns how long the store may hold the next poll. After a list or a failure it answers at once, so that the core
// soon knows that the table is up to date.
func (w *tableWatch) pollTimeout() time.Duration {
	if !w.polled {
		return 0
	}
	return w.request.PollTimeout
}

// isBehind reports whether the latest answer is so old that the table must be listed.
func (w *tableWatch) isBehind() bool {
	return w.request.ListAfter > 0 && time.Since(w.answeredAt) > w.request.ListAfter
}

// deliver passes an answer of the store to the core. The event tells about the request.
func (w *tableWatch) deliver(ctx context.Context, event chuteaction.TableChanged, answer TableAnswer) {
	if !w.unavailableSince.IsZero() {
		w.log.Info("store: table is watched again", "unavailable", time.Since(w.unavailableSince), "failures", w.failures,
			"took", time.Since(event.SentAt), "rows", len(answer.Rows), "complete", event.Complete)
		w.unavailableSince, w.failures = time.Time{}, 0
	}
	w.answeredAt, w.polled = time.Now(), !event.Complete
	event.Watch, event.Table, event.StoreClock, event.Rows = w.request.Watch, w.request.Table, answer.Clock, answer.Rows
	w.events.Put(ctx, event)
}

// handleFailure reports a failed request to the core, and waits before the next one.
func (w *tableWatch) handleFailure(ctx context.Context, sentAt time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	if w.unavailableSince.IsZero() {
		w.log.Warn("store: table cannot be watched", "error", err.Error(), "took", time.Since(sentAt))
		w.unavailableSince = sentAt
	}
	w.failures++
	w.polled = false
	w.events.Offer(chuteaction.TableUnavailable{Table: w.request.Table})
	jitter := time.Duration(rand.Int64N(int64(retryDelay))) // spreads the requests of several hosts
	sleep(ctx, retryDelay+jitter)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
