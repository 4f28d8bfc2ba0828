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
	retryPause = 100 * time.Millisecond
	// refusedLimit is how long a call waits for a store that refuses.
	refusedLimit = 700 * time.Millisecond
	// answerMargin is the time before a call's deadline at which it is answered in any case.
	answerMargin = 150 * time.Millisecond
	// comeBack is when a client that was refused for the store's sake may return.
	comeBack = time.Second
	part     = "intake"
)

// View is what the intake is told with each event.
type View struct {
	Catalog        chutecatalog.Catalog
	Pending        map[string]int // by queue
	StoreReachable bool           // the store has answered lately
}

// State is the immutable state of the calls in progress.
type State struct {
	calls  *immutable.SortedMap[chuteaction.CallID, call]
	tokens *immutable.Map[chuteaction.Token, chuteaction.CallID]
	end    time.Time // when all calls must have been answered; zero for no limit
}

// New returns a state without calls.
func New() State {
	return State{
		calls:  immutable.NewSortedMap[chuteaction.CallID, call](nil),
		tokens: immutable.NewMap[chuteaction.Token, chuteaction.CallID](nil),
	}
}

// WithEnd returns the state of a host that stops: all calls are answered by the moment.
func (s State) WithStopDeadline(end time.Time) State {
	s.end = end
	return s
}

// answerBy returns when a call must have been answered.
func (s State) answerBy(c call) time.Time {
	if !s.end.IsZero() && s.end.Before(c.deadline) {
		return s.end
	}
	return c.deadline
}

// Len returns the number of calls in progress.
func (s State) Len() int {
	return s.calls.Len()
}

// call is a call in progress.
type call struct {
	id       chuteaction.CallID
	arrived  time.Time
	deadline time.Time
	job      chutegraph.JobID
	queue    string
	stage    stage
	write    chuteaction.WriteRows // of a stage that writes
	unknown  bool                  // a write got no answer, so that it may take effect
	resendAt time.Time             // zero while an answer is awaited
}

// stage is what a call waits for.
type stage int

const (
	stageRecord       stage = iota + 1 // the record of a job
	stageProgress                      // the progress of a job, to tell its state
	stageSubmission                    // the record of a job without progress
	stageCancelLookup                  // the record of a job, before its cancellation
	stageCancel                        // the record of a cancellation
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

func (c call) withUnknown() call {
	c.unknown = true
	return c
}

func (c call) withWrite(w chuteaction.WriteRows) call {
	c.write = w
	return c
}

func (s State) with(c call) State {
	s.calls = s.calls.Set(c.id, c)
	return s
}

func (s State) without(id chuteaction.CallID) State {
	s.calls = s.calls.Delete(id)
	return s
}

// Owns reports whether the token belongs to a call in progress, or to one that was answered meanwhile.
func (s State) Owns(token chuteaction.Token) bool {
	_, ok := s.tokens.Get(token)
	return ok
}

func (s State) take(token chuteaction.Token) (State, call, bool) {
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
		t.Warn(part, "call not served", c.job, "code", result.Code, "detail", result.Detail, "queue", c.queue,
			"waited", t.Now.Sub(c.arrived), "retry-after", retryAfter)
	}
	return s.without(c.id)
}

func (s State) showPhase(t *chuteaction.Transition, c call, phase chutetask.Phase) State {
	return s.answer(t, c, chuteresult.Result{Code: chuteresult.Done}, 0, chuteaction.JobState{Phase: phase})
}
