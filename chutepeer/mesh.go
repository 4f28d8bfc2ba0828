package chutepeer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chuteconnection"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutewire"
)

const (
	// ringSize is the maximum number of messages that wait for one peer.
	ringSize = 1024
	// writeTimeout is the longest time for writing one frame.
	writeTimeout = 2 * time.Second
	// readTimeout is the time without a frame after which an incoming link is closed. Peers send a heartbeat every
	// second.
	readTimeout = 10 * time.Second
	// dialTimeout is the longest time for opening a link.
	dialTimeout = time.Second
	// redialInterval is the time between a failed attempt to open a link and the next one.
	redialInterval = 500 * time.Millisecond
	// MaxConnections is the largest number of links that peers may open. Each of some tens of hosts opens one.
	MaxConnections = 512
	// maxHeaderBytes is the largest accepted header of the request that opens a link.
	maxHeaderBytes = 4 << 10
	// linkPath is the HTTP path at which a peer opens a link.
	linkPath = "/v1/link"
	// hostHeader is the HTTP header with the id of the entry host that opens the link.
	hostHeader = "Chute-Entry-Host"
)

// link is an outgoing connection to one peer and the ring of messages for it.
type link struct {
	peer     chuteevent.Peer
	messages chutering.Effects
	cancel   context.CancelFunc
}

// Mesh keeps an outgoing link to each live peer and accepts the links that peers open.
type Mesh struct {
	self       chutetable.HostID
	events     chutering.Events
	limiter    *chuteconnection.Limiter
	log        *slog.Logger
	group      *chuteduty.Group
	tls        *tls.Config // for outgoing links; nil means plain TCP
	linksMutex sync.Mutex
	links      map[chutetable.HostID]*link
}

// New accepts links from peers on the listener, under the limits of the limiter. The returned clean-up function
// closes the listener and all links.
func New(self chutetable.HostID, listener net.Listener, events chutering.Events, limiter *chuteconnection.Limiter, log *slog.Logger, options ...Option) (*Mesh, func()) {
	group, stopGroup := chuteduty.New(log)
	m := &Mesh{self: self, events: events, limiter: limiter, log: log, group: group, links: make(map[chutetable.HostID]*link)}
	for _, option := range options {
		option(m)
	}
	server := limiter.NewServer(m.serve, chuteconnection.RequestLimits{
		HeaderBytes: maxHeaderBytes, BodyBytes: 1, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: readTimeout,
	})
	limiter.Serve(server, listener, group.Go)
	return m, func() {
		if err := listener.Close(); err != nil {
			log.Warn("peer: listener for entry hosts could not be closed", "error", err)
		}
		stopGroup()
	}
}

// Option configures a Mesh.
type Option func(*Mesh)

// WithTLS makes outgoing links use TLS with the configuration.
func WithTLS(config *tls.Config) Option {
	return func(m *Mesh) { m.tls = config }
}

// serve upgrades a peer's HTTP request to a WebSocket and receives its messages.
func (m *Mesh) serve(ctx *fasthttp.RequestCtx) {
	sender := chutetable.HostID(ctx.Request.Header.Peek(hostHeader))
	if string(ctx.Path()) != linkPath || sender == "" {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	upgrader := websocket.FastHTTPUpgrader{}
	err := upgrader.Upgrade(ctx, func(connection *websocket.Conn) { m.receive(sender, connection) })
	if err != nil {
		m.log.Warn("peer: upgrade to a WebSocket failed", "peer", sender, "error", err)
	}
}

// receive passes the peer's messages to the core until the link is closed or has brought no frame for readTimeout.
func (m *Mesh) receive(sender chutetable.HostID, connection *websocket.Conn) {
	connection.SetReadLimit(chutewire.MaxMessageBytes)
	ctx := m.group.Context()
	stopCloser := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stopCloser()
	for {
		if err := connection.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return
		}
		if !m.receiveFrame(ctx, sender, connection) {
			break
		}
	}
	_ = connection.Close()
}

