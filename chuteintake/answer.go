package chuteintake

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Written handles the end of a write, and returns the rows that are certainly recorded. A write without an answer is made
// again under the same condition until its outcome is certain, or until the caller must be told that it is not.
func (s State) HandleRowsWritten(t *chuteaction.Transition, e chuteaction.RowsWritten) (State, []chuteaction.Row) {
	s, c, ok := s.take(e.Token)
	if !ok {
		return s, nil
	}
	switch e.Outcome {
	case chuteaction.StoreDone:
		return s.recorded(t, c, false), written(c.write, e.Version)
	case chuteaction.StoreConflict: // the row is there already
		return s.recorded(t, c, true), e.Current
	case chuteaction.StoreRefused:
		t.Count("store-retry", "refused")
		return s.with(c.withResendAt(t.Now.Add(retryPause))), nil
	case chuteaction.StoreUnknown:
		t.Count("store-retry", "no-answer")
		return s.with(c.withUnknown().withResendAt(t.Now)), nil
	}
	return s, nil
}

// written returns the rows of a write as the transaction of the version left them.
func written(write chuteaction.WriteRows, version chuteaction.RowVersion) []chuteaction.Row {
	rows := slices.Clone(write.Put)
	for i := range rows {
		rows[i].Version = version
	}
	return rows
}

func (s State) recorded(t *chuteaction.Transition, c call, before bool) State {
	took := t.Now.Sub(c.arrived)
	switch c.stage {
	case stageRecord:
		t.Log(part, "job accepted", c.job, "queue", c.queue, "took", took, "before", before)
		t.Emit(chuteaction.Observe{Histogram: "acceptance", Kind: c.queue, Duration: took})
	case stageCancel:
		t.Log(part, "cancellation recorded", c.job, "queue", c.queue, "took", took, "before", before)
	case stageProgress, stageSubmission, stageCancelLookup:
		t.Warn(part, "a write ended for a call that reads", c.job, "stage", int(c.stage))
	}
	return s.answer(t, c, chuteresult.Result{Code: chuteresult.Done}, 0, nil)
}

// Read handles the end of a read.
func (s State) HandleRowsRead(t *chuteaction.Transition, e chuteaction.RowsRead) State {
	s, c, ok := s.take(e.Token)
	if !ok {
		return s
	}
	if e.Outcome != chuteaction.StoreDone {
		t.Count("store-retry", "read")
		return s.with(c.withResendAt(t.Now.Add(retryPause)))
	}
	switch c.stage {
	case stageProgress:
		return s.progressRead(t, c, e.Rows)
	case stageSubmission:
		return s.submissionRead(t, c, e.Rows)
	case stageCancelLookup:
		return s.cancelFound(t, c, e.Rows)
	case stageRecord, stageCancel:
		t.Warn(part, "a read ended for a call that writes", c.job, "stage", int(c.stage))
	}
	return s
}

func (s State) progressRead(t *chuteaction.Transition, c call, rows []chuteaction.Row) State {
	for _, r := range rows {
		if p, ok := r.Value.(chuteaction.ProgressRow); ok {
			return s.showPhase(t, c, p.Phase)
		}
	}
	return s.readSubmission(t, c.withStage(stageSubmission))
}

func (s State) submissionRead(t *chuteaction.Transition, c call, rows []chuteaction.Row) State {
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
		return s.showPhase(t, c, chutetask.PhaseCancelled)
	case found:
		return s.showPhase(t, c, chutetask.PhaseQueued)
	}
	return s.unknownJob(t, c)
}

func (s State) unknownJob(t *chuteaction.Transition, c call) State {
	return s.answer(t, c, chuteresult.New(chuteresult.UnknownJob, "the store has no job of this id"), 0, nil)
}

// cancelFound records the cancellation of a job that exists.
func (s State) cancelFound(t *chuteaction.Transition, c call, rows []chuteaction.Row) State {
	for _, r := range rows {
		if _, ok := r.Value.(chuteaction.SubmissionRow); ok {
			key := chuteaction.CancelKey(c.job)
			return s.send(t, c.withStage(stageCancel).withWrite(chuteaction.WriteRows{
				Conditions: []chuteaction.Condition{{RowKey: key}},
				Put:        []chuteaction.Row{{RowKey: key, Value: chuteaction.CancelRow{Job: c.job}}},
			}))
		}
	}
	return s.unknownJob(t, c)
}

// Tick repeats requests that are due and answers calls whose time is over.
func (s State) Tick(t *chuteaction.Transition) State {
	for i := s.calls.Iterator(); !i.Done(); {
		_, c, _ := i.Next()
		switch {
		case !t.Now.Before(s.answerBy(c).Add(-answerMargin)):
			s = s.giveUp(t, c)
		case c.resendAt.IsZero():
		case !c.unknown && t.Now.Sub(c.arrived) > refusedLimit:
			s = s.giveUp(t, c)
		case !t.Now.Before(c.resendAt):
			s = s.repeat(t, c)
		}
	}
	return s
}

// giveUp tells the caller what is certain: that nothing was done, or that the outcome is unknown.
func (s State) giveUp(t *chuteaction.Transition, c call) State {
	writes := c.stage == stageRecord || c.stage == stageCancel
	if writes && (c.unknown || c.resendAt.IsZero()) {
		return s.answer(t, c, chuteresult.New(chuteresult.StoreAnswerLost, "the store did not tell whether it wrote"), 0, nil)
	}
	return s.answer(t, c, chuteresult.New(chuteresult.StoreUnavailable, "the store refuses or does not answer"), comeBack, nil)
}

func (s State) repeat(t *chuteaction.Transition, c call) State {
	c.resendAt = time.Time{}
	switch c.stage {
	case stageRecord, stageCancel:
		return s.send(t, c)
	case stageProgress:
		return s.readProgress(t, c)
	case stageSubmission, stageCancelLookup:
		return s.readSubmission(t, c)
	}
	return s
}

// Leave forgets a call for which nobody waits any more. What it asked of the store goes on.
func (s State) HandleCallAbandoned(id chuteaction.CallID) State {
	return s.without(id)
}
