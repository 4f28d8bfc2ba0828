package chuteroute

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
)

const (
	// MaxRecordedBody is the largest answer that is kept for repeated ids, in bytes.
	MaxRecordedBody = 64 << 10
	// cleanInterval is the time between two removals of expired intents.
	cleanInterval = 10 * time.Minute
	// maxCleaned is the number of intents that one removal deletes at most.
	maxCleaned = 100
)

// recordIntent writes the intent that makes any later arrival of the id find this one.
func (t *turn) recordIntent(x exchange) {
	x.row = chutetable.IntentRow{
		RequestID: x.request.ID, Digest: x.request.Digest,
		Host: t.environment.Host, Boot: t.environment.Boot, RecordedAt: t.now(),
	}
	t.put(x.withStage(stageIntent))
	key := chutetable.IntentKey(x.request.ID)
	t.emit(chuteevent.CommitTable{
		Token:      t.remember(x.request.Exchange),
		Conditions: []chutetable.Condition{{Key: key}},
		Writes:     []chutetable.Write{{Key: key, Row: x.row}},
		SendBefore: x.request.Deadline,
	})
}

// recordOutcome writes the outcome beside the intent.
func (t *turn) recordOutcome(x exchange, result chuteresult.Result, answer chutetable.Answer) {
	x.row.Finished = true
	x.row.Result = result
	x.row.Answer = answer
	if len(answer.Body) > MaxRecordedBody {
		x.row.Answer = chutetable.Answer{}
		x.row.Result = chuteresult.New(chuteresult.AnswerTooLarge, "it ran; its answer was too large to be kept")
	}
	t.put(x.withStage(stageRecording))
	t.commitOutcome(x)
}

func (t *turn) commitOutcome(x exchange) {
	key := chutetable.IntentKey(x.request.ID)
	write := chutetable.Write{Key: key, Row: x.row}
	if x.row.Result.NotRun() {
		write.Row = nil // it certainly did not run: the id is free again
	}
	t.emit(chuteevent.CommitTable{
		Token:      t.remember(x.request.Exchange),
		Conditions: []chutetable.Condition{{Key: key, Version: x.intent}},
		Writes:     []chutetable.Write{write},
	})
}

// Committed handles the certain end of a commit of the router.
func (s State) HandleTableCommitted(environment Environment, e chuteevent.TableCommitted) (State, []chuteevent.Effect) {
	t := &turn{state: s, environment: environment}
	if e.Token == s.cleaning {
		t.state.cleaning = ""
		return t.state, t.effects
	}
	id, _ := s.pending.Get(e.Token)
	t.state.pending = s.pending.Delete(e.Token)
	x, ok := t.state.exchanges.Get(id)
	if !ok {
		return t.state, t.effects
	}
	switch {
	case x.stage == stageRecording, x.stage == stageAbandoned && !e.Accepted:
		t.state.exchanges = t.state.exchanges.Delete(id)
	case x.stage == stageAbandoned:
		x = x.withIntent(e.Versions[chutetable.IntentKey(x.request.ID)])
		t.recordOutcome(x, chuteresult.Result{Code: chuteresult.DeadlinePassed}, chutetable.Answer{})
	case e.Accepted:
		t.enqueue(x.withIntent(e.Versions[chutetable.IntentKey(x.request.ID)]))
	default:
		t.put(x.withStage(stageLookup))
		t.emit(chuteevent.ReadTable{Token: t.remember(id), Prefix: chutetable.IntentKey(x.request.ID), Exact: true})
	}
	return t.state, t.effects
}

// Failed handles a store operation that certainly did not take effect.
func (s State) HandleTableFailed(environment Environment, token chuteevent.Token) (State, []chuteevent.Effect) {
	t := &turn{state: s, environment: environment}
	if token == s.cleaning {
		t.state.cleaning = ""
		return t.state, t.effects
	}
	id, _ := s.pending.Get(token)
	t.state.pending = s.pending.Delete(token)
	x, ok := t.state.exchanges.Get(id)
	switch {
	case !ok:
	case x.stage == stageRecording:
		t.commitOutcome(x)
	case x.stage == stageAbandoned:
		t.state.exchanges = t.state.exchanges.Delete(id)
	case x.stage == stageLookup:
		t.finish(x, chuteresult.New(chuteresult.IntentUnresolved, "an earlier request has this id; its record cannot be read now"), chutetable.Answer{})
	default:
		t.refuse(x, chuteresult.StoreUnavailable, "the request's intent cannot be recorded now")
	}
	return t.state, t.effects
}

// Read handles the row of an earlier intent, or the list of intents to clean.
func (s State) HandleTableRead(environment Environment, e chuteevent.TableRead) (State, []chuteevent.Effect) {
	t := &turn{state: s, environment: environment}
	if e.Token == s.cleaning {
		t.deleteExpired(e.Rows)
		return t.state, t.effects
	}
	id, _ := s.pending.Get(e.Token)
	t.state.pending = s.pending.Delete(e.Token)
	x, ok := t.state.exchanges.Get(id)
	if !ok {
		return t.state, t.effects
	}
	for _, stored := range e.Rows {
		row, isIntent := stored.Row.(chutetable.IntentRow)
		if isIntent && stored.Key == chutetable.IntentKey(x.request.ID) {
			t.answerFrom(x, row)
			return t.state, t.effects
		}
	}
	t.refuse(x, chuteresult.Conflict, "an earlier request with this id did not run; it may be sent again")
	return t.state, t.effects
}

// answerFrom answers a repeated id with what is known of the earlier request.
func (t *turn) answerFrom(x exchange, row chutetable.IntentRow) {
	switch {
	case row.Digest != x.request.Digest:
		t.refuse(x, chuteresult.Conflict, "the id belongs to a request with another content")
	case !row.Finished && row.Boot == t.environment.Boot:
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

// clean removes intents older than the policy's retention.
func (t *turn) clean() {
	if t.state.cleaning != "" || !t.environment.StoreUp || t.now().Sub(t.state.cleanedAt) < cleanInterval {
		return
	}
	t.state.cleanedAt = t.now()
	t.state.cleaning = t.token()
	t.emit(chuteevent.ReadTable{Token: t.state.cleaning, Prefix: chutetable.IntentPrefix})
}

func (t *turn) deleteExpired(rows []chutetable.StoredRow) {
	t.state.cleaning = ""
	commit := chuteevent.CommitTable{}
	for _, stored := range rows {
		row, ok := stored.Row.(chutetable.IntentRow)
		if !ok || t.now().Sub(row.RecordedAt) < t.environment.Policy.IntentRetention || len(commit.Writes) >= maxCleaned {
			continue
		}
		commit.Conditions = append(commit.Conditions, chutetable.Condition{Key: stored.Key, Version: stored.Version})
		commit.Writes = append(commit.Writes, chutetable.Write{Key: stored.Key})
	}
	if len(commit.Writes) > 0 {
		t.state.cleaning = t.token()
		commit.Token = t.state.cleaning
		t.emit(commit)
	}
}
