package chutedaemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chutering"
)

// ErrHistoryGone tells that the store no longer has the changes since a version.
var ErrHistoryGone = errors.New("the history since the version is gone")

// followPause is the wait before a question that failed is asked again.
const followPause = 150 * time.Millisecond

// followers are the duties that follow tables. Only the core's duty calls its methods.
type followers struct {
	group  *chuteduty.Group
	store  Store
	events chutering.EntryEvents
	log    *slog.Logger
	active map[chuteaction.Table]context.CancelFunc
}

func newFollowers(group *chuteduty.Group, store Store, events chutering.EntryEvents, log *slog.Logger) *followers {
	return &followers{group: group, store: store, events: events, log: log, active: make(map[chuteaction.Table]context.CancelFunc)}
}

func (f *followers) follow(order chuteaction.WatchTable) {
	f.unfollow(order.Table)
	ctx, cancel := context.WithCancel(f.group.Context())
	f.active[order.Table] = cancel
	f.group.Go("follow-"+order.Table.String(), func(context.Context) { f.run(ctx, order) })
}

func (f *followers) unfollow(table chuteaction.Table) {
	if cancel, ok := f.active[table]; ok {
		cancel()
		delete(f.active, table)
	}
}

// run lists the table and then waits for its changes, one question after the other.
func (f *followers) run(ctx context.Context, order chuteaction.WatchTable) {
	lost := false
	for ctx.Err() == nil {
		rows, version, err := f.store.List(ctx, order.Table)
		if err != nil {
			f.silent(ctx, order.Table, &lost, err)
			continue
		}
		f.found(order.Table, &lost)
		f.events.Put(ctx, chuteaction.TableChanged{Table: order.Table, Complete: true, Rows: rows})
		f.runChanges(ctx, order, version, &lost)
	}
}

// runChanges follows until the history is gone.
func (f *followers) runChanges(ctx context.Context, order chuteaction.WatchTable, version chuteaction.RowVersion, lost *bool) {
	for ctx.Err() == nil {
		if order.MinInterval > 0 && !sleep(ctx, order.MinInterval) {
			return
		}
		rows, next, err := f.store.Changes(ctx, order.Table, version, order.PollTimeout)
		if errors.Is(err, ErrHistoryGone) {
			f.log.Info("store: history is gone, the table is read anew", "table", order.Table, "after", version)
			return
		}
		if err != nil {
			f.silent(ctx, order.Table, lost, err)
			continue
		}
		f.found(order.Table, lost)
		version = next
		f.events.Put(ctx, chuteaction.TableChanged{Table: order.Table, Rows: rows})
	}
}

func (f *followers) silent(ctx context.Context, table chuteaction.Table, lost *bool, err error) {
	if ctx.Err() != nil {
		return
	}
	if !*lost {
		f.log.Warn("store: table cannot be followed", "table", table.String(), "error", err.Error())
		*lost = true
	}
	f.events.Offer(chuteaction.TableUnavailable{Table: table})
	jitter := time.Duration(rand.Int64N(int64(followPause))) // spreads the hosts' questions
	sleep(ctx, followPause+jitter)
}

func (f *followers) found(table chuteaction.Table, lost *bool) {
	if *lost {
		f.log.Info("store: table is followed again", "table", table.String())
		*lost = false
	}
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
