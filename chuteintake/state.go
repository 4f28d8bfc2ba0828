package chuteintake

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// retryPause is the wait before a refused request to the store is made again.
	retryDelay = 100 * time.Millisecond
	// refusedLimit is how long a call waits for a store that refuses.
	maxRefusedTime = 700 * time.Millisecond
	// answerMargin is the time before a call's deadline at which it is answered in any case.
	answerMargin = 150 * time.Millisecond
	// comeBack is when a client that was refused for the store's sake may return.
	clientRetryDelay = time.Second
	component        = "intake"
)

// View is what the intake is told with each event.
type View struct {
	Catalog        chutecatalog.Catalog
	Pending        map[string]int // by queue
	StoreReachable bool           // the store has answered lately
}

// State is the immutable state of the calls in progress.
type State struct {
	calls        *immutable.SortedMap[chuteaction.CallID, call]
	tokens       *immutable.Map[chuteaction.Token, chuteaction.CallID]
	stopDeadline time.Time // when all calls must have been answered; zero for no limit
}

// New returns a state without calls.
func New() State {
	return State{
		calls:  immutable.NewSortedMap[chuteaction.CallID, call](nil),
		tokens: immutable.NewMap[chuteaction.Token, chuteaction.CallID](nil),
	}
}

// WithEnd returns the state of a host that stops: all calls are answered by the moment.
func (s State) WithStopDeadline(deadline time.Time) State {
	s.stopDeadline = deadline
	return s
}

// answerBy returns when a call must have been answered.
func (s State) answerDeadline(c call) time.Time {
	if !s.stopDeadline.IsZero() && s.stopDeadline.Before(c.deadline) {
		return s.stopDeadline
	}
	return c.deadline
}

// Len returns the number of calls in progress.
func (s State) Len() int {
	return s.calls.Len()
}

// call is a call in progress.
type call struct {
	id        chuteaction.CallID
	arrivedAt time.Time
	deadline  time.Time
	job       chutegraph.JobID
	queue     string
	stage     stage
	write     chuteaction.WriteRows // of a stage that writes
	uncertain bool                  // a write got no answer, so that it may take effect
	resendAt  time.Time             // zero while an answer is awaited
}

// stage is what a call waits for.
type stage int

const (
	stageRecordJob      stage = iota + 1 // the record of a job
	stageReadProgress                    // the progress of a job, to tell its state
	stageReadSubmission                  // the record of a job without progress
	stageFindJob                         // the record of a job, before its cancellation
	stageRecordCancel                    // the record of a cancellation
)

func (c call) withStage(s stage) call {
	c.stage = s
	c.resendAt = time.Time{}
	return c
}

func (c call) withResendAt(at time.Time) call {
	c.resendAt = at
	return c
}

func (c call) withUncertain() call {
	c.uncertain = true
	return c
}

func (c call) withWrite(w chuteaction.WriteRows) call {
	c.write = w
	return c
}

func (s State) withCall(c call) State {
	s.calls = s.calls.Set(c.id, c)
	return s
}

func (s State) withoutCall(id chuteaction.CallID) State {
	s.calls = s.calls.Delete(id)
	return s
}

// Owns reports whether the token belongs to a call in progress, or to one that was answered meanwhile.
func (s State) Owns(token chuteaction.Token) bool {
	_, ok := s.tokens.Get(token)
	return ok
}

func (s State) resolveToken(token chuteaction.Token) (State, call, bool) {
	id, ok := s.tokens.Get(token)
	if !ok {
		return s, call{}, false
	}
	s.tokens = s.tokens.Delete(token)
	c, ok := s.calls.Get(id)
	return s, c, ok
}

func (s State) answer(t *chuteaction.Transition, c call, result chuteresult.Result, retryAfter time.Duration, body chuteaction.AnswerBody) State {
	t.Emit(chuteaction.AnswerCall{ID: c.id, Result: result, RetryAfter: retryAfter, Body: body})
	if result.Code.Class() != chuteresult.ClassRan {
		t.Count("call-refused", result.Code.String())
		t.Warn(component, "call not served", c.job, "code", result.Code, "detail", result.Detail, "queue", c.queue,
			"waited", t.Now.Sub(c.arrivedAt), "retry-after", retryAfter)
	}
	return s.withoutCall(c.id)
}

func (s State) answerPhase(t *chuteaction.Transition, c call, phase chutetask.Phase) State {
	return s.answer(t, c, chuteresult.Result{Code: chuteresult.Done}, 0, chuteaction.JobState{Phase: phase})
}
