package chuterelay

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chuteconnection"
	"monsoonchute.example/monsoonchute/chuteduty"
)

const (
	// relayPath is the URL path of the WebSocket endpoint for peers.
	relayPath = "/v1/relay"
	// writeTimeout is the longest time to send one frame.
	writeTimeout = 2 * time.Second
	// idleTimeout is the time after which a connection without frames is closed.
	idleTimeout = time.Minute
	// maxConcurrentRelayed is the largest number of requests of peers in flight at once; further ones are refused.
	maxConcurrentRelayed = 64
	// MaxConnections is the largest number of connections of peers. Each of some tens of hosts opens a few.
	MaxConnections = 512
	// maxHeaderBytes is the largest accepted header of a peer's upgrade.
	maxHeaderBytes = 4 << 10
	// headerTimeout is the longest time to receive it.
	headerTimeout = 5 * time.Second
)

// server serves the requests and notices of peers.
type server struct {
	group   *chuteduty.Group
	relay   *Relay
	limiter *chuteconnection.Limiter
	log     *slog.Logger
	slots   chan struct{} // holds one element for each request in flight
}

func serve(group *chuteduty.Group, listener net.Listener, relay *Relay, limiter *chuteconnection.Limiter, log *slog.Logger) func() {
	s := &server{group: group, relay: relay, limiter: limiter, log: log, slots: make(chan struct{}, maxConcurrentRelayed)}
	httpServer := limiter.NewServer(s.upgrade, chuteconnection.RequestLimits{
		HeaderBytes: maxHeaderBytes, BodyBytes: 1, ReadTimeout: headerTimeout, WriteTimeout: writeTimeout, IdleTimeout: headerTimeout,
	})
	limiter.Serve(httpServer, listener, group.Go)
	return func() {
		if err := listener.Close(); err != nil {
			log.Warn("relay: peer listener could not be closed", "error", err.Error())
		}
	}
}

func (s *server) upgrade(c *fasthttp.RequestCtx) {
	if string(c.Path()) != relayPath {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	upgrader := websocket.FastHTTPUpgrader{}
	if err := upgrader.Upgrade(c, s.serveConnection); err != nil {
		s.log.Warn("relay: WebSocket upgrade of a peer connection failed", "peer", c.RemoteAddr().String(), "error", err.Error())
	}
}

// serveConnection serves the requests of a peer concurrently until its connection ends.
func (s *server) serveConnection(connection *websocket.Conn) {
	connection.SetReadLimit(MaxFrameBytes)
	ctx := s.group.Context()
	interrupted := make(chan struct{})
	stopWatching := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		s.interrupt(connection)
	})
	defer func() {
		if !stopWatching() {
			<-interrupted // the library reuses the connection once this function returns
		}
	}()
	writer := &frameWriter{connection: connection}
	answers := conc.NewWaitGroup()
	defer answers.Wait() // handlers may write to the connection until they return
	for {
		if err := connection.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			break
		}
		if ctx.Err() != nil {
			break
		}
		hold := s.limiter.NewHold(chuteconnection.AddressOf(connection.RemoteAddr()))
		body, err := readFrame(ctx, connection, hold)
		if err != nil {
			hold.Release()
			if errors.Is(err, chuteconnection.ErrNoBudget) {
				s.log.Warn("relay: closing the connection of a peer whose frame finds no memory", "peer", connection.RemoteAddr().String())
			}
			break
		}
		f, err := decode(body)
		if err != nil || f.Request == nil && f.Notice == nil {
			hold.Release()
			s.log.Warn("relay: closing the connection of a peer that sent a malformed frame", "peer", connection.RemoteAddr().String())
			break
		}
		if f.Notice != nil {
			s.reply(writer, frame{ID: f.ID, Verdict: s.relay.enqueueNotice(f.Notice, hold)})
			continue
		}
		s.handleRequest(ctx, answers, writer, f, hold)
	}
	_ = connection.Close()
}

// readFrame reads the next frame of a peer under the budget for frames.
func readFrame(ctx context.Context, connection *websocket.Conn, hold *chuteconnection.Hold) ([]byte, error) {
	_, reader, err := connection.NextReader()
	if err != nil {
		return nil, err
	}
	return hold.ReadFrame(ctx, reader, MaxFrameBytes)
}

// interrupt aborts the blocked read of a connection with a read deadline in the past: the HTTP library closes a connection
// only after its handler has returned.
func (s *server) interrupt(connection *websocket.Conn) {
	if err := connection.SetReadDeadline(time.Unix(1, 0)); err != nil {
		s.log.Warn("relay: read deadline of a peer connection could not be set", "error", err.Error())
	}
}

// handleRequest serves one request on a goroutine of its own, or refuses it if maxConcurrentRelayed are in flight.
func (s *server) handleRequest(ctx context.Context, answers *conc.WaitGroup, writer *frameWriter, f frame, hold *chuteconnection.Hold) {
	select {
	case s.slots <- struct{}{}:
	default:
		hold.Release()
		s.reply(writer, frame{ID: f.ID, Verdict: verdictRefused})
		return
	}
	answers.Go(func() {
		defer func() { <-s.slots }()
		defer hold.Release()
		answer, err := s.relay.serveRelayed(ctx, *f.Request)
		s.reply(writer, frame{ID: f.ID, Answer: &answer, Verdict: verdictOf(err)})
	})
}

func (s *server) reply(writer *frameWriter, f frame) {
	if err := writer.write(f); err != nil {
		s.log.Warn("relay: reply to a peer could not be sent", "error", err.Error())
	}
}

// frameWriter writes frames to a connection. It is safe for concurrent use.
type frameWriter struct {
	mutex      sync.Mutex
	connection *websocket.Conn
}

func (w *frameWriter) write(f frame) error {
	body, err := encode(f)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err := w.connection.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return w.connection.WriteMessage(websocket.BinaryMessage, body)
}
