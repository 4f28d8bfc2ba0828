package chuterelay

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteconnection"
	"monsoonchute.example/monsoonchute/chuteduty"
)

const (
	// probeInterval is the time between two probes of the store while it cannot be reached directly.
	probeInterval = 500 * time.Millisecond
	// noticeTimeout is the longest time for a peer to confirm a notice.
	noticeTimeout = 300 * time.Millisecond
	// maxNotices is the capacity of the queue of received notices.
	maxNotices = 1024
	// maxPeerAttempts is the largest number of peers that one request is sent to.
	maxPeerAttempts = 2
)

// DirectTransport sends requests to the store without a relay.
type DirectTransport interface {
	// Do sends one request. Its error is ErrRefused if the store has certainly not carried out the request; after any other
	// error the outcome is unknown.
	Do(ctx context.Context, request Request) (Answer, error)
	// Probe sends a request without side effects, and returns an error if the store cannot be reached.
	Probe(ctx context.Context) error
	// Interrupt aborts all requests in flight.
	Interrupt()
}

// Relay sends requests to the store, directly or through a peer, and serves the requests of peers.
type Relay struct {
	direct        DirectTransport
	peers         *peers
	group         *chuteduty.Group
	log           *slog.Logger
	directDown    atomic.Bool  // the store cannot be reached directly
	meanLatency   atomic.Int64 // moving average of the latency of direct requests, in nanoseconds
	probeRequests chan struct{}
	notices       chan heldNotice // received from peers
}

// New starts a relay that serves peers on the listener. It sends its own requests directly, and through a peer while the
// store cannot be reached directly. The clean-up function stops it and closes its connections.
func New(listener net.Listener, direct DirectTransport, limiter *chuteconnection.Limiter, log *slog.Logger) (*Relay, func()) {
	group, endGroup := chuteduty.New(log)
	r := &Relay{direct: direct, peers: newPeers(group, log), group: group, log: log, probeRequests: make(chan struct{}, 1), notices: make(chan heldNotice, maxNotices)}
	endServer := serve(group, listener, r, limiter, log)
	group.Go("probe", r.runProbes)
	return r, func() {
		endServer()
		endGroup()
	}
}

// SetPeers sets the relay addresses of the other entry hosts.
func (r *Relay) SetPeers(addresses []string) {
	r.peers.setAddresses(addresses)
}

// Interrupt aborts all direct requests in flight.
func (r *Relay) Interrupt() {
	r.direct.Interrupt()
}

// SendNotice sends a notice to the peer at the address and waits for its confirmation. The error is ErrNoAnswer if the notice
// may have arrived, and ErrRefused if it has not.
func (r *Relay) SendNotice(ctx context.Context, address string, notice []byte) error {
	return r.peers.sendNotice(ctx, address, notice)
}

// NextNotice waits for the next notice of a peer. It returns false if the context ended first.
func (r *Relay) NextNotice(ctx context.Context) ([]byte, bool) {
	select {
	case notice := <-r.notices:
		notice.hold.Release()
		return notice.body, true
	case <-ctx.Done():
		return nil, false
	}
}

// heldNotice is a notice and the bytes of the budget that it holds while it is queued.
type heldNotice struct {
	body []byte
	hold *chuteconnection.Hold
}

// enqueueNotice queues a peer's notice for NextNotice. It never blocks: it refuses the notice if the queue is full.
func (r *Relay) enqueueNotice(notice []byte, hold *chuteconnection.Hold) verdict {
	select {
	case r.notices <- heldNotice{notice, hold}:
		return verdictAnswered
	default:
		hold.Release()
		return verdictRefused
	}
}

// DirectReachable reports whether requests go to the store directly.
func (r *Relay) DirectReachable() bool {
	return !r.directDown.Load()
}

// Do sends a request directly and, if that fails or takes much longer than usual, also through a peer. While the store
// cannot be reached directly, Do sends the request through a peer, and directly only if that is refused. The store may get a
// request twice, so the conditions in the request must make it take effect at most once. The error is ErrRefused only if the
// store has certainly not carried out the request; after any other error the outcome is unknown.
func (r *Relay) Do(ctx context.Context, request Request) (Answer, error) {
	if r.directDown.Load() {
		answer, err := r.sendThroughPeers(ctx, request)
		if !errors.Is(err, ErrRefused) {
			return answer, err
		}
		return r.direct.Do(ctx, request)
	}
	h := startHedgedRequest(ctx, r, request)
	return h.wait()
}

// markDirectDown switches to peers and starts probing the store.
func (r *Relay) markDirectDown(err error) {
	if r.directDown.Swap(true) {
		return
	}
	r.log.Warn("relay: the store is not reached directly", "error", err.Error())
	select {
	case r.probeRequests <- struct{}{}:
	default:
	}
}

func (r *Relay) runProbes(ctx context.Context) {
	for {
		select {
		case <-r.probeRequests:
		case <-ctx.Done():
			return
		}
		r.probeUntilReachable(ctx)
	}
}

func (r *Relay) probeUntilReachable(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if err := r.direct.Probe(ctx); err == nil {
			r.directDown.Store(false)
			r.log.Info("relay: the store is reached directly again")
			return
		}
	}
}

// sendThroughPeers sends a request to one peer after the other until one does not refuse it.
func (r *Relay) sendThroughPeers(ctx context.Context, request Request) (Answer, error) {
	for range maxPeerAttempts {
		answer, err := r.peers.send(ctx, request)
		if !errors.Is(err, ErrRefused) {
			return answer, err
		}
	}
	return Answer{}, ErrRefused
}

// serveRelayed sends a peer's request to the store. It never relays it to another peer, so that requests cannot loop.
func (r *Relay) serveRelayed(ctx context.Context, request Request) (Answer, error) {
	if r.directDown.Load() {
		return Answer{}, ErrRefused
	}
	return r.direct.Do(ctx, request)
}
