package chutecore

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chuterevision"
	"monsoonchute.example/monsoonchute/chuteshard"
)

// maxDeferred is the maximum number of deferred calls; further ones are refused.
const maxDeferred = 256

// deferredCall is a call that the document in force here refuses, but perhaps not the head. It is handled again once the
// document is known to have been the head after the call's arrival.
type deferredCall struct {
	event     chuteevent.Event // CallArrived, or PeerMessageArrived with a forwarded call
	arrivedAt time.Time
}

// origin returns the origin of the call.
func (d deferredCall) origin() chutegang.Origin {
	switch e := d.event.(type) {
	case chuteevent.CallArrived:
		return chutegang.Origin{ID: e.ID}
	case chuteevent.PeerMessageArrived:
		if m, ok := e.Message.(chuteevent.ForwardCall); ok {
			return chutegang.Origin{ID: m.ID, From: e.From}
		}
	}
	return chutegang.Origin{}
}

// callShard lets the shard handle the call of the event, unless the call is deferred.
func (t *transition) callShard(s chuteshard.State, event chuteevent.Event, origin chutegang.Origin, call chutecall.ShardCall) {
	outcome := s.Call(t.shardEnvironment(s.Shard()), origin, call)
	if outcome.Outdated && t.deferCall(event) {
		return
	}
	t.applyShard(outcome)
}

// deferCall defers the call of the event and makes a read of the head due. It returns false if the document has been
// confirmed since the call arrived, so that the refusal holds.
func (t *transition) deferCall(event chuteevent.Event) bool {
	if t.resuming {
		return false
	}
	d := deferredCall{event: event, arrivedAt: t.now}
	if len(t.state.deferred) >= maxDeferred {
		t.refuseDeferred(d, chuteresult.New(chuteresult.Overloaded, "too many calls wait for the document"))
		return true
	}
	t.state.deferred = append(slices.Clone(t.state.deferred), d)
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
	var waiting []deferredCall
	for _, d := range deferred {
		switch {
		case !t.state.revision.ConfirmedAt().Before(d.arrivedAt):
			t.resume(d)
		case t.state.stopping, t.now.Sub(d.arrivedAt) >= chuterevision.FreshnessLimit:
			t.refuseDeferred(d, chuteresult.New(chuteresult.NotReady, "the document cannot be confirmed now"))
		default:
			waiting = append(waiting, d)
		}
	}
	t.state.deferred = waiting
}

// resume handles the event of a deferred call again.
func (t *transition) resume(d deferredCall) {
	t.resuming = true
	defer func() { t.resuming = false }()
	switch e := d.event.(type) {
	case chuteevent.CallArrived:
		t.handleCall(e)
	case chuteevent.PeerMessageArrived:
		t.handlePeerMessage(e)
	}
}

func (t *transition) refuseDeferred(d deferredCall, result chuteresult.Result) {
	reply := chutecall.ResultReply{Result: result}
	origin := d.origin()
	t.emit(chuteevent.Count{Counter: "job-refused", Reason: result.Code.String()})
	if origin.From == "" {
		t.answer(origin.ID, reply)
		return
	}
	t.emit(chuteevent.SendPeerMessage{To: origin.From, Message: chuteevent.ForwardReply{ID: origin.ID, Reply: reply}})
}
