package chuteapproval

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
)

const (
	// maxInFlight is the number of requests that may be without an answer at once: one that the service handles, and one that
	// waits for its turn there. Further ones would only wait longer.
	maxInFlight = 2
	// timeoutFactor is how many times as long as expected the service may take.
	timeoutFactor = 2
	// timeoutMargin is the time that an answer may take beyond that.
	timeoutMargin = time.Second
	// maxTimeout is the longest time for a request.
	maxTimeout = 2 * time.Minute
	// retryDelay is the wait after a request that was not sent, or the first of a series that got no answer.
	retryDelay = 300 * time.Millisecond
	// maxMisses is the number of requests in a row without an answer beyond which time limits and waits grow no further.
	maxMisses = 5
)

// service is what is known of the approval service, which handles the requests of a host one after the other.
type service struct {
	inFlight []chutegraph.StepID // steps whose requests have no answer yet; never modified
	freeAt   time.Time           // when the service has handled all requests, by the times that the configuration states
	misses   int                 // latest requests in a row that got no answer in time
	retryAt  time.Time           // no request is sent before this time
}

// mayRequest reports whether a request may be sent now. While the service gives no answers, one request at a time finds out
// whether it does again: what it was asked before may still be in its queue.
func (s service) mayRequest(now time.Time) bool {
	limit := maxInFlight
	if s.misses > 0 {
		limit = 1
	}
	return len(s.inFlight) < limit && !now.Before(s.retryAt)
}

// awaits reports whether a request for the step has no answer yet.
func (s service) awaits(id chutegraph.StepID) bool {
	return slices.Contains(s.inFlight, id)
}

// withRequest returns the service after a request for a step that names so many workers, and the time limit of the request:
// the service first handles the requests before it.
func (s service) withRequest(id chutegraph.StepID, workers int, figures chutecatalog.Approval, now time.Time) (service, time.Duration) {
	if s.freeAt.Before(now) || len(s.inFlight) == 0 {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(figures.RequestTime(workers))
	s.inFlight = append(slices.Clone(s.inFlight), id)
	timeout := (timeoutFactor*s.freeAt.Sub(now) + timeoutMargin) << s.misses
	return s, min(timeout, maxTimeout)
}

// withResult returns the service after the result of a request.
func (s service) withResult(e chuteaction.StepApproved, now time.Time) service {
	i := slices.Index(s.inFlight, e.Step)
	if i < 0 {
		return s // sent by an earlier leadership of this host
	}
	s.inFlight = slices.Delete(slices.Clone(s.inFlight), i, i+1)
	switch e.Outcome {
	case chuteaction.ApprovalAnswered:
		s.misses = 0
		s.retryAt = time.Time{}
	case chuteaction.ApprovalNotSent:
		s.retryAt = now.Add(retryDelay)
	case chuteaction.ApprovalRefused, chuteaction.ApprovalNoAnswer:
		s.retryAt = now.Add(retryDelay << s.misses)
		s.misses = min(s.misses+1, maxMisses)
	}
	return s
}
