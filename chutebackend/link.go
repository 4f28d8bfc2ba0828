package chutebackend

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chutecaller"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteexchange"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutetable"
)

const (
	// MaxConcurrentRequests is the maximum number of requests in progress at one backend server.
	MaxConcurrentRequests = 16
	// ringSize is the maximum number of requests that wait for a duty of one link.
	ringSize = 64
	// MaxResponseBytes is the largest response body that an entry host passes to a client, in bytes.
	MaxResponseBytes = 16 << 20
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 5 * time.Second
	// probeTimeout is the longest time for a health probe.
	probeTimeout = time.Second
	// linkIdleTimeout is the time without requests after which a link is closed.
	linkIdleTimeout = time.Minute
)

// link holds the connections to one backend server, its ring of requests, and the number of duties that send them.
type link struct {
	address   string
	requests  chutering.Effects
	client    *fasthttp.HostClient
	cancel    context.CancelFunc
	lastUsed  time.Time
	dutyCount int
}

// Links sends requests and probes to backend servers and passes the outcomes to the core as events.
type Links struct {
	events    chutering.Events
	exchanges *chuteexchange.Table
	log       *slog.Logger
	group     *chuteduty.Group
	tls       *tls.Config
	mutex     sync.Mutex
	links     map[string]*link
}

// Option configures Links.
type Option func(*Links)

// WithTLS makes connections to backend servers use TLS with the configuration.
func WithTLS(config *tls.Config) Option {
	return func(l *Links) { l.tls = config }
}

// New returns Links without open connections. The returned clean-up function closes all links.
func New(events chutering.Events, exchanges *chuteexchange.Table, log *slog.Logger, options ...Option) (*Links, func()) {
	group, cleanUp := chuteduty.New(log)
	l := &Links{events: events, exchanges: exchanges, log: log, group: group, links: make(map[string]*link)}
	for _, option := range options {
		option(l)
	}
	return l, cleanUp
}

// Dispatch queues the request for its backend server and reports false if the ring of the link is full.
func (l *Links) Dispatch(effect chuteevent.Dispatch) bool {
	return l.linkTo(effect.Backend, effect.Address).requests.Offer(effect)
}

// Probe queues a health probe for its backend server and reports false if the ring of the link is full.
func (l *Links) Probe(effect chuteevent.ProbeBackend) bool {
	return l.linkTo(effect.Backend, effect.Address).requests.Offer(effect)
}

// linkTo returns the link to the backend server at the address and opens one if there is none. It starts another duty
// for the link if requests wait and the link has fewer than MaxConcurrentRequests duties.
func (l *Links) linkTo(backend, address string) *link {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	current := l.links[backend]
	if current != nil && current.address != address {
		current.cancel()
		current = nil
	}
	if current == nil {
		current = l.openLink(backend, address)
	}
	current.lastUsed = time.Now()
	if current.dutyCount < MaxConcurrentRequests && (current.dutyCount == 0 || current.requests.Stats().Depth > 0) {
		current.dutyCount++
		ctx := current.newContext(l.group.Context())
		l.group.Go("backend-link", func(context.Context) { l.runLink(ctx, current) })
	}
	return current
}

// newContext returns a context for one duty of the link, which ends when the link is closed or the group stops. It
// extends the link's cancel function by the cancellation of that context.
func (l *link) newContext(groupCtx context.Context) context.Context {
	ctx, cancel := context.WithCancel(groupCtx)
	previous := l.cancel
	l.cancel = func() {
		previous()
		cancel()
	}
	return ctx
}

// openLink adds a link to the backend server and closes the links that are idle.
func (l *Links) openLink(backend, address string) *link {
	l.closeIdleLinks()
	created := &link{
		address: address, requests: chutering.NewEffects("backend-"+backend, ringSize), cancel: func() {},
		client: newClient(address, l.tls),
	}
	l.links[backend] = created
	return created
}

// closeIdleLinks closes the links that were not used for linkIdleTimeout and have no waiting requests.
func (l *Links) closeIdleLinks() {
	for id, lk := range l.links {
		if time.Since(lk.lastUsed) > linkIdleTimeout && lk.requests.Stats().Depth == 0 {
			lk.cancel()
			lk.client.CloseIdleConnections()
			delete(l.links, id)
		}
	}
}

// newClient returns a client that sends each request at most once.
func newClient(address string, config *tls.Config) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address, MaxConns: MaxConcurrentRequests, MaxIdleConnDuration: idleTimeout,
		MaxResponseBodySize: MaxResponseBytes, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		DisablePathNormalizing: true, IsTLS: config != nil, TLSConfig: config,
		RetryIfErr: chutecaller.NeverRetry, Dial: chutecaller.Dial,
	}
}

// runLink is one duty of a link: it sends the link's requests one at a time until the context ends.
func (l *Links) runLink(ctx context.Context, target *link) {
	for {
		effect, ok := target.requests.Take(ctx)
		if !ok {
			return
		}
		request, isBackendEffect := effect.(chuteevent.BackendEffect)
		if !isBackendEffect {
			continue
		}
		switch e := request.(type) {
		case chuteevent.Dispatch:
			l.events.Put(l.group.Context(), l.sendAttempt(target, e))
		case chuteevent.ProbeBackend:
			l.events.Put(l.group.Context(), l.probe(target, e))
		}
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
