package chuteexchange

import (
	"context"
	"sync"
	"sync/atomic"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteevent"
)

// Message is a caller's request as it goes to a backend server.
type Message struct {
	Method      string
	Path        string // with its query
	ContentType string
	Body        []byte
}

// Pending is a request or call that waits for its answer.
type Pending struct {
	Message Message
	answers chan chuteevent.AnswerRequest // of one
	replies chan chutecall.Reply          // of one
}

// Table finds what waits by its number.
type Table struct {
	next      atomic.Uint64
	mutex     sync.Mutex
	exchanges map[chuteevent.ExchangeID]*Pending
	calls     map[chuteevent.CallID]*Pending
}

// New returns an empty table.
func New() *Table {
	return &Table{exchanges: make(map[chuteevent.ExchangeID]*Pending), calls: make(map[chuteevent.CallID]*Pending)}
}

// OpenExchange adds a request, and returns its number and a clean-up function that removes it.
func (t *Table) OpenExchange(message Message) (chuteevent.ExchangeID, *Pending, func()) {
	id := chuteevent.ExchangeID(t.next.Add(1))
	p := &Pending{Message: message, answers: make(chan chuteevent.AnswerRequest, 1)}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.exchanges[id] = p
	return id, p, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		delete(t.exchanges, id)
	}
}

// OpenCall adds a call, and returns its number and a clean-up function that removes it.
func (t *Table) OpenCall() (chuteevent.CallID, *Pending, func()) {
	id := chuteevent.CallID(t.next.Add(1))
	p := &Pending{replies: make(chan chutecall.Reply, 1)}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.calls[id] = p
	return id, p, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		delete(t.calls, id)
	}
}

// Find returns the message of a waiting request, and false if nobody waits any more.
func (t *Table) FindMessage(id chuteevent.ExchangeID) (Message, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p, ok := t.exchanges[id]
	if !ok {
		return Message{}, false
	}
	return p.Message, true
}

// AnswerRequest hands the answer to the request that waits for it and reports whether one did.
func (t *Table) AnswerRequest(answer chuteevent.AnswerRequest) bool {
	t.mutex.Lock()
	p, ok := t.exchanges[answer.Exchange]
	t.mutex.Unlock()
	if !ok {
		return false
	}
	select {
	case p.answers <- answer:
		return true
	default:
		return false
	}
}

// AnswerCall hands the reply to the call that waits for it and reports whether one did.
func (t *Table) AnswerCall(answer chuteevent.AnswerCall) bool {
	t.mutex.Lock()
	p, ok := t.calls[answer.ID]
	t.mutex.Unlock()
	if !ok {
		return false
	}
	select {
	case p.replies <- answer.Reply:
		return true
	default:
		return false
	}
}

// Answer waits for the request's answer and reports false if the context ended first.
func (p *Pending) AwaitAnswer(ctx context.Context) (chuteevent.AnswerRequest, bool) {
	select {
	case answer := <-p.answers:
		return answer, true
	case <-ctx.Done():
		return chuteevent.AnswerRequest{}, false
	}
}

// Reply waits for the call's reply and reports false if the context ended first.
func (p *Pending) AwaitReply(ctx context.Context) (chutecall.Reply, bool) {
	select {
	case reply := <-p.replies:
		return reply, true
	case <-ctx.Done():
		return nil, false
	}
}
