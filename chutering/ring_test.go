package chutering_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutering"
)

func TestFullRingRefuses(t *testing.T) {
	is := is.New(t)
	ring := chutering.NewEvents("test", 2)
	is.True(ring.Offer(chuteevent.Tick{}))
	is.True(ring.Offer(chuteevent.StopRequested{}))
	is.True(!ring.Offer(chuteevent.Tick{}))
	is.Equal(ring.Stats(), chutering.RingStats{Name: "test", Depth: 2, Size: 2, Refused: 1})
	first, ok := ring.Take(t.Context())
	is.True(ok)
	is.Equal(first, chuteevent.Tick{}) // the ring is first in, first out
}

func TestWaitsEndWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ring := chutering.NewEvents("test", 1)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		start := time.Now()
		_, ok := ring.Take(ctx)
		is.True(!ok)
		is.Equal(time.Since(start), time.Minute) // Take blocked without spinning until the deadline
		ring.Offer(chuteevent.Tick{})
		is.True(!ring.Put(ctx, chuteevent.Tick{}))
	})
}

func TestPutWaitsForSpace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ring := chutering.NewEvents("test", 1)
		ring.Offer(chuteevent.Tick{})
		var group conc.WaitGroup
		group.Go(func() {
			time.Sleep(time.Second)
			ring.Take(context.Background())
		})
		start := time.Now()
		is.True(ring.Put(context.Background(), chuteevent.Tick{}))
		is.Equal(time.Since(start), time.Second)
		group.Wait()
	})
}
