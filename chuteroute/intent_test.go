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

// endCommit ends the latest commit.
func (h *harness) endCommit(accepted bool) {
	e := h.commits[len(h.commits)-1]
	versions := map[chutetable.Key]chutetable.Version{e.Writes[0].Key: 5}
	h.apply(h.state.HandleTableEvent(h.environment(), chuteevent.TableCommitted{Token: e.Token, Accepted: accepted, Versions: versions}))
}

func (h *harness) failTable(token chuteevent.Token) {
	h.apply(h.state.HandleTableEvent(h.environment(), chuteevent.TableFailed{Token: token}))
}

// named sets that the client gave the id of the request.
func named(r *chuteevent.Request) { r.HasClientID = true }

func TestIntentIsRecordedBeforeDispatchAndOutcomeAfterAnswer(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.request(1, named)
	is.Equal(len(h.dispatches), 0) // the router sends nothing before the intent is durable
	h.endCommit(true)
	is.Equal(len(h.dispatches), 1)
	h.endAttempt(chuteresult.Done)
	is.Equal(h.answers[1].Result.Code, chuteresult.Done)
	row, ok := h.commits[1].Writes[0].Row.(chutetable.IntentRow)
	is.True(ok)
	is.True(row.Finished)
	is.Equal(string(row.Answer.Body), "body")
	is.True(!h.state.Idle()) // the router is still writing the outcome
	h.endCommit(true)
	is.True(h.state.Idle())
}

// TestRepeatedRequestID checks the answer to a repeated id for each state of the first request's intent row.
func TestRepeatedRequestID(t *testing.T) {
	done := chuteresult.New(chuteresult.Done, "")
	cases := []struct {
		name string
		rows []chutetable.IntentRow
		code chuteresult.Code
	}{
		{"finished", []chutetable.IntentRow{{Digest: 1, Finished: true, Result: done, Answer: chutetable.Answer{Status: 200}}}, chuteresult.Recorded},
		{"finished, unknown", []chutetable.IntentRow{{Digest: 1, Finished: true, Result: chuteresult.New(chuteresult.ConnectionBroken, "")}}, chuteresult.ConnectionBroken},
		{"in progress here", []chutetable.IntentRow{{Digest: 1, BootID: "boot"}}, chuteresult.InProgress},
		{"taken by another process", []chutetable.IntentRow{{Digest: 1, BootID: "other"}}, chuteresult.IntentUnresolved},
		{"other content", []chutetable.IntentRow{{Digest: 2, Finished: true, Result: done}}, chuteresult.Conflict},
		{"deleted meanwhile", nil, chuteresult.Conflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(1)
			h.request(1, named)
			h.endCommit(false)
			read := chuteevent.TableRead{Token: h.reads[0].Token}
			for _, row := range c.rows {
				read.Rows = append(read.Rows, chutetable.StoredRow{Key: chutetable.IntentKey("r1"), Version: 3, Row: row})
			}
			h.apply(h.state.HandleTableEvent(h.environment(), read))
			is.Equal(h.answers[1].Result.Code, c.code)
			is.Equal(len(h.dispatches), 0)
		})
	}
}

func TestLateIntentOfRefusedRequestIsDeleted(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.request(1, named)
	h.tick(11 * time.Second)
	is.Equal(h.answers[1].Result.Code, chuteresult.DeadlinePassed)
	h.endCommit(true)
	is.Equal(len(h.dispatches), 0)
	last := h.commits[len(h.commits)-1]
	is.True(last.Writes[0].Row == nil) // the write deletes the row, so the id may be used again
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
