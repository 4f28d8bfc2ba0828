package chuteexchange

import (
	"context"
	"sync"
	"sync/atomic"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteevent"
)

// Message is the HTTP content of a client request, as it is sent to a backend server.
type Message struct {
	Method      string
	Path        string // with the query string
	ContentType string
	Body        []byte
}

// Pending is a request or a call that waits for its answer.
type Pending struct {
	Message Message
	answers chan chuteevent.AnswerRequest // of capacity one
	replies chan chutecall.Reply          // of capacity one
}

// Table holds the waiting requests and calls by their ids. It is safe for concurrent use.
type Table struct {
	lastID    atomic.Uint64
	mutex     sync.Mutex
	exchanges map[chuteevent.ExchangeID]*Pending
	calls     map[chuteevent.CallID]*Pending
}

// New returns an empty table.
func New() *Table {
	return &Table{exchanges: make(map[chuteevent.ExchangeID]*Pending), calls: make(map[chuteevent.CallID]*Pending)}
}

// OpenExchange adds a request, and returns its id, its pending answer and a function that removes it.
func (t *Table) OpenExchange(message Message) (chuteevent.ExchangeID, *Pending, func()) {
	id := chuteevent.ExchangeID(t.lastID.Add(1))
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

// OpenCall adds a call, and returns its id, its pending reply and a function that removes it.
func (t *Table) OpenCall() (chuteevent.CallID, *Pending, func()) {
	id := chuteevent.CallID(t.lastID.Add(1))
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

// FindMessage returns the message of a waiting request, and false if the request no longer waits.
func (t *Table) FindMessage(id chuteevent.ExchangeID) (Message, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	p, ok := t.exchanges[id]
	if !ok {
		return Message{}, false
	}
	return p.Message, true
}

// AnswerRequest delivers the answer to the request that waits for it. It reports false if none waits or an
// earlier answer is still unread.
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

// AnswerCall delivers the reply to the call that waits for it. It reports false if none waits or an earlier reply is
// still unread.
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

// AwaitAnswer waits for the answer to the request, and reports false if the context ends first.
func (p *Pending) AwaitAnswer(ctx context.Context) (chuteevent.AnswerRequest, bool) {
	select {
	case answer := <-p.answers:
		return answer, true
	case <-ctx.Done():
		return chuteevent.AnswerRequest{}, false
	}
}

// AwaitReply waits for the reply to the call, and reports false if the context ends first.
func (p *Pending) AwaitReply(ctx context.Context) (chutecall.Reply, bool) {
	select {
	case reply := <-p.replies:
		return reply, true
	case <-ctx.Done():
		return nil, false
	}
}
