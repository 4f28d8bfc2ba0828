package chuteentry

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// explainRetryDelay is the delay after which a refused request for an explanation may be repeated.
const explainRetryDelay = time.Second

// explain answers where a job would go now and why. Its only effect is the answer.
func (t *transition) explain(e chuteaction.ExplainRequested) {
	if t.state.scheduler == nil {
		t.Emit(chuteaction.AnswerCall{ID: e.ID, Result: t.notLeading()})
		return
	}
	rate, admitted := t.state.explainRate.Admit(t.Now)
	t.state.explainRate = rate
	if !admitted {
		result := chuteresult.New(chuteresult.OverQuota, "the leader answers only a few such requests per second")
		t.Emit(chuteaction.AnswerCall{ID: e.ID, Result: result, RetryAfter: explainRetryDelay})
		return
	}
	explanation, err := t.state.scheduler.Explain(t.Now, t.state.environment(t.Now), e)
	if err != nil {
		t.Emit(chuteaction.AnswerCall{ID: e.ID, Result: chuteresult.FromError(err)})
		return
	}
	explanation.Age.Operators = t.state.operators.Age(t.Now)
	t.Emit(chuteaction.AnswerCall{ID: e.ID, Result: chuteresult.Result{Code: chuteresult.Done}, Body: explanation})
}

// notLeading returns the result of a host that does not lead. It names the leader's host if that is known.
func (t *transition) notLeading() chuteresult.Result {
	row := t.state.leader.Row()
	if row.Host == "" || row.Host == t.state.settings.Host || row.Released {
		return chuteresult.New(chuteresult.NotReady, "this host does not lead, and no leader is known")
	}
	return chuteresult.New(chuteresult.NotReady, "this host does not lead; the leader's host is %s", row.Host)
}
