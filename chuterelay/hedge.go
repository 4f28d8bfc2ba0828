package chuterelay

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// minHedgeDelay is the shortest time without a direct answer after which a request also goes through a peer.
	minHedgeDelay = 250 * time.Millisecond
	// hedgeDelayFactor is the hedge delay as a multiple of the mean latency of direct requests.
	hedgeDelayFactor = 4
	// latencyWeightDivisor is the reciprocal of the weight of one answer in the moving average of the latency.
	latencyWeightDivisor = 8
)

// errDirectSilent reports that a peer has reached the store before a direct request got an answer.
var errDirectSilent = errors.New("no direct answer while a peer reached the store")

// result is the result of a request over one transport.
type result struct {
	answer Answer
	err    error
	direct bool
}

// hedgedRequest is a request that is sent directly and, if that fails or gets no answer in time, also through a peer.
type hedgedRequest struct {
	ctx        context.Context
	relay      *Relay
	request    Request
	results    chan result
	peerAsked  bool  // the request was also given to a peer
	firstError error // error of the transport that failed first; nil before
}

// startHedgedRequest sends the request directly and returns without waiting for the answer.
func startHedgedRequest(ctx context.Context, r *Relay, request Request) *hedgedRequest {
	h := &hedgedRequest{ctx: ctx, relay: r, request: request, results: make(chan result, 2)}
	r.group.Go("direct", func(context.Context) {
		start := time.Now()
		answer, err := r.direct.Do(ctx, request)
		if err == nil && request.Wait == 0 {
			r.recordLatency(time.Since(start))
		}
		h.results <- result{answer: answer, err: err, direct: true}
	})
	return h
}

// wait returns the first answer, or an error if both transports have failed or the request has timed out.
func (h *hedgedRequest) wait() (Answer, error) {
	hedge := time.NewTimer(h.request.Wait + h.relay.hedgeDelay())
	defer hedge.Stop()
	timeout := time.NewTimer(h.request.Timeout + relayMargin)
	defer timeout.Stop()
	for {
		select {
		case <-hedge.C:
			h.askPeer()
		case <-timeout.C:
			return Answer{}, ErrNoAnswer
		case <-h.ctx.Done():
			return Answer{}, ErrNoAnswer
		case res := <-h.results:
			if answer, decided, err := h.handleResult(res); decided {
				return answer, err
			}
		}
	}
}

// askPeer sends the request through a peer unless that was done before.
func (h *hedgedRequest) askPeer() {
	if h.peerAsked {
		return
	}
	h.peerAsked = true
	h.relay.group.Go("relay", func(context.Context) {
		answer, err := h.relay.sendThroughPeers(h.ctx, h.request)
		h.results <- result{answer: answer, err: err}
	})
}

// handleResult handles the result of one transport and reports whether the request is decided.
func (h *hedgedRequest) handleResult(res result) (Answer, bool, error) {
	switch {
	case res.err == nil && res.direct:
		return res.answer, true, nil
	case res.err == nil: // the store works, but cannot be reached directly
		cause := h.firstError
		if cause == nil {
			cause = errDirectSilent
		}
		h.relay.markDirectDown(cause)
		return res.answer, true, nil
	case h.firstError != nil && errors.Is(h.firstError, ErrRefused) && errors.Is(res.err, ErrRefused):
		return Answer{}, true, ErrRefused
	case h.firstError != nil:
		return Answer{}, true, ErrNoAnswer
	}
	h.firstError = res.err
	h.askPeer()
	return Answer{}, false, nil
}

// recordLatency adds the latency of a direct request to the moving average.
func (r *Relay) recordLatency(latency time.Duration) {
	mean := r.meanLatency.Load()
	r.meanLatency.Store(mean + (int64(latency)-mean)/latencyWeightDivisor)
}

// hedgeDelay returns the time without a direct answer after which a request also goes through a peer.
func (r *Relay) hedgeDelay() time.Duration {
	return max(minHedgeDelay, hedgeDelayFactor*time.Duration(r.meanLatency.Load()))
}
