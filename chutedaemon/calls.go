package chutedaemon

import (
	"context"
	"sync"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// pendingCalls passes the answers of the core to the calls that wait for them.
type pendingCalls struct {
	mutex   sync.Mutex
	lastID  chuteaction.CallID
	waiting map[chuteaction.CallID]chan chuteaction.AnswerCall
}

func newPendingCalls() *pendingCalls {
	return &pendingCalls{waiting: make(map[chuteaction.CallID]chan chuteaction.AnswerCall)}
}

func (p *pendingCalls) register() (chuteaction.CallID, chan chuteaction.AnswerCall) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastID++
	answers := make(chan chuteaction.AnswerCall, 1)
	p.waiting[p.lastID] = answers
	return p.lastID, answers
}

func (p *pendingCalls) unregister(id chuteaction.CallID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.waiting, id)
}

func (p *pendingCalls) deliver(a chuteaction.AnswerCall) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	answers, ok := p.waiting[a.ID]
	delete(p.waiting, a.ID)
	if ok {
		answers <- a
	}
	return ok
}

// Call passes a call to the core and waits for its answer until the context ends. It sets the id of the call.
func (d *Daemon) Call(ctx context.Context, call chuteaction.CallArrived) chuteaction.AnswerCall {
	id, answers := d.calls.register()
	defer d.calls.unregister(id)
	call.ID = id
	answer, answered := d.await(ctx, call, answers)
	if !answered {
		d.events.Offer(chuteaction.CallAbandoned{ID: id})
		return chuteaction.AnswerCall{ID: id, Result: chuteresult.New(chuteresult.StoreAnswerLost, "no answer in time")}
	}
	return answer
}

// Explain asks the core where a job would go now, and waits for its answer until the context ends. It sets the id of the request.
func (d *Daemon) Explain(ctx context.Context, request chuteaction.ExplainRequested) chuteaction.AnswerCall {
	id, answers := d.calls.register()
	defer d.calls.unregister(id)
	request.ID = id
	answer, answered := d.await(ctx, request, answers)
	if !answered {
		return chuteaction.AnswerCall{ID: id, Result: chuteresult.New(chuteresult.AnswerLost, "no answer in time")}
	}
	return answer
}

// await passes an event to the core and waits for the answer. It returns false if the context ends before.
func (d *Daemon) await(ctx context.Context, event chuteaction.Event, answers <-chan chuteaction.AnswerCall) (chuteaction.AnswerCall, bool) {
	if !d.events.Offer(event) {
		return chuteaction.AnswerCall{Result: chuteresult.New(chuteresult.Overloaded, "the core's ring is full")}, true
	}
	select {
	case a := <-answers:
		return a, true
	case <-ctx.Done():
		return chuteaction.AnswerCall{}, false
	}
}
