package chutebackend

import (
	"context"
	"crypto/tls"
	"log/slog"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteexchange"
	"monsoonchute.example/monsoonchute/chutering"
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
