package chuteroute

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
)

const (
	// MaxRecordedBodyBytes is the largest answer body that the router records with an intent, in bytes.
	MaxRecordedBodyBytes = 64 << 10
	// cleanupInterval is the time between two deletions of expired intents.
	cleanupInterval = 10 * time.Minute
	// maxIntentDeletes is the highest number of intents that one cleanup deletes.
	maxIntentDeletes = 100
)

// recordIntent writes the intent row by which any later request with the same id finds this one. The commit succeeds
// only if the id has no row yet.
func (t *transition) recordIntent(x exchange) {
	x.row = chutetable.IntentRow{
		RequestID: x.request.ID, Digest: x.request.Digest,
		Host: t.environment.Host, BootID: t.environment.BootID, RecordedAt: t.now(),
	}
	t.putExchange(x.withStage(stageIntent))
	key := chutetable.IntentKey(x.request.ID)
	t.emit(chuteevent.CommitTable{
		Token:      t.newOperation(x.request.Exchange),
		Conditions: []chutetable.Condition{{Key: key}},
		Writes:     []chutetable.Write{{Key: key, Row: x.row}},
		SendBefore: x.request.Deadline,
	})
}

// recordOutcome writes the outcome to the intent row. It replaces an answer whose body is too large by a result that
// says so.
func (t *transition) recordOutcome(x exchange, result chuteresult.Result, answer chutetable.Answer) {
	x.row.Finished = true
	x.row.Result = result
	x.row.Answer = answer
	if len(answer.Body) > MaxRecordedBodyBytes {
		x.row.Answer = chutetable.Answer{}
		x.row.Result = chuteresult.New(chuteresult.AnswerTooLarge, "it ran; its answer was too large to be kept")
	}
	t.putExchange(x.withStage(stageRecording))
	t.commitOutcome(x)
}

// commitOutcome writes the intent row with its outcome, or deletes the row of a request that did not run.
func (t *transition) commitOutcome(x exchange) {
	key := chutetable.IntentKey(x.request.ID)
	write := chutetable.Write{Key: key, Row: x.row}
	if x.row.Result.NotRun() {
		write.Row = nil // the request certainly did not run, so its id may be used again
	}
	t.emit(chuteevent.CommitTable{
		Token:      t.newOperation(x.request.Exchange),
		Conditions: []chutetable.Condition{{Key: key, Version: x.intentVersion}},
		Writes:     []chutetable.Write{write},
	})
}

// HandleTableEvent handles the end of one of the router's store operations.
func (s State) HandleTableEvent(environment Environment, event chuteevent.TableEvent) (State, []chuteevent.Effect) {
	t := &transition{state: s, environment: environment}
	if event.Operation() == s.cleanupToken {
		t.handleCleanup(event)
		return t.state, t.effects
	}
	id, _ := s.operations.Get(event.Operation())
	t.state.operations = s.operations.Delete(event.Operation())
	x, ok := t.state.exchanges.Get(id)
	if !ok {
		return t.state, t.effects
	}
	switch e := event.(type) {
	case chuteevent.TableCommitted:
		t.handleCommitted(x, e)
	case chuteevent.TableRead:
		t.handleIntentRead(x, e.Rows)
	case chuteevent.TableFailed:
		t.handleFailed(x)
	}
	return t.state, t.effects
}

// handleCleanup handles the end of the read or the commit of a cleanup.
func (t *transition) handleCleanup(event chuteevent.TableEvent) {
	t.state.cleanupToken = ""
	if read, ok := event.(chuteevent.TableRead); ok {
		t.deleteExpiredIntents(read.Rows)
	}
}

// handleCommitted handles the certain outcome of a commit for the request.
func (t *transition) handleCommitted(x exchange, e chuteevent.TableCommitted) {
	id := x.request.Exchange
	switch {
	case x.stage == stageRecording, x.stage == stageAbandoned && !e.Accepted:
		t.state.exchanges = t.state.exchanges.Delete(id)
	case x.stage == stageAbandoned:
		x = x.withIntentVersion(e.Versions[chutetable.IntentKey(x.request.ID)])
		t.recordOutcome(x, chuteresult.Result{Code: chuteresult.DeadlinePassed}, chutetable.Answer{})
	case e.Accepted:
		t.enqueue(x.withIntentVersion(e.Versions[chutetable.IntentKey(x.request.ID)]))
	default:
		t.putExchange(x.withStage(stageLookup))
		t.emit(chuteevent.ReadTable{Token: t.newOperation(id), Prefix: chutetable.IntentKey(x.request.ID), Exact: true})
	}
}

