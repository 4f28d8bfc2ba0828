package chuteroute

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteload"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
)

const (
	// initialBackoff is the longest wait before the first retry; it doubles with each further retry.
	initialBackoff = 20 * time.Millisecond
)

// Step handles an event about a request or a backend server.
func (s State) Step(environment Environment, event chuteevent.RequestEvent) (State, []chuteevent.Effect) {
	t := &transition{state: s, environment: environment}
	switch e := event.(type) {
	case chuteevent.RequestArrived:
		t.handleRequestArrived(e.Request)
	case chuteevent.AttemptEnded:
		t.handleAttemptEnded(e)
	case chuteevent.BackendProbed:
		t.handleBackendProbed(e)
		t.dispatchAll()
	}
	return t.state, t.effects
}

// Tick sends due probes and retries, refuses requests whose deadline has passed, and starts the cleanup of old intents.
func (s State) Tick(environment Environment) (State, []chuteevent.Effect) {
	t := &transition{state: s, environment: environment}
	t.probeSuspected()
	t.handleTimeouts()
	t.dispatchAll()
	t.startCleanup()
	return t.state, t.effects
}

func (t *transition) handleRequestArrived(r chuteevent.Request) {
	x := exchange{request: r, arrivedAt: t.now()}
	switch {
	case t.state.stopping:
		t.refuse(x, chuteresult.Stopping, "this entry host is stopping")
	case !t.now().Before(r.Deadline):
		t.refuse(x, chuteresult.DeadlinePassed, "arrived past its deadline")
	case !t.serviceAvailable(r.Service):
		t.refuse(x, chuteresult.NoBackendServer, "no backend server of service %q takes work", r.Service)
	case !x.atMostOnce():
		t.enqueue(x)
	case !t.environment.StoreUp:
		t.refuse(x, chuteresult.StoreUnavailable, "the request's intent cannot be recorded now")
	default:
		t.recordIntent(x)
	}
}

// refuse answers a request with a code of class ClassNotRun and counts the refusal, unless an earlier attempt may have
// run.
func (t *transition) refuse(x exchange, code chuteresult.Code, format string, values ...any) {
	if !x.mayHaveRun {
		t.count("request-refused", code.String())
	}
	t.finish(x, chuteresult.New(code, format, values...), chutetable.Answer{})
}

// finish answers the request. It deletes the request from the state, or first records the outcome if the request has an
// intent. If an earlier attempt may have run, AnswerLost replaces a result that says the request did not run.
func (t *transition) finish(x exchange, result chuteresult.Result, answer chutetable.Answer) {
	if x.mayHaveRun && result.NotRun() {
		result = chuteresult.New(chuteresult.AnswerLost, "an earlier attempt may have run; the latest: %s", result.Error())
	}
	t.emit(chuteevent.AnswerRequest{Exchange: x.request.Exchange, Result: result, Answer: answer, Attempts: x.attempts})
	if x.intentVersion > 0 {
		t.recordOutcome(x, result, answer)
		return
	}
	t.state.exchanges = t.state.exchanges.Delete(x.request.Exchange)
}

// handleAttemptEnded handles the end of the latest attempt, and drops ends of earlier attempts, which arrive late.
func (t *transition) handleAttemptEnded(e chuteevent.AttemptEnded) {
	t.updateBackend(e)
	x, ok := t.state.exchanges.Get(e.Exchange)
	if !ok || x.stage != stageDispatched || x.attempts != e.Attempt {
		t.count("answer-dropped", "late")
		t.dispatchAll()
		return
	}
	defer t.dispatch(x.request.Service)
	switch e.Result.Code.Class() {
	case chuteresult.ClassRan:
		t.putQueue(x.request.Service, t.queue(x.request.Service).WithRetryEarned())
		t.finish(x, e.Result, e.Answer)
	case chuteresult.ClassNotRun:
		t.retryOrFinish(x, e.Result)
	case chuteresult.ClassUnknown:
		t.count("attempt-unknown", e.Result.Code.String())
		x = x.withUnknownOutcome()
		if x.request.Repeatable {
			t.retryOrFinish(x, e.Result)
		} else {
			t.finish(x, e.Result, chutetable.Answer{})
		}
	}
}

