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

	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutewire"
)

const (
	// ringSize is the number of messages to one peer that wait at most.
	ringSize = 1024
	// writeTimeout is how long a frame may take to leave.
	writeTimeout = 2 * time.Second
	// silenceTimeout is how long an incoming link may bring nothing; heartbeats come each second.
	readTimeout = 10 * time.Second
	// dialTimeout is how long a new link may take.
	dialTimeout = time.Second
	// redialInterval is the time between two tries to link to a peer.
	redialInterval = 500 * time.Millisecond
	// linkPath is the path of the peer listener.
	linkPath = "/v1/link"
	// hostHeader names the entry host that dials.
	hostHeader = "Chute-Entry-Host"
)

// link is the outgoing half of the connection to one peer.
type link struct {
	peer     chuteevent.Peer
	messages chutering.Effects
	cancel   context.CancelFunc
}

// Mesh keeps a link to each live peer and serves theirs.
type Mesh struct {
	self       chutetable.HostID
	events     chutering.Events
	log        *slog.Logger
	group      *chuteduty.Group
	tls        *tls.Config // of outgoing links, nil for none
	linksMutex sync.Mutex
	links      map[chutetable.HostID]*link
}

// New serves peers on the listener, and returns a clean-up function that ends all links.
func New(self chutetable.HostID, listener net.Listener, events chutering.Events, log *slog.Logger, options ...Option) (*Mesh, func()) {
	group, stopGroup := chuteduty.New(log)
	m := &Mesh{self: self, events: events, log: log, group: group, links: make(map[chutetable.HostID]*link)}
	for _, option := range options {
		option(m)
	}
	server := &fasthttp.Server{
		Handler: m.serve, ReadTimeout: readTimeout, NoDefaultServerHeader: true, Logger: discardLogger{},
	}
	group.Go("peer-listener", func(context.Context) {
		if err := server.Serve(listener); err != nil {
			log.Error("peer: the listener failed", "error", err)
		}
	})
	return m, func() {
		if err := listener.Close(); err != nil {
			log.Warn("peer: the listener did not close", "error", err)
		}
		stopGroup()
	}
}

// Option changes how a mesh links.
type Option func(*Mesh)

// WithTLS makes outgoing links use the configuration.
func WithTLS(config *tls.Config) Option {
	return func(m *Mesh) { m.tls = config }
}

// quietLogger drops the library's lines on broken connections; the mesh logs its own.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// serve upgrades a peer's connection and reads its frames until it ends.
func (m *Mesh) serve(ctx *fasthttp.RequestCtx) {
	sender := chutetable.HostID(ctx.Request.Header.Peek(hostHeader))
	if string(ctx.Path()) != linkPath || sender == "" {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	upgrader := websocket.FastHTTPUpgrader{}
	err := upgrader.Upgrade(ctx, func(connection *websocket.Conn) { m.receive(sender, connection) })
	if err != nil {
		m.log.Warn("peer: an upgrade failed", "peer", sender, "error", err)
	}
}

// receive hands the peer's messages to the core until the link ends or is silent for too long.
func (m *Mesh) receive(sender chutetable.HostID, connection *websocket.Conn) {
	connection.SetReadLimit(chutewire.MaxFrame)
	ctx := m.group.Context()
	stopCloser := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stopCloser()
	for {
		if err := connection.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return
		}
		_, frame, err := connection.ReadMessage()
		if err != nil {
			break
		}
		message, err := chutewire.DecodeMessage(frame)
		if err != nil {
			m.log.Warn("peer: a frame is malformed; the link is closed", "peer", sender, "error", err)
			break
		}
		if !m.events.Put(ctx, chuteevent.PeerMessageArrived{From: sender, Message: message}) {
			return
		}
	}
	_ = connection.Close()
}

// Send hands the message to the peer's link and reports false if there is none or its ring is full.
func (m *Mesh) Send(effect chuteevent.SendPeer) bool {
	m.linksMutex.Lock()
	l, ok := m.links[effect.To]
	m.linksMutex.Unlock()
	return ok && l.messages.Offer(effect)
}

// Link keeps links to exactly these peers.
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

// open starts the duty of a new link.
func (m *Mesh) openLink(peer chuteevent.Peer) *link {
	ctx, cancel := context.WithCancel(m.group.Context())
	l := &link{peer: peer, messages: chutering.NewEffects("peer-"+string(peer.Host), ringSize), cancel: cancel}
	m.group.Go("peer-link", func(context.Context) { m.runLink(ctx, l) })
	return l
}

// run dials the peer again and again and sends what waits for it.
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
			m.log.Warn("peer: a link broke", "peer", l.peer.Host, "error", err)
			m.events.Put(ctx, chuteevent.PeerLost{Host: l.peer.Host})
		}
	}
}

func sleep(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

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

// transmit sends messages until one fails to leave.
func (m *Mesh) sendMessages(ctx context.Context, l *link, connection *websocket.Conn) error {
	for {
		effect, ok := l.messages.Take(ctx)
		if !ok {
			return ctx.Err()
		}
		send, isSend := effect.(chuteevent.SendPeer)
		if !isSend {
			continue
		}
		frame, err := chutewire.EncodeMessage(send.Message)
		if err != nil {
			m.log.Error("peer: a message cannot be encoded", "error", err)
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
