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

	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteexchange"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutetable"
)

const (
	// Workers is the number of requests that one link has out at once at most.
	Workers = 16
	// ringSize is the number of requests that wait for a free worker at most.
	ringSize = 64
	// MaxAnswer is the largest answer that is passed on, in bytes.
	MaxAnswer = 16 << 20
	// dialTimeout is how long a new connection may take.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 5 * time.Second
	// probeTimeout is how long a probe may take.
	probeTimeout = time.Second
	// unusedLimit is how long a link without requests is kept.
	unusedLimit = time.Minute
)

// link is the connections to one backend server and the duties that use them.
type link struct {
	address  string
	requests chutering.Effects
	client   *fasthttp.HostClient
	stop     context.CancelFunc
	used     time.Time
	duties   int
}

// Links carries requests to backend servers and brings back how the attempts ended.
type Links struct {
	events    chutering.Events
	exchanges *chuteexchange.Table
	log       *slog.Logger
	group     *chuteduty.Group
	tls       *tls.Config
	mutex     sync.Mutex
	links     map[string]*link
}

// Option changes how links are made.
type Option func(*Links)

// WithTLS makes links use the configuration.
func WithTLS(config *tls.Config) Option {
	return func(l *Links) { l.tls = config }
}

// New returns links without connections, and a clean-up function that ends them.
func New(events chutering.Events, exchanges *chuteexchange.Table, log *slog.Logger, options ...Option) (*Links, func()) {
	group, cleanUp := chuteduty.New(log)
	l := &Links{events: events, exchanges: exchanges, log: log, group: group, links: make(map[string]*link)}
	for _, option := range options {
		option(l)
	}
	return l, cleanUp
}

// Dispatch hands the request to the backend server's link and reports false if its ring is full.
func (l *Links) Dispatch(effect chuteevent.Dispatch) bool {
	return l.link(effect.Backend, effect.Address).requests.Offer(effect)
}

// Probe hands the probe to the backend server's link and reports false if its ring is full.
func (l *Links) Probe(effect chuteevent.ProbeBackend) bool {
	return l.link(effect.Backend, effect.Address).requests.Offer(effect)
}

// link returns the link to the backend server, with one more duty while it has fewer than it may.
func (l *Links) link(backend, address string) *link {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := l.links[backend]
	if found != nil && found.address != address {
		found.stop()
		found = nil
	}
	if found == nil {
		found = l.open(backend, address)
	}
	found.used = time.Now()
	if found.duties < Workers && (found.duties == 0 || found.requests.Gauge().Depth > 0) {
		found.duties++
		ctx := found.context(l.group.Context())
		l.group.Go("backend-link", func(context.Context) { l.run(ctx, found) })
	}
	return found
}

// context returns the context of the link's duties, which ends with the link or the group.
func (l *link) context(group context.Context) context.Context {
	ctx, stop := context.WithCancel(group)
	before := l.stop
	l.stop = func() {
		before()
		stop()
	}
	return ctx
}

func (l *Links) open(backend, address string) *link {
	l.closeUnused()
	made := &link{
		address: address, requests: chutering.NewEffects("backend-"+backend, ringSize), stop: func() {},
		client: newClient(address, l.tls),
	}
	l.links[backend] = made
	return made
}

func (l *Links) closeUnused() {
	for id, old := range l.links {
		if time.Since(old.used) > unusedLimit && old.requests.Gauge().Depth == 0 {
			old.stop()
			old.client.CloseIdleConnections()
			delete(l.links, id)
		}
	}
}

// errDial marks an error before any byte of a request could have left.
var errDial = errors.New("dial")

// newClient returns a client that sends each request once.
func newClient(address string, config *tls.Config) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address, MaxConns: Workers, MaxIdleConnDuration: idleTimeout, MaxResponseBodySize: MaxAnswer,
		MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, DisablePathNormalizing: true,
		IsTLS: config != nil, TLSConfig: config,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			connection, err := net.DialTimeout("tcp", addr, dialTimeout)
			if err != nil {
				return nil, errors.Wrap(errDial, err.Error())
			}
			return connection, nil
		},
	}
}