// receiveFrame passes the next message of the peer to the core, and reports whether the link may go on. Its frame is held
// in the budget until the core's ring has taken the message.
func (m *Mesh) receiveFrame(ctx context.Context, sender chutetable.HostID, connection *websocket.Conn) bool {
	hold := m.limiter.NewHold(chuteconnection.AddressOf(connection.RemoteAddr()))
	defer hold.Release()
	_, reader, err := connection.NextReader()
	if err != nil {
		return false
	}
	frame, err := hold.ReadFrame(ctx, reader, chutewire.MaxMessageBytes)
	if errors.Is(err, chuteconnection.ErrNoBudget) {
		m.log.Warn("peer: no memory for a frame; closing the link", "peer", sender)
	}
	if err != nil {
		return false
	}
	message, err := chutewire.DecodeMessage(frame)
	if err != nil {
		m.log.Warn("peer: malformed frame received; closing the link", "peer", sender, "error", err)
		return false
	}
	return m.events.Put(ctx, chuteevent.PeerMessageArrived{From: sender, Message: message})
}

// Send queues the message for the peer and reports whether it did. It fails if there is no link to the peer or the
// link's ring is full.
func (m *Mesh) Send(effect chuteevent.SendPeerMessage) bool {
	m.linksMutex.Lock()
	l, ok := m.links[effect.To]
	m.linksMutex.Unlock()
	return ok && l.messages.Offer(effect)
}

// SetPeers opens and closes outgoing links so that there is one to each of the peers and to no other host.
func (m *Mesh) SetPeers(peers []chuteevent.Peer) {
	m.linksMutex.Lock()
	defer m.linksMutex.Unlock()
	wanted := make(map[chutetable.HostID]chuteevent.Peer, len(peers))
	for _, p := range peers {
		wanted[p.Host] = p
	}
	for id, l := range m.links {
		if wanted[id] != l.peer {
			l.cancel()
			delete(m.links, id)
		}
	}
	for id, p := range wanted {
		if m.links[id] == nil {
			m.links[id] = m.openLink(p)
		}
	}
}

// openLink starts the duty that opens a link to the peer and sends its messages.
func (m *Mesh) openLink(peer chuteevent.Peer) *link {
	ctx, cancel := context.WithCancel(m.group.Context())
	l := &link{peer: peer, messages: chutering.NewEffects("peer-"+string(peer.Host), ringSize), cancel: cancel}
	m.group.Go("peer-link", func(context.Context) { m.runLink(ctx, l) })
	return l
}

// runLink opens the link, sends the queued messages and reopens the link when it breaks, until the context ends.
func (m *Mesh) runLink(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		connection, err := m.dial(ctx, l.peer.Address)
		if err != nil {
			sleep(ctx, redialInterval)
			continue
		}
		err = m.sendMessages(ctx, l, connection)
		_ = connection.Close()
		if ctx.Err() == nil {
			m.log.Warn("peer: link to an entry host broke", "peer", l.peer.Host, "error", err)
			m.events.Put(ctx, chuteevent.PeerDisconnected{Host: l.peer.Host})
		}
	}
}

// sleep waits for the interval or the end of the context.
func sleep(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// dial opens a WebSocket to the peer listener at the address.
func (m *Mesh) dial(ctx context.Context, address string) (*websocket.Conn, error) {
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout, NetDialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, TLSClientConfig: m.tls}
	scheme := "ws://"
	if m.tls != nil {
		scheme = "wss://"
	}
	header := map[string][]string{hostHeader: {string(m.self)}}
	connection, response, err := dialer.DialContext(ctx, scheme+address+linkPath, header)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	return connection, errors.WithStack(err)
}

// sendMessages sends the link's queued messages until a write fails or the context ends, and returns the error.
func (m *Mesh) sendMessages(ctx context.Context, l *link, connection *websocket.Conn) error {
	for {
		effect, ok := l.messages.Take(ctx)
		if !ok {
			return ctx.Err()
		}
		send, isSend := effect.(chuteevent.SendPeerMessage)
		if !isSend {
			continue
		}
		frame, err := chutewire.EncodeMessage(send.Message)
		if err != nil {
			m.log.Error("peer: message to an entry host could not be encoded", "error", err)
			continue
		}
		if err := connection.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return errors.WithStack(err)
		}
		if err := connection.WriteMessage(websocket.BinaryMessage, frame); err != nil {
			return errors.WithStack(err)
		}
	}
}
