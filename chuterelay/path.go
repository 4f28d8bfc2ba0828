package chuterelay

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteduty"
)

const (
	// probeInterval is the time between two looks whether the store is reached directly again.
	probeInterval = 500 * time.Millisecond
	// noticeTimeout is how long a peer may take to confirm a notice.
	noticeTimeout = 300 * time.Millisecond
	// maxNotices is the number of notices of peers that may wait to be taken.
	maxNotices = 1024
	// maxPeersAsked is the number of peers that one request is given to at most.
	maxPeerAttempts = 2
)

// Direct sends requests to the store itself. Its errors are ErrRefused, or any other for a request without an answer.
type DirectTransport interface {
	// Do sends one request.
	Do(ctx context.Context, request Request) (Answer, error)
	// Probe sends a request that changes nothing.
	Probe(ctx context.Context) error
	// Interrupt ends all requests on the way, without their answers.
	Interrupt()
}

// Paths sends requests to the store on the way that works.
type Relay struct {
	direct        DirectTransport
	peers         *peers
	group         *chuteduty.Group
	log           *slog.Logger
	directDown    atomic.Bool  // the direct way does not work
	meanLatency   atomic.Int64 // nanoseconds until an answer on the direct way, as a moving average
	probeRequests chan struct{}
	notices       chan []byte // notices of peers
}

// New serves the peers at the listener and sends requests to the store directly, or through a peer while the direct way
// does not work. The clean-up function ends all connections.
func New(listener net.Listener, direct DirectTransport, log *slog.Logger) (*Relay, func()) {
	group, endGroup := chuteduty.New(log)
	r := &Relay{direct: direct, peers: newPeers(group, log), group: group, log: log, probeRequests: make(chan struct{}, 1), notices: make(chan []byte, maxNotices)}
	endServer := serve(group, listener, r, log)
	group.Go("probe", r.runProbes)
	return r, func() {
		endServer()
		endGroup()
	}
}

// SetPeers sets the addresses of the other entry hosts.
func (p *Relay) SetPeers(addresses []string) {
	p.peers.setAddresses(addresses)
}

// Interrupt ends all direct requests on the way, without their answers.
func (p *Relay) Interrupt() {
	p.direct.Interrupt()
}

// Tell gives a notice to the peer at the address. The error is ErrNoAnswer if it may have arrived, and ErrRefused if it has
// not.
func (p *Relay) SendNotice(ctx context.Context, address string, notice []byte) error {
	return p.peers.sendNotice(ctx, address, notice)
}

// Told waits for the next notice of a peer, and reports false if the context ended first.
func (p *Relay) NextNotice(ctx context.Context) ([]byte, bool) {
	select {
	case notice := <-p.notices:
		return notice, true
	case <-ctx.Done():
		return nil, false
	}
}

// keepNotice stores a peer's notice until it is taken; it never waits.
func (p *Relay) enqueueNotice(notice []byte) verdict {
	select {
	case p.notices <- notice:
		return verdictAnswered
	default:
		return verdictRefused
	}
}

// Direct reports whether the store is reached without a peer.
func (p *Relay) DirectReachable() bool {
	return !p.directDown.Load()
}

// Do sends a request. If one way fails, or is silent for much longer than usual, the other is tried: requests must take
// effect at most once by their own conditions. The error is ErrRefused only if no way can have reached the store.
func (p *Relay) Do(ctx context.Context, request Request) (Answer, error) {
	if p.directDown.Load() {
		answer, err := p.sendThroughPeers(ctx, request)
		if !errors.Is(err, ErrRefused) {
			return answer, err
		}
		return p.direct.Do(ctx, request)
	}
	t := startHedgedRequest(ctx, p, request)
	return t.wait()
}

// lose notes that the direct way does not work, and has it probed.
func (p *Relay) markDirectDown(err error) {
	if p.directDown.Swap(true) {
		return
	}
	p.log.Warn("relay: the store is not reached directly", "error", err.Error())
	select {
	case p.probeRequests <- struct{}{}:
	default:
	}
}

func (p *Relay) runProbes(ctx context.Context) {
	for {
		select {
		case <-p.probeRequests:
		case <-ctx.Done():
			return
		}
		p.probeUntilReachable(ctx)
	}
}

func (p *Relay) probeUntilReachable(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if err := p.direct.Probe(ctx); err == nil {
			p.directDown.Store(false)
			p.log.Info("relay: the store is reached directly again")
			return
		}
	}
}

// relay gives a request to peers in turn until one has reached the store.
func (p *Relay) sendThroughPeers(ctx context.Context, request Request) (Answer, error) {
	for range maxPeerAttempts {
		answer, err := p.peers.send(ctx, request)
		if !errors.Is(err, ErrRefused) {
			return answer, err
		}
	}
	return Answer{}, ErrRefused
}

// relayed carries out a peer's request. It is never given to a further peer.
func (p *Relay) serveRelayed(ctx context.Context, request Request) (Answer, error) {
	if p.directDown.Load() {
		return Answer{}, ErrRefused
	}
	return p.direct.Do(ctx, request)
}