// run sends one request after the other.
func (l *Links) run(ctx context.Context, of *link) {
	for {
		effect, ok := of.requests.Take(ctx)
		if !ok {
			return
		}
		request, isBackend := effect.(chuteevent.BackendEffect)
		if !isBackend {
			continue
		}
		switch e := request.(type) {
		case chuteevent.Dispatch:
			l.events.Put(l.group.Context(), l.exchange(of, e))
		case chuteevent.ProbeBackend:
			l.events.Put(l.group.Context(), l.probe(of, e))
		}
	}
}

// exchange sends one attempt and tells how it ended.
func (l *Links) exchange(of *link, e chuteevent.Dispatch) chuteevent.AttemptEnded {
	ended := chuteevent.AttemptEnded{Exchange: e.Exchange, Attempt: e.Attempt, Backend: e.Backend}
	message, waiting := l.exchanges.FindMessage(e.Exchange)
	if !waiting {
		ended.Result = chuteresult.New(chuteresult.Cancelled, "the caller has gone")
		return ended
	}
	left := time.Until(e.Deadline)
	if left <= 0 {
		ended.Result = chuteresult.New(chuteresult.DeadlinePassed, "waited past the deadline")
		return ended
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	fill(request, of.address, message, e)
	sent := time.Now()
	err := of.client.DoTimeout(request, response, left)
	ended.Elapsed = time.Since(sent)
	if err != nil {
		ended.Result = classify(err)
		return ended
	}
	return l.answered(of, e, response, ended)
}

func fill(request *fasthttp.Request, address string, message chuteexchange.Message, e chuteevent.Dispatch) {
	request.Header.SetMethod(message.Method)
	request.SetRequestURI(message.Path)
	request.Header.SetHost(address)
	if message.ContentType != "" {
		request.Header.SetContentType(message.ContentType)
	}
	request.Header.Set(HeaderRequest, e.RequestID)
	request.Header.Set(HeaderAttempt, strconv.Itoa(e.Attempt))
	request.SetBodyRaw(message.Body)
}

// classify maps a failed exchange to a result. Only a failure to connect proves that nothing ran.
func classify(err error) chuteresult.Result {
	switch {
	case errors.Is(err, errDial):
		return chuteresult.New(chuteresult.BackendUnreachable, "no connection: %s", err.Error())
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return chuteresult.New(chuteresult.Overloaded, "every connection to the backend server is in use")
	case errors.Is(err, fasthttp.ErrTimeout), isTimeout(err):
		return chuteresult.New(chuteresult.ConnectionSilent, "no progress within the deadline")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return chuteresult.New(chuteresult.AnswerTooLarge, "the answer is over %d bytes", MaxAnswer)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return chuteresult.New(chuteresult.AnswerTruncated, "the answer was cut short")
	}
	return chuteresult.New(chuteresult.ConnectionBroken, "%s", err.Error())
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// answered checks that the answer belongs to the attempt and copies it out of the library's buffers.
func (l *Links) answered(of *link, e chuteevent.Dispatch, response *fasthttp.Response, ended chuteevent.AttemptEnded) chuteevent.AttemptEnded {
	ended.Leaving = len(response.Header.Peek(HeaderLeaving)) > 0
	if string(response.Header.Peek(HeaderRequest)) != e.RequestID ||
		string(response.Header.Peek(HeaderAttempt)) != strconv.Itoa(e.Attempt) {
		of.client.CloseIdleConnections()
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

// probe asks for a sign of life on a connection of its own.
func (l *Links) probe(of *link, e chuteevent.ProbeBackend) chuteevent.BackendProbed {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(ProbePath)
	request.Header.SetHost(of.address)
	request.SetConnectionClose()
	fresh := newClient(of.address, l.tls)
	err := fresh.DoTimeout(request, response, probeTimeout)
	probed := chuteevent.BackendProbed{Backend: e.Backend, Alive: err == nil && response.StatusCode() == fasthttp.StatusOK}
	probed.Leaving = err == nil && len(response.Header.Peek(HeaderLeaving)) > 0
	if probed.Alive {
		of.client.CloseIdleConnections()
	}
	return probed
}
