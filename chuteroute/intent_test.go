package chuteroute_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
)

func (h *harness) failTable(token chuteevent.Token) {
	h.apply(h.state.HandleTableEvent(h.environment(), chuteevent.TableFailed{Token: token}))
}

// TestFailedIntentWriteSendsNothing guards against sending a request whose intent is not durable.
func TestFailedIntentWriteSendsNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.request(1, named)
	h.failTable(h.commits[0].Token)
	is.Equal(len(h.dispatches), 0)
	is.Equal(h.answers[1].Result.Code, chuteresult.StoreUnavailable)
	is.True(h.state.Idle())
}

// TestFailedLookupSaysNothingAboutTheEarlierRequest guards against "did not run" for an id whose record was not read.
func TestFailedLookupSaysNothingAboutTheEarlierRequest(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.request(1, named)
	h.endCommit(false)
	h.failTable(h.reads[0].Token)
	is.Equal(len(h.dispatches), 0)
	is.Equal(h.answers[1].Result.Code, chuteresult.IntentUnresolved)
	is.True(h.state.Idle())
}

// TestFailedOutcomeWriteIsRepeated guards against an intent that never gets the outcome of its request.
func TestFailedOutcomeWriteIsRepeated(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.request(1, named)
	h.endCommit(true)
	h.endAttempt(chuteresult.Done)
	h.failTable(h.commits[1].Token)
	is.Equal(len(h.commits), 3)
	is.Equal(h.commits[2].Writes, h.commits[1].Writes)
	is.Equal(h.commits[2].Conditions, h.commits[1].Conditions)
	h.endCommit(true)
	is.True(h.state.Idle())
	is.Equal(len(h.dispatches), 1)
}

// TestAbandonedRequestIsDroppedWhenItsIntentWriteFails guards against requests that stay in the state without end.
func TestAbandonedRequestIsDroppedWhenItsIntentWriteFails(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.request(1, named)
	h.tick(10 * time.Second)
	is.Equal(h.answers[1].Result.Code, chuteresult.DeadlinePassed)
	is.True(!h.state.Idle()) // the commit may still succeed
	h.failTable(h.commits[0].Token)
	is.True(h.state.Idle())
	is.Equal(len(h.dispatches), 0)
}

// TestCleanupDeletesExpiredIntentsOnly guards against cleanups that delete current intents or never start again.
func TestCleanupDeletesExpiredIntentsOnly(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	retention := chutedocument.DefaultPolicy().IntentRetention
	interval := 10 * time.Minute
	h.tick(0)
	is.Equal(len(h.reads), 1)
	h.failTable(h.reads[0].Token)
	h.tick(interval - time.Second)
	is.Equal(len(h.reads), 1) // the next cleanup is not due yet
	h.tick(time.Second)
	is.Equal(len(h.reads), 2)
	rows := []chutetable.StoredRow{
		{Key: chutetable.IntentKey("old"), Version: 3, Row: chutetable.IntentRow{RecordedAt: h.now.Add(-retention)}},
		{Key: chutetable.IntentKey("new"), Version: 4, Row: chutetable.IntentRow{RecordedAt: h.now.Add(time.Second - retention)}},
	}
	h.apply(h.state.HandleTableEvent(h.environment(), chuteevent.TableRead{Token: h.reads[1].Token, Rows: rows}))
	is.Equal(len(h.commits), 1)
	is.Equal(h.commits[0].Conditions, []chutetable.Condition{{Key: chutetable.IntentKey("old"), Version: 3}})
	is.Equal(h.commits[0].Writes, []chutetable.Write{{Key: chutetable.IntentKey("old")}})
	h.tick(interval)
	is.Equal(len(h.reads), 2) // the deletion is still running
	is.True(h.state.Owns(h.commits[0].Token))
	h.endCommit(true)
	is.True(!h.state.Owns(h.commits[0].Token))
	h.tick(0)
	is.Equal(len(h.reads), 3)
}
