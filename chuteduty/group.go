package chuteduty

import (
	"context"
	"log/slog"
	"sync"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// Group is a set of duties that end together.
type Group struct {
	ctx         context.Context
	cancel      context.CancelFunc
	duties      *conc.WaitGroup
	log         *slog.Logger
	failed      chan struct{} // closed when a duty has panicked
	closeFailed sync.Once
}

// New returns an empty group, and a clean-up function that ends its duties and waits for them.
func New(log *slog.Logger) (*Group, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{ctx: ctx, cancel: cancel, duties: conc.NewWaitGroup(), log: log, failed: make(chan struct{})}
	return g, func() {
		cancel()
		g.duties.Wait()
	}
}

// Context returns the context that ends when the duties must.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Failed returns a channel that is closed when a duty has panicked, so that the group has ended.
func (g *Group) Failed() <-chan struct{} {
	return g.failed
}

// Go runs the duty until it returns. A duty that panics is logged and ends the whole group, since its rings would
// fill up without it.
func (g *Group) Go(name string, duty func(ctx context.Context)) {
	g.duties.Go(func() {
		var catcher panics.Catcher
		catcher.Try(func() { duty(g.ctx) })
		if recovered := catcher.Recovered(); recovered != nil {
			g.log.Error("duty: ended by a panic", "duty", name, "panic", recovered.String())
			g.closeFailed.Do(func() { close(g.failed) })
			g.cancel()
		}
	})
}
