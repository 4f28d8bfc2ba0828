package chuterelay

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// leastSilence is the shortest silence of the direct way after which a peer is asked as well.
	minHedgeDelay = 250 * time.Millisecond
	// silenceFactor is how many times the usual time until an answer counts as silence.
	hedgeDelayFactor = 4
	// averageShare is the part of the moving average of that time that one answer makes up, as a divisor.
	latencyWeightDivisor = 8
)

// errSilent tells that a peer has reached the store while the direct way was silent.
var errDirectSilent = errors.New("silent while a peer was answered")

// outcome is the end of a request on one way.
type result struct {
	answer Answer
	err    error
	direct bool
}

// twoWays is a request that is sent directly and, if that fails or is silent, through a peer.
type hedgedRequest struct {
	ctx        context.Context
	owner      *Relay
	request    Request
	results    chan result
	peerAsked  bool  // a peer was asked
	firstError error // on the way that has ended, if the other has not
}

// newTwoWays sends the request directly.
func startHedgedRequest(ctx context.Context, r *Relay, request Request) *hedgedRequest {
	t := &hedgedRequest{ctx: ctx, owner: r, request: request, results: make(chan result, 2)}
	r.group.Go("direct", func(context.Context) {
		start := time.Now()
		answer, err := r.direct.Do(ctx, request)
		if err == nil && request.Wait == 0 {
			r.recordLatency(time.Since(start))
		}
		t.results <- result{answer: answer, err: err, direct: true}
	})
	return t
}

// answer waits for the first answer, and returns an error if both ways have failed.
func (t *hedgedRequest) wait() (Answer, error) {
	timer := time.NewTimer(t.request.Wait + t.owner.hedgeDelay())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			t.askPeer()
		case <-t.ctx.Done():
			return Answer{}, ErrNoAnswer
		case res := <-t.results:
			if answer, decided, err := t.handleResult(res); decided {
				return answer, err
			}
		}
	}
}

// relay gives the request to a peer, once.
func (t *hedgedRequest) askPeer() {
	if t.peerAsked {
		return
	}
	t.peerAsked = true
	t.owner.group.Go("relay", func(context.Context) {
		answer, err := t.owner.sendThroughPeers(t.ctx, t.request)
		t.results <- result{answer: answer, err: err}
	})
}

// ended takes the end of one way, and reports whether it decides the request.
func (t *hedgedRequest) handleResult(res result) (Answer, bool, error) {
	switch {
	case res.err == nil && res.direct:
		return res.answer, true, nil
	case res.err == nil: // the store works, only the direct way does not
		cause := t.firstError
		if cause == nil {
			cause = errDirectSilent
		}
		t.owner.markDirectDown(cause)
		return res.answer, true, nil
	case t.firstError != nil && errors.Is(t.firstError, ErrRefused) && errors.Is(res.err, ErrRefused):
		return Answer{}, true, ErrRefused
	case t.firstError != nil:
		return Answer{}, true, ErrNoAnswer
	}
	t.firstError = res.err
	t.askPeer()
	return Answer{}, false, nil
}

// noteTime enters how long an answer took on the direct way.
func (p *Relay) recordLatency(latency time.Duration) {
	mean := p.meanLatency.Load()
	p.meanLatency.Store(mean + (int64(latency)-mean)/latencyWeightDivisor)
}

// silence returns after which time without an answer a peer is asked as well.
func (p *Relay) hedgeDelay() time.Duration {
	return max(minHedgeDelay, hedgeDelayFactor*time.Duration(p.meanLatency.Load()))
}
