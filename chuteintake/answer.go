package chuteintake

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
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
		return s.handleCommit(t, c), committedRows(c.write, e.Version)
	case chuteaction.StoreConflict: // an earlier attempt or another call has written a row that the conditions name
		return s.handleConflict(t, c, e.Current), e.Current
	case chuteaction.StoreRefused:
		t.Count("store-retry", "refused")
		return s.withCall(c.withResendAt(t.Now.Add(retryDelay))), nil
	case chuteaction.StoreRejected:
		return s.handleRejection(t, c), nil
	case chuteaction.StoreUnknown:
		t.Count("store-retry", "no-answer")
		return s.withCall(c.withUncertain().withResendAt(t.Now)), nil
	}
	return s, nil
}

// handleRejection handles that the store will never take the call's row. A job whose submission it rejects is refused at once. The
// other rows are small and alike for all jobs, so that they are tried again.
func (s State) handleRejection(t *chuteaction.Transition, c call) State {
	t.Count("store-retry", "rejected")
	if c.stage != stageRecordJob {
		return s.withCall(c.withResendAt(t.Now.Add(retryDelay)))
	}
	t.Warn(component, "the store rejects the submission of a job", c.job, "queue", c.queue)
	return s.answer(t, c, chuteresult.New(chuteresult.Malformed, "the store does not take the job"), 0, nil)
}

// committedRows returns the rows of a write with the version of its transaction.
func committedRows(write chuteaction.WriteRows, version chuteaction.RowVersion) []chuteaction.Row {
	rows := slices.Clone(write.Put)
	for i := range rows {
		rows[i].Version = version
	}
	return rows
}

// handleCommit answers a call whose write has committed.
func (s State) handleCommit(t *chuteaction.Transition, c call) State {
	switch c.stage {
	case stageRecordJob, stageRecordCancel:
		return s.answerRecorded(t, c, false)
	case stageRejectJob:
		t.Count("job-rejected", "cancelled")
		t.Log(component, "cancellation recorded of an unknown job, which cannot be recorded any more", c.job, "queue", c.queue)
		return s.answerUnknownJob(t, c)
	case stageRefuseJob:
		return s.answer(t, c, c.refusal, 0, nil)
	case stageReadProgress, stageReadSubmission, stageFindJob:
		t.Warn(component, "a write ended for a call that reads", c.job, "stage", int(c.stage))
	}
	return s
}

// handleConflict handles the rows that the store has instead of those that a call was to write.
func (s State) handleConflict(t *chuteaction.Transition, c call, current []chuteaction.Row) State {
	submitted, cancelled := recordedRows(c, current)
	switch c.stage {
	case stageRecordJob:
		switch {
		case submitted:
			return s.answerRecorded(t, c, true)
		case cancelled:
			return s.answer(t, c, chuteresult.New(chuteresult.Cancelled, "the job was cancelled before it was recorded"), 0, nil)
		}
	case stageRecordCancel:
		if cancelled {
			return s.answerRecorded(t, c, true)
		}
	case stageRejectJob:
		if submitted || cancelled {
			return s.cancelRecorded(t, c, submitted, cancelled)
		}
	case stageRefuseJob:
		switch {
		case submitted: // before its quota was lowered
			return s.answerRecorded(t, c.withStage(stageRecordJob), true)
		case cancelled:
			return s.answer(t, c, c.refusal, 0, nil)
		}
	case stageReadProgress, stageReadSubmission, stageFindJob:
		t.Warn(component, "a write ended for a call that reads", c.job, "stage", int(c.stage))
		return s
	}
	t.Count("store-retry", "conflict")
	return s.withCall(c.withResendAt(t.Now.Add(retryDelay)))
}

// recordedRows reports which rows of the call's job are among the rows, whether or not they can be decoded.
func recordedRows(c call, rows []chuteaction.Row) (submitted, cancelled bool) {
	for _, r := range rows {
		submitted = submitted || r.RowKey == chuteaction.SubmissionKey(c.job)
		cancelled = cancelled || r.RowKey == chuteaction.CancelKey(c.job)
	}
	return submitted, cancelled
}

// answerRecorded answers a call whose row is in the store, where an earlier call may have written it.
func (s State) answerRecorded(t *chuteaction.Transition, c call, before bool) State {
	took := t.Now.Sub(c.arrivedAt)
	if c.stage == stageRecordJob {
		t.Log(component, "job accepted", c.job, "queue", c.queue, "took", took, "before", before)
		t.Emit(chuteaction.Observe{Histogram: "acceptance", Kind: c.queue, Duration: took})
	} else {
		t.Log(component, "cancellation recorded", c.job, "queue", c.queue, "took", took, "before", before)
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
		submitted, cancelled := recordedRows(c, e.Rows)
		return s.cancelRecorded(t, c, submitted, cancelled)
	case stageRecordJob, stageRecordCancel, stageRejectJob, stageRefuseJob:
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
	case !found: // a cancellation alone is of a job that was never accepted
		return s.answerUnknownJob(t, c)
	case cancelled:
		return s.answerPhase(t, c, chutetask.PhaseCancelled)
	}
	return s.answerPhase(t, c, chutetask.PhaseQueued)
}

func (s State) answerUnknownJob(t *chuteaction.Transition, c call) State {
	return s.answer(t, c, chuteresult.New(chuteresult.UnknownJob, "the store has no job of this id"), 0, nil)
}

// cancelRecorded cancels a job of which the store has the given rows. Of an unknown job it records the cancellation as well:
// a write of the submission may be on its way, and must not take effect any more.
func (s State) cancelRecorded(t *chuteaction.Transition, c call, submitted, cancelled bool) State {
	switch {
	case submitted && cancelled:
		return s.answerRecorded(t, c.withStage(stageRecordCancel), true)
	case cancelled:
		return s.answerUnknownJob(t, c)
	case submitted:
		return s.send(t, c.withStage(stageRecordCancel).withWrite(cancellation(c.job)))
	}
	return s.send(t, c.withStage(stageRejectJob).withWrite(rejection(c.job)))
}

// cancellation returns the write that cancels a job.
func cancellation(id chutegraph.JobID) chuteaction.WriteRows {
	key := chuteaction.CancelKey(id)
	return chuteaction.WriteRows{
		Conditions: []chuteaction.Condition{{RowKey: key}},
		Put:        []chuteaction.Row{{RowKey: key, Value: chuteaction.CancelRow{Job: id}}},
	}
}

// rejection returns the write that cancels a job unless it is recorded, so that it will not be.
func rejection(id chutegraph.JobID) chuteaction.WriteRows {
	write := cancellation(id)
	write.Conditions = append(write.Conditions, chuteaction.Condition{RowKey: chuteaction.SubmissionKey(id)})
	return write
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
	if c.stage.writes() && (c.uncertain || c.resendAt.IsZero()) {
		return s.answer(t, c, chuteresult.New(chuteresult.StoreAnswerLost, "the store did not tell whether it wrote"), 0, nil)
	}
	return s.answer(t, c, chuteresult.New(chuteresult.StoreUnavailable, "the store refuses or does not answer"), clientRetryDelay, nil)
}

func (s State) retry(t *chuteaction.Transition, c call) State {
	c.resendAt = time.Time{}
	switch c.stage {
	case stageRecordJob, stageRecordCancel, stageRejectJob, stageRefuseJob:
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
