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
const retryDelay = 150 * time.Millisecond

// followers are the duties that follow tables. Only the core's duty calls its methods.
type watchers struct {
	group  *chuteduty.Group
	store  Store
	events chutering.EntryEvents
	log    *slog.Logger
	active map[chuteaction.Table]context.CancelFunc
}

func newWatchers(group *chuteduty.Group, store Store, events chutering.EntryEvents, log *slog.Logger) *watchers {
	return &watchers{group: group, store: store, events: events, log: log, active: make(map[chuteaction.Table]context.CancelFunc)}
}

func (f *watchers) watch(order chuteaction.FollowTable) {
	f.unwatch(order.Table)
	ctx, cancel := context.WithCancel(f.group.Context())
	f.active[order.Table] = cancel
	f.group.Go("follow-"+order.Table.String(), func(context.Context) { f.run(ctx, order) })
}

func (f *watchers) unwatch(table chuteaction.Table) {
	if cancel, ok := f.active[table]; ok {
		cancel()
		delete(f.active, table)
	}
}

// run lists the table and then waits for its changes, one question after the other.
func (f *watchers) run(ctx context.Context, order chuteaction.FollowTable) {
	unavailable := false
	for ctx.Err() == nil {
		rows, version, err := f.store.List(ctx, order.Table)
		if err != nil {
			f.reportUnavailable(ctx, order.Table, &unavailable, err)
			continue
		}
		f.reportAvailable(order.Table, &unavailable)
		f.events.Put(ctx, chuteaction.TableChanged{Table: order.Table, Whole: true, Rows: rows})
		f.runChanges(ctx, order, version, &unavailable)
	}
}

// runChanges follows until the history is gone.
func (f *watchers) runChanges(ctx context.Context, order chuteaction.FollowTable, version chuteaction.RowVersion, unavailable *bool) {
	for ctx.Err() == nil {
		if order.Pause > 0 && !sleep(ctx, order.Pause) {
			return
		}
		rows, next, err := f.store.Changes(ctx, order.Table, version, order.Wait)
		if errors.Is(err, ErrHistoryGone) {
			f.log.Info("store: history is gone, the table is read anew", "table", order.Table, "after", version)
			return
		}
		if err != nil {
			f.reportUnavailable(ctx, order.Table, unavailable, err)
			continue
		}
		f.reportAvailable(order.Table, unavailable)
		version = next
		f.events.Put(ctx, chuteaction.TableChanged{Table: order.Table, Rows: rows})
	}
}

func (f *watchers) reportUnavailable(ctx context.Context, table chuteaction.Table, unavailable *bool, err error) {
	if ctx.Err() != nil {
		return
	}
	if !*unavailable {
		f.log.Warn("store: table cannot be followed", "table", table.String(), "error", err.Error())
		*unavailable = true
	}
	f.events.Offer(chuteaction.TableSilent{Table: table})
	jitter := time.Duration(rand.Int64N(int64(retryDelay))) // spreads the hosts' questions
	sleep(ctx, retryDelay+jitter)
}

func (f *watchers) reportAvailable(table chuteaction.Table, unavailable *bool) {
	if *unavailable {
		f.log.Info("store: table is followed again", "table", table.String())
		*unavailable = false
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
