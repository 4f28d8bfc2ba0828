package chuterelay

import (
	"context"
	"sync"
	"time"
)

// link is a connection to one peer.
type link struct {
	writer  *frameWriter
	mutex   sync.Mutex
	lastID  uint64
	waiting map[uint64]chan frame
}

// roundTrip sends a request or a notice and waits for the reply with the same id.
func (l *link) roundTrip(ctx context.Context, message frame, timeout time.Duration) (Answer, error) {
	id, answers := l.register()
	defer l.unregister(id)
	message.ID = id
	if err := l.writer.write(message); err != nil {
		return Answer{}, ErrNoAnswer
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case f := <-answers:
		if f.Answer == nil {
			f.Answer = &Answer{}
		}
		return *f.Answer, f.Verdict.err()
	case <-timer.C:
		return Answer{}, ErrNoAnswer
	case <-ctx.Done():
		return Answer{}, ErrNoAnswer
	}
}

func (l *link) register() (uint64, chan frame) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastID++
	answers := make(chan frame, 1)
	l.waiting[l.lastID] = answers
	return l.lastID, answers
}

func (l *link) unregister(id uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.waiting, id)
}

// readAnswers passes replies to the waiting callers until the connection ends.
func (l *link) readAnswers(ctx context.Context) {
	stopWatching := context.AfterFunc(ctx, func() { _ = l.writer.connection.Close() })
	defer stopWatching()
	for {
		_, body, err := l.writer.connection.ReadMessage()
		if err != nil {
			break
		}
		f, err := decode(body)
		if err != nil {
			break
		}
		l.mutex.Lock()
		answers, ok := l.waiting[f.ID]
		delete(l.waiting, f.ID)
		l.mutex.Unlock()
		if ok {
			answers <- f
		}
	}
	l.failWaiting()
}

// failWaiting ends all waiting calls with ErrNoAnswer.
func (l *link) failWaiting() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, answers := range l.waiting {
		answers <- frame{ID: id, Verdict: verdictNoAnswer}
		delete(l.waiting, id)
	}
}
