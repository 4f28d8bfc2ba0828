package chuteduty

import (
	"context"
	"log/slog"
	"sync"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// Group is a set of duties that stop together.
type Group struct {
	ctx         context.Context
	cancel      context.CancelFunc
	duties      *conc.WaitGroup
	log         *slog.Logger
	failed      chan struct{} // closed when a duty has panicked
	closeFailed sync.Once
}

// New returns an empty group. The returned clean-up function cancels the context of the duties and waits until all have
// returned.
func New(log *slog.Logger) (*Group, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{ctx: ctx, cancel: cancel, duties: conc.NewWaitGroup(), log: log, failed: make(chan struct{})}
	return g, func() {
		cancel()
		g.duties.Wait()
	}
}

// Context returns the context of the duties, which is cancelled when the group must stop.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Failed returns a channel that is closed when a duty has panicked and the group therefore stops.
func (g *Group) Failed() <-chan struct{} {
	return g.failed
}

// Go starts the duty in a new goroutine. If the duty panics, the group logs the panic and stops all its duties,
// since the rings of the failed duty would fill up.
func (g *Group) Go(name string, duty func(ctx context.Context)) {
	g.duties.Go(func() {
		var catcher panics.Catcher
		catcher.Try(func() { duty(g.ctx) })
		if recovered := catcher.Recovered(); recovered != nil {
			g.log.Error("duty: panic in a duty, the group stops", "duty", name, "panic", recovered.String())
			g.closeFailed.Do(func() { close(g.failed) })
			g.cancel()
		}
	})
}
