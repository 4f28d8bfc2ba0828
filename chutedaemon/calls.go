package chutedaemon

import (
	"context"
	"sync"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// exchange joins the calls that wait with the answers of the core.
type pendingCalls struct {
	mutex   sync.Mutex
	lastID  chuteaction.CallID
	waiting map[chuteaction.CallID]chan chuteaction.AnswerCall
}

func newPendingCalls() *pendingCalls {
	return &pendingCalls{waiting: make(map[chuteaction.CallID]chan chuteaction.AnswerCall)}
}

func (x *pendingCalls) register() (chuteaction.CallID, chan chuteaction.AnswerCall) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.lastID++
	answers := make(chan chuteaction.AnswerCall, 1)
	x.waiting[x.lastID] = answers
	return x.lastID, answers
}

func (x *pendingCalls) unregister(id chuteaction.CallID) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	delete(x.waiting, id)
}

func (x *pendingCalls) deliver(a chuteaction.AnswerCall) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	answers, ok := x.waiting[a.ID]
	delete(x.waiting, a.ID)
	if ok {
		answers <- a
	}
	return ok
}

// Call hands a call to the core and waits for its answer until the context ends. The call's id is set here.
func (d *Daemon) Call(ctx context.Context, call chuteaction.CallArrived) chuteaction.AnswerCall {
	id, answers := d.calls.register()
	defer d.calls.unregister(id)
	call.ID = id
	if !d.events.Offer(call) {
		return chuteaction.AnswerCall{ID: id, Result: chuteresult.New(chuteresult.Overloaded, "the core's ring is full")}
	}
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		d.events.Offer(chuteaction.CallLeft{ID: id})
		return chuteaction.AnswerCall{ID: id, Result: chuteresult.New(chuteresult.StoreAnswerLost, "no answer in time")}
	}
}
