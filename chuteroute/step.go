package chuteroute

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteload"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
)

const (
	// firstBackoff is the longest wait before the first retry; each further one doubles it.
	firstBackoff = 20 * time.Millisecond
)

// Step handles an event of the router.
func (s State) Step(environment Environment, event chuteevent.RequestEvent) (State, []chuteevent.Effect) {
	t := &turn{state: s, environment: environment}
	switch e := event.(type) {
	case chuteevent.RequestArrived:
		t.arrived(e.Request)
	case chuteevent.AttemptEnded:
		t.attemptEnded(e)
	case chuteevent.BackendProbed:
		t.probed(e)
		t.dispatchAll()
	}
	return t.state, t.effects
}

// Tick lets time pass: deadlines, retries, probes and the removal of old intents.
func (s State) Tick(environment Environment) (State, []chuteevent.Effect) {
	t := &turn{state: s, environment: environment}
	t.probe()
	t.wake()
	t.dispatchAll()
	t.clean()
	return t.state, t.effects
}

func (t *turn) arrived(r chuteevent.Request) {
	x := exchange{request: r, arrived: t.now()}
	switch {
	case t.state.stopping:
		t.refuse(x, chuteresult.Stopping, "this entry host is stopping")
	case !t.now().Before(r.Deadline):
		t.refuse(x, chuteresult.DeadlinePassed, "arrived past its deadline")
	case !t.served(r.Service):
		t.refuse(x, chuteresult.NoBackendServer, "no backend server of service %q takes work", r.Service)
	case !x.atMostOnce():
		t.enqueue(x)
	case !t.environment.StoreUp:
		t.refuse(x, chuteresult.StoreUnavailable, "the request's intent cannot be recorded now")
	default:
		t.recordIntent(x)
	}
}

// refuse answers a request that certainly did not run.
func (t *turn) refuse(x exchange, code chuteresult.Code, format string, values ...any) {
	t.count("request-refused", code.String())
	t.finish(x, chuteresult.New(code, format, values...), chutetable.Answer{})
}

// finish answers the request and forgets it, once its outcome is recorded where it must be. A request of which an
// attempt may have run is never told that it did not.
func (t *turn) finish(x exchange, result chuteresult.Result, answer chutetable.Answer) {
	if x.mayRun && result.NotRun() {
		result = chuteresult.New(chuteresult.AnswerLost, "an earlier attempt may have run; the latest: %s", result.Error())
	}
	t.emit(chuteevent.AnswerRequest{Exchange: x.request.Exchange, Result: result, Answer: answer, Attempts: x.attempts})
	if x.intent > 0 {
		t.recordOutcome(x, result, answer)
		return
	}
	t.state.exchanges = t.state.exchanges.Delete(x.request.Exchange)
}

// attemptEnded handles the end of an attempt; ends of other attempts than the latest are late and dropped.
func (t *turn) attemptEnded(e chuteevent.AttemptEnded) {
	t.noteBackend(e)
	x, ok := t.state.exchanges.Get(e.Exchange)
	if !ok || x.stage != stageDispatched || x.attempts != e.Attempt {
		t.count("answer-dropped", "late")
		t.dispatchAll()
		return
	}
	defer t.dispatch(x.request.Service)
	switch e.Result.Code.Class() {
	case chuteresult.ClassRan:
		t.putLane(x.request.Service, t.lane(x.request.Service).WithRetryEarned())
		t.finish(x, e.Result, e.Answer)
	case chuteresult.ClassNotRun:
		t.retryOr(x, e.Result)
	case chuteresult.ClassUnknown:
		t.count("attempt-unknown", e.Result.Code.String())
		x = x.withUnknown()
		if x.request.Repeatable {
			t.retryOr(x, e.Result)
		} else {
			t.finish(x, e.Result, chutetable.Answer{})
		}
	}
}

// noteBackend enters what an attempt's end tells of its backend server.
func (t *turn) noteBackend(e chuteevent.AttemptEnded) {
	b, ok := t.state.backends.Get(e.Backend)
	if !ok {
		return
	}
	b.Running = max(0, b.Running-1)
	_, most := t.share()
	switch {
	case e.Leaving:
		b = b.WithLeaving(t.now())
	case e.Result.Code.Class() == chuteresult.ClassRan:
		b = b.WithSuccess(e.Elapsed, most)
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

// retryOr sends the request again if that is safe and the budget allows it, and answers with the result otherwise.
func (t *turn) retryOr(x exchange, result chuteresult.Result) {
	l := t.lane(x.request.Service)
	backoff := t.backoff(x.attempts)
	switch {
	case x.attempts >= MaxAttempts:
		t.count("retry-refused", "attempts")
	case !l.MayRetry():
		t.count("retry-refused", "budget")
	case !t.now().Add(backoff).Before(x.request.Deadline):
		t.count("retry-refused", "deadline")
	default:
		t.count("retry", result.Code.String())
		t.putLane(x.request.Service, l.WithRetrySpent())
		t.put(x.withBackoff(t.now().Add(backoff)))
		return
	}
	t.finish(x, result, chutetable.Answer{})
}

// backoff returns a random wait before the next attempt.
func (t *turn) backoff(attempts int) time.Duration {
	longest := firstBackoff << min(attempts-1, 6)
	return time.Duration(1 + t.draw(int(longest)))
}

// wake ends waits that are over and refuses requests whose deadline has passed, the longest wait first.
func (t *turn) wake() {
	for i := t.state.exchanges.Iterator(); !i.Done(); {
		_, x, _ := i.Next()
		switch {
		case x.stage == stageBackoff && !t.now().Before(x.notBefore):
			t.enqueue(x)
		case x.stage == stageQueued && !t.now().Before(x.request.Deadline):
			t.putLane(x.request.Service, t.lane(x.request.Service).Without(x.request.Class, x.request.Exchange))
			t.refuse(x, chuteresult.DeadlinePassed, "waited past the deadline")
		case x.stage == stageIntent && !t.now().Before(x.request.Deadline):
			t.abandon(x)
		}
	}
}

// abandon answers a request whose intent was not recorded in time. It is not sent; an intent that is recorded after
// all is deleted again.
func (t *turn) abandon(x exchange) {
	t.count("request-refused", chuteresult.DeadlinePassed.String())
	t.emit(chuteevent.AnswerRequest{
		Exchange: x.request.Exchange, Result: chuteresult.New(chuteresult.DeadlinePassed, "its intent was not recorded in time"),
	})
	t.put(x.withStage(stageAbandoned))
}
