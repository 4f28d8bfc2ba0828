package chuterelay

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// leastSilence is the shortest silence of the direct way after which a peer is asked as well.
	leastSilence = 250 * time.Millisecond
	// silenceFactor is how many times the usual time until an answer counts as silence.
	silenceFactor = 4
	// averageShare is the part of the moving average of that time that one answer makes up, as a divisor.
	averageShare = 8
)

// errSilent tells that a peer has reached the store while the direct way was silent.
var errSilent = errors.New("silent while a peer was answered")

// outcome is the end of a request on one way.
type outcome struct {
	answer Answer
	err    error
	direct bool
}

// twoWays is a request that is sent directly and, if that fails or is silent, through a peer.
type twoWays struct {
	ctx     context.Context
	paths   *Paths
	request Request
	ends    chan outcome
	relayed bool  // a peer was asked
	failed  error // on the way that has ended, if the other has not
}

// newTwoWays sends the request directly.
func newTwoWays(ctx context.Context, p *Paths, request Request) *twoWays {
	t := &twoWays{ctx: ctx, paths: p, request: request, ends: make(chan outcome, 2)}
	p.group.Go("direct", func(context.Context) {
		start := time.Now()
		answer, err := p.direct.Do(ctx, request)
		if err == nil && request.Wait == 0 {
			p.noteTime(time.Since(start))
		}
		t.ends <- outcome{answer: answer, err: err, direct: true}
	})
	return t
}

// answer waits for the first answer, and returns an error if both ways have failed.
func (t *twoWays) answer() (Answer, error) {
	timer := time.NewTimer(t.request.Wait + t.paths.silence())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			t.relay()
		case <-t.ctx.Done():
			return Answer{}, ErrNoAnswer
		case end := <-t.ends:
			if answer, ended, err := t.ended(end); ended {
				return answer, err
			}
		}
	}
}

// relay gives the request to a peer, once.
func (t *twoWays) relay() {
	if t.relayed {
		return
	}
	t.relayed = true
	t.paths.group.Go("relay", func(context.Context) {
		answer, err := t.paths.relay(t.ctx, t.request)
		t.ends <- outcome{answer: answer, err: err}
	})
}

// ended takes the end of one way, and reports whether it decides the request.
func (t *twoWays) ended(end outcome) (Answer, bool, error) {
	switch {
	case end.err == nil && end.direct:
		return end.answer, true, nil
	case end.err == nil: // the store works, only the direct way does not
		cause := t.failed
		if cause == nil {
			cause = errSilent
		}
		t.paths.lose(cause)
		return end.answer, true, nil
	case t.failed != nil && errors.Is(t.failed, ErrRefused) && errors.Is(end.err, ErrRefused):
		return Answer{}, true, ErrRefused
	case t.failed != nil:
		return Answer{}, true, ErrNoAnswer
	}
	t.failed = end.err
	t.relay()
	return Answer{}, false, nil
}

// noteTime enters how long an answer took on the direct way.
func (p *Paths) noteTime(took time.Duration) {
	usual := p.usual.Load()
	p.usual.Store(usual + (int64(took)-usual)/averageShare)
}

// silence returns after which time without an answer a peer is asked as well.
func (p *Paths) silence() time.Duration {
	return max(leastSilence, silenceFactor*time.Duration(p.usual.Load()))
}