// updateBackend updates the state and the limit of the backend server from the end of an attempt.
func (t *transition) updateBackend(e chuteevent.AttemptEnded) {
	b, ok := t.state.backends.Get(e.Backend)
	if !ok {
		return
	}
	b.Running = max(0, b.Running-1)
	_, highest := t.concurrencyLimits()
	switch {
	case e.Leaving:
		b = b.WithLeaving(t.now())
	case e.Result.Code.Class() == chuteresult.ClassRan:
		b = b.WithSuccess(e.Elapsed, highest)
	case e.Result.Code == chuteresult.BackendRefused, e.Result.Code == chuteresult.Overloaded:
		b = b.WithOverload()
	case e.Result.Code == chuteresult.Cancelled, e.Result.Code == chuteresult.DeadlinePassed:
	default:
		wasUp := b.State == chuteload.Up
		b = b.WithFailure()
		if wasUp && b.State == chuteload.Suspected {
			t.count("backend-suspected", e.Result.Code.String())
		}
	}
	t.state.backends = t.state.backends.Set(e.Backend, b)
}

// retryOrFinish schedules a retry if the number of attempts, the retry budget and the deadline allow one, and answers
// with the result otherwise. The caller ensures that another attempt is safe.
func (t *transition) retryOrFinish(x exchange, result chuteresult.Result) {
	q := t.queue(x.request.Service)
	backoff := t.backoff(x.attempts)
	switch {
	case x.attempts >= MaxAttempts:
		t.count("retry-refused", "attempts")
	case !q.MayRetry():
		t.count("retry-refused", "budget")
	case !t.now().Add(backoff).Before(x.request.Deadline):
		t.count("retry-refused", "deadline")
	default:
		t.count("retry", result.Code.String())
		t.putQueue(x.request.Service, q.WithRetrySpent())
		t.putExchange(x.withBackoff(t.now().Add(backoff)))
		return
	}
	t.finish(x, result, chutetable.Answer{})
}

// backoff returns a random wait before the next attempt, whose upper bound doubles with each attempt.
func (t *transition) backoff(attempts int) time.Duration {
	longest := initialBackoff << min(attempts-1, 6)
	return time.Duration(1 + t.randomBelow(int(longest)))
}

// handleTimeouts queues requests whose backoff is over and refuses those whose deadline has passed, in the order of
// their arrival.
func (t *transition) handleTimeouts() {
	for i := t.state.exchanges.Iterator(); !i.Done(); {
		_, x, _ := i.Next()
		switch {
		case x.stage == stageBackoff && !t.now().Before(x.notBefore):
			t.enqueue(x)
		case x.stage == stageQueued && !t.now().Before(x.request.Deadline):
			t.putQueue(x.request.Service, t.queue(x.request.Service).Without(x.request.Class, x.request.Exchange))
			t.refuse(x, chuteresult.DeadlinePassed, "waited past the deadline")
		case x.stage == stageIntent && !t.now().Before(x.request.Deadline):
			t.abandon(x)
		}
	}
}

// abandon answers a request whose intent was not recorded before its deadline. The router does not send the request; if
// the commit of the intent still succeeds, it deletes the intent.
func (t *transition) abandon(x exchange) {
	t.count("request-refused", chuteresult.DeadlinePassed.String())
	t.emit(chuteevent.AnswerRequest{
		Exchange: x.request.Exchange, Result: chuteresult.New(chuteresult.DeadlinePassed, "its intent was not recorded in time"),
	})
	t.putExchange(x.withStage(stageAbandoned))
}
