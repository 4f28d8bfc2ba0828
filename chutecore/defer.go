package chutecore

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chuterevision"
	"monsoonchute.example/monsoonchute/chuteshard"
)

// maxDeferred is the maximum number of deferred calls; further ones are refused.
const maxDeferred = 256

// arrivedCall is a call as it arrived at this host. A call that the document in force here refuses, but perhaps not the
// head, is deferred: it is handled again once the document is known to have been the head after the call's arrival.
type arrivedCall struct {
	origin    chuteevent.Origin
	requestID string
	call      chutecall.ShardCall
	arrivedAt time.Time
}

// callShard lets the shard handle the call, which is the arrived one with its shard assigned, unless it is deferred.
func (t *transition) callShard(s chuteshard.State, arrived arrivedCall, call chutecall.ShardCall) {
	outcome := s.Call(t.shardEnvironment(s.Shard()), arrived.origin, call)
	if outcome.Outdated && t.deferCall(arrived) {
		return
	}
	t.applyShard(outcome)
}

// deferCall defers the call and makes a read of the head due. It returns false if the document has been confirmed since
// the call arrived, so that its refusal holds.
func (t *transition) deferCall(arrived arrivedCall) bool {
	if t.resuming {
		return false
	}
	if len(t.state.deferred) >= maxDeferred {
		t.refuseDeferred(arrived, chuteresult.New(chuteresult.Overloaded, "too many calls wait for the document"))
		return true
	}
	t.state.deferred = append(slices.Clone(t.state.deferred), arrived)
	t.state.revision = t.state.revision.WithReadDue()
	return true
}

// resumeDeferred handles the deferred calls again for which the document has been confirmed, and refuses those that have
// waited for FreshnessLimit.
func (t *transition) resumeDeferred() {
	if len(t.state.deferred) == 0 {
		return
	}
	deferred := t.state.deferred
	t.state.deferred = nil
	var waiting []arrivedCall
	for _, a := range deferred {
		switch {
		case !t.state.revision.ConfirmedAt().Before(a.arrivedAt):
			t.resume(a)
		case t.state.stopping, t.now.Sub(a.arrivedAt) >= chuterevision.FreshnessLimit:
			t.refuseDeferred(a, chuteresult.New(chuteresult.NotReady, "the document cannot be confirmed now"))
		default:
			waiting = append(waiting, a)
		}
	}
	t.state.deferred = waiting
}

// resume handles a deferred call again.
func (t *transition) resume(a arrivedCall) {
	t.resuming = true
	if a.origin.From == "" {
		t.handleCall(chuteevent.CallArrived{ID: a.origin.ID, RequestID: a.requestID, Call: a.call})
	} else {
		t.handleForwardedCall(a.origin.From, chuteevent.ForwardCall{ID: a.origin.ID, RequestID: a.requestID, Call: a.call})
	}
	t.resuming = false
}

func (t *transition) refuseDeferred(a arrivedCall, result chuteresult.Result) {
	t.emit(chuteevent.Count{Counter: "job-refused", Reason: result.Code.String()})
	t.emit(a.origin.Answer(chutecall.ResultReply{Result: result}))
}
