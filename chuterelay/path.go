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
	maxPeersAsked = 2
)

// Direct sends requests to the store itself. Its errors are ErrRefused, or any other for a request without an answer.
type Direct interface {
	// Do sends one request.
	Do(ctx context.Context, request Request) (Answer, error)
	// Probe sends a request that changes nothing.
	Probe(ctx context.Context) error
	// Interrupt ends all requests on the way, without their answers.
	Interrupt()
}

// Paths sends requests to the store on the way that works.
type Paths struct {
	direct Direct
	peers  *peers
	group  *chuteduty.Group
	log    *slog.Logger
	lost   atomic.Bool  // the direct way does not work
	usual  atomic.Int64 // nanoseconds until an answer on the direct way, as a moving average
	wake   chan struct{}
	told   chan []byte // notices of peers
}

// New serves the peers at the listener and sends requests to the store directly, or through a peer while the direct way
// does not work. The clean-up function ends all connections.
func New(listener net.Listener, direct Direct, log *slog.Logger) (*Paths, func()) {
	group, endGroup := chuteduty.New(log)
	p := &Paths{direct: direct, peers: newPeers(group, log), group: group, log: log, wake: make(chan struct{}, 1), told: make(chan []byte, maxNotices)}
	endServer := serve(group, listener, p, log)
	group.Go("probe", p.runProbes)
	return p, func() {
		endServer()
		endGroup()
	}
}

// SetPeers sets the addresses of the other entry hosts.
func (p *Paths) SetPeers(addresses []string) {
	p.peers.set(addresses)
}

// Interrupt ends all direct requests on the way, without their answers.
func (p *Paths) Interrupt() {
	p.direct.Interrupt()
}

// Tell gives a notice to the peer at the address. The error is ErrNoAnswer if it may have arrived, and ErrRefused if it has
// not.
func (p *Paths) SendNotice(ctx context.Context, address string, notice []byte) error {
	return p.peers.tell(ctx, address, notice)
}

// Told waits for the next notice of a peer, and reports false if the context ended first.
func (p *Paths) NextNotice(ctx context.Context) ([]byte, bool) {
	select {
	case notice := <-p.told:
		return notice, true
	case <-ctx.Done():
		return nil, false
	}
}

// keepNotice stores a peer's notice until it is taken; it never waits.
func (p *Paths) keepNotice(notice []byte) verdict {
	select {
	case p.told <- notice:
		return verdictAnswered
	default:
		return verdictRefused
	}
}

// Direct reports whether the store is reached without a peer.
func (p *Paths) Direct() bool {
	return !p.lost.Load()
}

// Do sends a request. If one way fails, or is silent for much longer than usual, the other is tried: requests must take
// effect at most once by their own conditions. The error is ErrRefused only if no way can have reached the store.
func (p *Paths) Do(ctx context.Context, request Request) (Answer, error) {
	if p.lost.Load() {
		answer, err := p.relay(ctx, request)
		if !errors.Is(err, ErrRefused) {
			return answer, err
		}
		return p.direct.Do(ctx, request)
	}
	t := newTwoWays(ctx, p, request)
	return t.answer()
}

// lose notes that the direct way does not work, and has it probed.
func (p *Paths) lose(err error) {
	if p.lost.Swap(true) {
		return
	}
	p.log.Warn("relay: the store is not reached directly", "error", err.Error())
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *Paths) runProbes(ctx context.Context) {
	for {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return
		}
		p.probeUntilFound(ctx)
	}
}

func (p *Paths) probeUntilFound(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if err := p.direct.Probe(ctx); err == nil {
			p.lost.Store(false)
			p.log.Info("relay: the store is reached directly again")
			return
		}
	}
}

// relay gives a request to peers in turn until one has reached the store.
func (p *Paths) relay(ctx context.Context, request Request) (Answer, error) {
	for range maxPeersAsked {
		answer, err := p.peers.ask(ctx, request)
		if !errors.Is(err, ErrRefused) {
			return answer, err
		}
	}
	return Answer{}, ErrRefused
}

// relayed carries out a peer's request. It is never given to a further peer.
func (p *Paths) relayed(ctx context.Context, request Request) (Answer, error) {
	if p.lost.Load() {
		return Answer{}, ErrRefused
	}
	return p.direct.Do(ctx, request)
}
