package chutedaemon

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

// fakeCounter counts nothing.
type fakeCounter struct{}

func (fakeCounter) Count(string, string) {}

// stalledOutput blocks all writers until it is released.
type stalledOutput struct {
	mutex    sync.Mutex
	released chan struct{}
	text     bytes.Buffer
}

func (o *stalledOutput) Write(p []byte) (int, error) {
	<-o.released
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(p)
}

func TestFloodOfLinesIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var text bytes.Buffer
		w := newLogWriter(slog.New(slog.NewTextHandler(&text, nil)), fakeCounter{})
		ctx, cancel := context.WithCancel(t.Context())
		group := conc.NewWaitGroup()
		group.Go(func() { w.runInfo(ctx) })
		group.Go(func() { w.runWarn(ctx) })
		for range 1000 {
			w.offer(chuteaction.LogLine{Component: "a", Text: "served"})
		}
		synctest.Wait()
		w.offer(chuteaction.LogLine{Component: "a", Text: "refused", Warning: true})
		time.Sleep(2 * time.Second)
		w.offer(chuteaction.LogLine{Component: "a", Text: "served"})
		synctest.Wait()
		cancel()
		group.Wait()
		is.Equal(strings.Count(text.String(), `msg="a: served"`), maxInfoLines+1)
		is.True(strings.Contains(text.String(), "lines were left out"))
		is.True(strings.Contains(text.String(), "count=900"))
		is.True(strings.Contains(text.String(), "a: refused"))
	})
}

func TestStalledOutputDelaysNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		output := &stalledOutput{released: make(chan struct{})}
		w := newLogWriter(slog.New(slog.NewTextHandler(output, nil)), fakeCounter{})
		ctx, cancel := context.WithCancel(t.Context())
		group := conc.NewWaitGroup()
		group.Go(func() { w.runInfo(ctx) })
		group.Go(func() { w.runWarn(ctx) })
		began := time.Now()
		for range 3 * logRingSize {
			w.offer(chuteaction.LogLine{Component: "a", Text: "served"})
		}
		w.offer(chuteaction.LogLine{Component: "a", Text: "refused", Warning: true})
		is.Equal(time.Since(began), time.Duration(0)) // nothing waited
		close(output.released)
		synctest.Wait()
		cancel()
		group.Wait()
		is.True(strings.Contains(output.text.String(), "a: refused"))
	})
}