// handleFailed handles the failure of a read for the request, or of a commit that certainly did not take effect.
func (t *transition) handleFailed(x exchange) {
	switch x.stage {
	case stageRecording:
		t.commitOutcome(x)
	case stageAbandoned:
		t.state.exchanges = t.state.exchanges.Delete(x.request.Exchange)
	case stageLookup:
		t.finish(x, chuteresult.New(chuteresult.IntentUnresolved, "an earlier request has this id; its record cannot be read now"), chutetable.Answer{})
	case stageIntent, stageQueued, stageBackoff, stageDispatched:
		t.refuse(x, chuteresult.StoreUnavailable, "the request's intent cannot be recorded now")
	}
}

// handleIntentRead handles the row of an earlier intent with the request's id.
func (t *transition) handleIntentRead(x exchange, rows []chutetable.StoredRow) {
	for _, stored := range rows {
		row, isIntent := stored.Row.(chutetable.IntentRow)
		if isIntent && stored.Key == chutetable.IntentKey(x.request.ID) {
			t.answerFromIntent(x, row)
			return
		}
	}
	t.refuse(x, chuteresult.Conflict, "an earlier request with this id did not run; it may be sent again")
}

// answerFromIntent answers a request with a repeated id from the intent row of the earlier request.
func (t *transition) answerFromIntent(x exchange, row chutetable.IntentRow) {
	switch {
	case row.Digest != x.request.Digest:
		t.refuse(x, chuteresult.Conflict, "the id belongs to a request with another content")
	case !row.Finished && row.BootID == t.environment.BootID:
		t.finish(x, chuteresult.New(chuteresult.InProgress, "the earlier request with this id is in progress"), chutetable.Answer{})
	case !row.Finished:
		t.finish(x, chuteresult.New(chuteresult.IntentUnresolved, "entry host %s took the earlier request with this id", row.Host), chutetable.Answer{})
	case row.Result.Code.Class() == chuteresult.ClassRan && row.Result.Code != chuteresult.AnswerTooLarge:
		t.count("request-replayed", "recorded")
		t.finish(x, chuteresult.New(chuteresult.Recorded, "%s", row.Result.Detail), row.Answer)
	default:
		t.finish(x, row.Result, row.Answer)
	}
}

// startCleanup reads all intents, so that deleteExpiredIntents can delete those past the policy's retention time.
func (t *transition) startCleanup() {
	if t.state.cleanupToken != "" || !t.environment.StoreUp || t.now().Sub(t.state.cleanupStartedAt) < cleanupInterval {
		return
	}
	t.state.cleanupStartedAt = t.now()
	t.state.cleanupToken = t.newToken()
	t.emit(chuteevent.ReadTable{Token: t.state.cleanupToken, Prefix: chutetable.IntentPrefix})
}

// deleteExpiredIntents deletes up to maxIntentDeletes of the intents that are older than the policy's retention time.
func (t *transition) deleteExpiredIntents(rows []chutetable.StoredRow) {
	commit := chuteevent.CommitTable{}
	for _, stored := range rows {
		row, ok := stored.Row.(chutetable.IntentRow)
		if !ok || t.now().Sub(row.RecordedAt) < t.environment.Policy.IntentRetention || len(commit.Writes) >= maxIntentDeletes {
			continue
		}
		commit.Conditions = append(commit.Conditions, chutetable.Condition{Key: stored.Key, Version: stored.Version})
		commit.Writes = append(commit.Writes, chutetable.Write{Key: stored.Key})
	}
	if len(commit.Writes) > 0 {
		t.state.cleanupToken = t.newToken()
		commit.Token = t.state.cleanupToken
		t.emit(commit)
	}
}
