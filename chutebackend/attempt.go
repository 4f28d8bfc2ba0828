package chutebackend

import (
	"crypto/tls"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chutecaller"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteexchange"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
)

// newClient returns a client that sends each request at most once.
func newClient(address string, config *tls.Config) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address, MaxConns: MaxConcurrentRequests, MaxIdleConnDuration: idleTimeout,
		MaxResponseBodySize: MaxResponseBytes, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		DisablePathNormalizing: true, IsTLS: config != nil, TLSConfig: config,
		RetryIfErr: chutecaller.NeverRetry, Dial: chutecaller.Dial,
	}
}

// sendAttempt sends one attempt of a request and returns its outcome.
func (l *Links) sendAttempt(target *link, e chuteevent.Dispatch) chuteevent.AttemptEnded {
	ended := chuteevent.AttemptEnded{Exchange: e.Exchange, Attempt: e.Attempt, Backend: e.Backend}
	message, waiting := l.exchanges.FindMessage(e.Exchange)
	if !waiting {
		ended.Result = chuteresult.New(chuteresult.Cancelled, "the caller has gone")
		return ended
	}
	remaining := time.Until(e.Deadline)
	if remaining <= 0 {
		ended.Result = chuteresult.New(chuteresult.DeadlinePassed, "waited past the deadline")
		return ended
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	fillRequest(request, target.address, message, e)
	sentAt := time.Now()
	err := target.client.DoTimeout(request, response, remaining)
	ended.Elapsed = time.Since(sentAt)
	if err != nil {
		ended.Result = classifyError(err)
		return ended
	}
	return l.readResponse(target, e, response, ended)
}

func fillRequest(request *fasthttp.Request, address string, message chuteexchange.Message, e chuteevent.Dispatch) {
	request.Header.SetMethod(message.Method)
	request.SetRequestURI(message.Path)
	request.Header.SetHost(address)
	if message.ContentType != "" {
		request.Header.SetContentType(message.ContentType)
	}
	request.Header.Set(HeaderRequestID, e.RequestID)
	request.Header.Set(HeaderAttempt, strconv.Itoa(e.Attempt))
	request.SetBodyRaw(message.Body)
}

// classifyError returns the result for an error of an attempt. Only a failure to connect proves that the request did
// not run.
func classifyError(err error) chuteresult.Result {
	switch {
	case errors.Is(err, chutecaller.ErrDial):
		return chuteresult.New(chuteresult.BackendUnreachable, "no connection: %s", err.Error())
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return chuteresult.New(chuteresult.Overloaded, "every connection to the backend server is in use")
	case errors.Is(err, fasthttp.ErrTimeout), isTimeout(err):
		return chuteresult.New(chuteresult.ConnectionSilent, "no progress within the deadline")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return chuteresult.New(chuteresult.AnswerTooLarge, "the answer is over %d bytes", MaxResponseBytes)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return chuteresult.New(chuteresult.AnswerTruncated, "the answer was cut short")
	}
	return chuteresult.New(chuteresult.ConnectionBroken, "%s", err.Error())
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// readResponse checks that the response belongs to the attempt and copies it out of the library's buffers. It closes
// the idle connections if the response belongs to another request.
func (l *Links) readResponse(target *link, e chuteevent.Dispatch, response *fasthttp.Response, ended chuteevent.AttemptEnded) chuteevent.AttemptEnded {
	ended.Leaving = len(response.Header.Peek(HeaderLeaving)) > 0
	if string(response.Header.Peek(HeaderRequestID)) != e.RequestID ||
		string(response.Header.Peek(HeaderAttempt)) != strconv.Itoa(e.Attempt) {
		target.client.CloseIdleConnections()
		ended.Result = chuteresult.New(chuteresult.AnswerCrossed, "the answer belongs to another request")
		return ended
	}
	if len(response.Header.Peek(HeaderNotRun)) > 0 {
		ended.Result = chuteresult.New(chuteresult.BackendRefused, "the backend server did not run it")
		return ended
	}
	ended.Result = chuteresult.Result{Code: chuteresult.Done}
	ended.Answer = chutetable.Answer{
		Status: response.StatusCode(), ContentType: string(response.Header.ContentType()),
		Body: append([]byte(nil), response.Body()...),
	}
	return ended
}

// probe requests the health check on a new connection. If the backend server is alive, probe closes the link's idle
// connections.
func (l *Links) probe(target *link, e chuteevent.ProbeBackend) chuteevent.BackendProbed {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(ProbePath)
	request.Header.SetHost(target.address)
	request.SetConnectionClose()
	probeClient := newClient(target.address, l.tls)
	err := probeClient.DoTimeout(request, response, probeTimeout)
	probed := chuteevent.BackendProbed{Backend: e.Backend, Alive: err == nil && response.StatusCode() == fasthttp.StatusOK}
	probed.Leaving = err == nil && len(response.Header.Peek(HeaderLeaving)) > 0
	if probed.Alive {
		target.client.CloseIdleConnections()
	}
	return probed
}
