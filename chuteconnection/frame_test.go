package chuteconnection_test

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"monsoonchute.example/monsoonchute/chutebudget"
	"monsoonchute.example/monsoonchute/chuteconnection"
)

// TestAFrameWaitsForBudget guards against a link that is closed, with all its requests, as another frame is being read.
func TestAFrameWaitsForBudget(t *testing.T) {
	is := is.New(t)
	limits := chutebudget.NewLimits(mib, 0, 4).WithLargest(mib)
	is.Equal(limits.Bytes, int64(2*mib))
	limiter := chuteconnection.New("test", limits, discardRecorder{}, slog.New(slog.DiscardHandler))
	first, second := limiter.NewHold(chutebudget.Address{1}), limiter.NewHold(chutebudget.Address{1})
	_, err := first.ReadAll(bytes.NewReader(make([]byte, mib)), mib)
	is.NoErr(err)
	group := conc.NewWaitGroup()
	group.Go(func() { pause(); first.Release() })
	frame, err := second.ReadFrame(t.Context(), bytes.NewReader(make([]byte, mib)), mib)
	group.Wait()
	is.NoErr(err)
	is.Equal(len(frame), mib)
	second.Release()
	is.Equal(limiter.Use(), chutebudget.Use{})
}
