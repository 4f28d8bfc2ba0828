package chutelog

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"monsoonchute.example/monsoonchute/chuteaction"
)

// fakeCounter discards all counts.
type fakeCounter struct{}

func (fakeCounter) Count(string, string) {}

// blockedOutput blocks each write until released is closed.
type blockedOutput struct {
	mutex    sync.Mutex
	released chan struct{}
	text     bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.released
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(p)
}

func TestLinesOfOneKindAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var text bytes.Buffer
		w := New(slog.New(slog.NewTextHandler(&text, nil)), fakeCounter{})
		ctx, cancel := context.WithCancel(t.Context())
		group := conc.NewWaitGroup()
		group.Go(func() { w.RunInfo(ctx) })
		group.Go(func() { w.RunWarn(ctx) })
		for range 1000 {
			w.Offer(chuteaction.LogLine{Component: "a", Text: "served"})
		}
		synctest.Wait()
		w.Offer(chuteaction.LogLine{Component: "a", Text: "refused", Warning: true})
		time.Sleep(2 * time.Second)
		w.Offer(chuteaction.LogLine{Component: "a", Text: "served"})
		synctest.Wait()
		cancel()
		group.Wait()
		is.Equal(strings.Count(text.String(), `msg="a: served"`), maxInfoLines+1)
		is.True(strings.Contains(text.String(), "lines were left out"))
		is.True(strings.Contains(text.String(), "count=900"))
		is.True(strings.Contains(text.String(), "a: refused"))
	})
}

func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		output := &blockedOutput{released: make(chan struct{})}
		w := New(slog.New(slog.NewTextHandler(output, nil)), fakeCounter{})
		ctx, cancel := context.WithCancel(t.Context())
		group := conc.NewWaitGroup()
		group.Go(func() { w.RunInfo(ctx) })
		group.Go(func() { w.RunWarn(ctx) })
		began := time.Now()
		for range 3 * logRingSize {
			w.Offer(chuteaction.LogLine{Component: "a", Text: "served"})
		}
		w.Offer(chuteaction.LogLine{Component: "a", Text: "refused", Warning: true})
		is.Equal(time.Since(began), time.Duration(0)) // virtual time has not advanced, so no call blocked
		close(output.released)
		synctest.Wait()
		cancel()
		group.Wait()
		is.True(strings.Contains(output.text.String(), "a: refused"))
	})
}
