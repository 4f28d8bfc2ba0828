package chuteintake

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetask"
)

// HandleRowsWritten handles the result of a write, and returns the rows that are known to be in the store. A write
// without an answer is sent again under the same condition until its outcome is known or its call must be answered.
func (s State) HandleRowsWritten(t *chuteaction.Transition, e chuteaction.RowsWritten) (State, []chuteaction.Row) {
	s, c, ok := s.resolveToken(e.Token)
	if !ok {
		return s, nil
	}
	switch e.Outcome {
	case chuteaction.StoreDone:
		return s.handleRecorded(t, c, false), committedRows(c.write, e.Version)
	case chuteaction.StoreConflict: // the row exists: an earlier attempt or call has written it
		return s.handleRecorded(t, c, true), e.Current
	case chuteaction.StoreRefused:
		t.Count("store-retry", "refused")
		return s.withCall(c.withResendAt(t.Now.Add(retryDelay))), nil
	case chuteaction.StoreUnknown:
		t.Count("store-retry", "no-answer")
		return s.withCall(c.withUncertain().withResendAt(t.Now)), nil
	}
	return s, nil
}

// committedRows returns the rows of a write with the version of its transaction.
func committedRows(write chuteaction.WriteRows, version chuteaction.RowVersion) []chuteaction.Row {
	rows := slices.Clone(write.Put)
	for i := range rows {
		rows[i].Version = version
	}
	return rows
}

func (s State) handleRecorded(t *chuteaction.Transition, c call, alreadyRecorded bool) State {
	took := t.Now.Sub(c.arrivedAt)
	switch c.stage {
	case stageRecordJob:
		t.Log(component, "job accepted", c.job, "queue", c.queue, "took", took, "before", alreadyRecorded)
		t.Emit(chuteaction.Observe{Histogram: "acceptance", Kind: c.queue, Duration: took})
	case stageRecordCancel:
		t.Log(component, "cancellation recorded", c.job, "queue", c.queue, "took", took, "before", alreadyRecorded)
	case stageReadProgress, stageReadSubmission, stageFindJob:
		t.Warn(component, "a write ended for a call that reads", c.job, "stage", int(c.stage))
	}
	return s.answer(t, c, chuteresult.Result{Code: chuteresult.Done}, 0, nil)
}

// HandleRowsRead handles the result of a read.
func (s State) HandleRowsRead(t *chuteaction.Transition, e chuteaction.RowsRead) State {
	s, c, ok := s.resolveToken(e.Token)
	if !ok {
		return s
	}
	if e.Outcome != chuteaction.StoreDone {
		t.Count("store-retry", "read")
		return s.withCall(c.withResendAt(t.Now.Add(retryDelay)))
	}
	switch c.stage {
	case stageReadProgress:
		return s.handleProgress(t, c, e.Rows)
	case stageReadSubmission:
		return s.handleSubmission(t, c, e.Rows)
	case stageFindJob:
		return s.recordCancellation(t, c, e.Rows)
	case stageRecordJob, stageRecordCancel:
		t.Warn(component, "a read ended for a call that writes", c.job, "stage", int(c.stage))
	}
	return s
}

func (s State) handleProgress(t *chuteaction.Transition, c call, rows []chuteaction.Row) State {
	for _, r := range rows {
		if p, ok := r.Value.(chuteaction.ProgressRow); ok {
			return s.answerPhase(t, c, p.Phase)
		}
	}
	return s.readSubmission(t, c.withStage(stageReadSubmission))
}

func (s State) handleSubmission(t *chuteaction.Transition, c call, rows []chuteaction.Row) State {
	found, cancelled := false, false
	for _, r := range rows {
		value, ok := r.Value.(chuteaction.JobRow)
		if !ok {
			continue
		}
		switch value.(type) {
		case chuteaction.SubmissionRow:
			found = true
		case chuteaction.CancelRow:
			cancelled = true
		}
	}
	switch {
	case cancelled:
		return s.answerPhase(t, c, chutetask.PhaseCancelled)
	case found:
		return s.answerPhase(t, c, chutetask.PhaseQueued)
	}
	return s.answerUnknownJob(t, c)
}

func (s State) answerUnknownJob(t *chuteaction.Transition, c call) State {
	return s.answer(t, c, chuteresult.New(chuteresult.UnknownJob, "the store has no job of this id"), 0, nil)
}

// recordCancellation writes the cancellation of the job if its submission exists.
func (s State) recordCancellation(t *chuteaction.Transition, c call, rows []chuteaction.Row) State {
	for _, r := range rows {
		if _, ok := r.Value.(chuteaction.SubmissionRow); ok {
			key := chuteaction.CancelKey(c.job)
			return s.send(t, c.withStage(stageRecordCancel).withWrite(chuteaction.WriteRows{
				Conditions: []chuteaction.Condition{{RowKey: key}},
				Put:        []chuteaction.Row{{RowKey: key, Value: chuteaction.CancelRow{Job: c.job}}},
			}))
		}
	}
	return s.answerUnknownJob(t, c)
}

// Tick retries the requests that are due, and answers the calls that have reached their time limit.
func (s State) Tick(t *chuteaction.Transition) State {
	for i := s.calls.Iterator(); !i.Done(); {
		_, c, _ := i.Next()
		switch {
		case !t.Now.Before(s.answerDeadline(c).Add(-answerMargin)):
			s = s.giveUp(t, c)
		case c.resendAt.IsZero():
		case !c.uncertain && t.Now.Sub(c.arrivedAt) > maxRefusedTime:
			s = s.giveUp(t, c)
		case !t.Now.Before(c.resendAt):
			s = s.retry(t, c)
		}
	}
	return s
}

// giveUp answers a call without a result from the store. The answer tells the client whether the write may have
// committed or certainly has not.
func (s State) giveUp(t *chuteaction.Transition, c call) State {
	writes := c.stage == stageRecordJob || c.stage == stageRecordCancel
	if writes && (c.uncertain || c.resendAt.IsZero()) {
		return s.answer(t, c, chuteresult.New(chuteresult.StoreAnswerLost, "the store did not tell whether it wrote"), 0, nil)
	}
	return s.answer(t, c, chuteresult.New(chuteresult.StoreUnavailable, "the store refuses or does not answer"), clientRetryDelay, nil)
}

func (s State) retry(t *chuteaction.Transition, c call) State {
	c.resendAt = time.Time{}
	switch c.stage {
	case stageRecordJob, stageRecordCancel:
		return s.send(t, c)
	case stageReadProgress:
		return s.readProgress(t, c)
	case stageReadSubmission, stageFindJob:
		return s.readSubmission(t, c)
	}
	return s
}

// HandleCallAbandoned removes a call whose client no longer waits. Requests to the store that are in flight still take
// effect.
func (s State) HandleCallAbandoned(id chuteaction.CallID) State {
	return s.withoutCall(id)
}
