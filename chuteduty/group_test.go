package chuteduty_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteduty"
)

func TestCleanUpStopsAllDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group, cleanUp := chuteduty.New(slog.New(slog.DiscardHandler))
		finished := 0
		for range 3 {
			group.Go("waiter", func(ctx context.Context) { <-ctx.Done() })
		}
		group.Go("last", func(ctx context.Context) {
			<-ctx.Done()
			time.Sleep(time.Second)
			finished++
		})
		cleanUp()
		is.Equal(finished, 1) // the clean-up function waits until the duty has returned
	})
}

func TestPanicStopsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group, cleanUp := chuteduty.New(slog.New(slog.DiscardHandler))
		defer cleanUp()
		group.Go("broken", func(context.Context) { panic("test") })
		<-group.Context().Done()
		is.True(group.Context().Err() != nil)
	})
}
