package chuterelay

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteduty"
)

const (
	// dialTimeout is the longest time to open a connection to a peer.
	dialTimeout = 400 * time.Millisecond
	// relayMargin is the time that a relayed request may take beyond its own timeout.
	relayMargin = 100 * time.Millisecond
)

// peers sends requests to other entry hosts. It keeps using one peer while that peer reaches the store.
type peers struct {
	group     *chuteduty.Group
	log       *slog.Logger
	mutex     sync.Mutex
	addresses []string
	current   int // index of the peer that gets the next request
	links     map[string]*link
}

func newPeers(group *chuteduty.Group, log *slog.Logger) *peers {
	return &peers{group: group, log: log, links: make(map[string]*link)}
}

// setAddresses replaces the addresses. The current peer stays the current one if it is among them.
func (p *peers) setAddresses(addresses []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	current, _ := p.currentLocked()
	p.addresses = slices.Clone(addresses)
	p.current = max(0, slices.Index(p.addresses, current))
}

// send sends the request to the current peer. If that fails, the next peer becomes the current one.
func (p *peers) send(ctx context.Context, request Request) (Answer, error) {
	address, ok := p.currentAddress()
	if !ok {
		return Answer{}, ErrRefused
	}
	l, err := p.link(ctx, address)
	if err != nil {
		p.advancePast(address)
		return Answer{}, ErrRefused
	}
	answer, err := l.roundTrip(ctx, frame{Request: &request}, request.Timeout+relayMargin)
	if err != nil {
		p.advancePast(address)
	}
	if errors.Is(err, ErrNoAnswer) {
		p.closeLink(address, l)
	}
	return answer, err
}

// sendNotice sends a notice to the peer at the address. It closes the connection if the peer does not confirm the notice.
func (p *peers) sendNotice(ctx context.Context, address string, notice []byte) error {
	l, err := p.link(ctx, address)
	if err != nil {
		return ErrRefused
	}
	if _, err = l.roundTrip(ctx, frame{Notice: notice}, noticeTimeout); errors.Is(err, ErrNoAnswer) {
		p.closeLink(address, l)
	}
	return err
}

func (p *peers) currentAddress() (string, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.currentLocked()
}

// currentLocked returns the address of the current peer, and false if there is no peer. The caller holds the mutex.
func (p *peers) currentLocked() (string, bool) {
	if len(p.addresses) == 0 {
		return "", false
	}
	return p.addresses[p.current%len(p.addresses)], true
}

// advancePast makes the next peer the current one, unless the peer at the address no longer is.
func (p *peers) advancePast(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if current, ok := p.currentLocked(); ok && current == address {
		p.current++
	}
}

// link returns the connection to the peer at the address, and opens one if there is none.
func (p *peers) link(ctx context.Context, address string) (*link, error) {
	p.mutex.Lock()
	l, ok := p.links[address]
	p.mutex.Unlock()
	if ok {
		return l, nil
	}
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout, NetDialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	connection, response, err := dialer.DialContext(ctx, "ws://"+address+relayPath, nil)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	connection.SetReadLimit(MaxFrameBytes)
	l = &link{writer: &frameWriter{connection: connection}, waiting: make(map[uint64]chan frame)}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if other, ok := p.links[address]; ok {
		_ = connection.Close()
		return other, nil
	}
	p.links[address] = l
	p.log.Debug("relay: connection to a peer opened", "peer", address)
	p.group.Go("relay-link", func(ctx context.Context) {
		l.readAnswers(ctx)
		p.closeLink(address, l)
	})
	return l, nil
}

func (p *peers) closeLink(address string, l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.links[address] == l {
		delete(p.links, address)
	}
	_ = l.writer.connection.Close()
}
