package chutedaemon

import (
	"context"
	"sync"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// exchange joins the calls that wait with the answers of the core.
type exchange struct {
	mutex   sync.Mutex
	last    chuteaction.CallID
	waiting map[chuteaction.CallID]chan chuteaction.AnswerCall
}

func newExchange() *exchange {
	return &exchange{waiting: make(map[chuteaction.CallID]chan chuteaction.AnswerCall)}
}

func (x *exchange) open() (chuteaction.CallID, chan chuteaction.AnswerCall) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.last++
	answers := make(chan chuteaction.AnswerCall, 1)
	x.waiting[x.last] = answers
	return x.last, answers
}

func (x *exchange) close(id chuteaction.CallID) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	delete(x.waiting, id)
}

func (x *exchange) answer(a chuteaction.AnswerCall) bool {
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
	id, answers := d.exchange.open()
	defer d.exchange.close(id)
	call.ID = id
	if !d.events.Offer(call) {
		return chuteaction.AnswerCall{ID: id, Result: chuteresult.New(chuteresult.Overloaded, "the core's ring is full")}
	}
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		d.events.Offer(chuteaction.CallAbandoned{ID: id})
		return chuteaction.AnswerCall{ID: id, Result: chuteresult.New(chuteresult.StoreAnswerLost, "no answer in time")}
	}
}
