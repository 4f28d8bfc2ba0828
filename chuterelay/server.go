package chuterelay

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chuteduty"
)

const (
	// relayPath is the path of the peers' listener.
	relayPath = "/v1/relay"
	// writeTimeout bounds the sending of one frame.
	writeTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection between hosts is kept.
	idleTimeout = time.Minute
	// maxRelayed is the number of requests that a host carries out for its peers at once.
	maxConcurrentRelayed = 64
)

// quietLogger drops the library's lines on broken connections.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// server carries out the requests of peers.
type server struct {
	group *chuteduty.Group
	relay *Relay
	log   *slog.Logger
	slots chan struct{}
}

func serve(group *chuteduty.Group, listener net.Listener, relay *Relay, log *slog.Logger) func() {
	s := &server{group: group, relay: relay, log: log, slots: make(chan struct{}, maxConcurrentRelayed)}
	listenerServer := &fasthttp.Server{Handler: s.upgrade, NoDefaultServerHeader: true, Logger: discardLogger{}}
	group.Go("relay-listener", func(context.Context) {
		if err := listenerServer.Serve(listener); err != nil {
			log.Error("relay: the listener failed", "error", err.Error())
		}
	})
	return func() {
		if err := listener.Close(); err != nil {
			log.Warn("relay: the listener did not close", "error", err.Error())
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
		s.log.Warn("relay: an upgrade failed", "peer", c.RemoteAddr().String(), "error", err.Error())
	}
}

// receive carries out a peer's requests, several at once, until its connection ends.
func (s *server) serveConnection(connection *websocket.Conn) {
	connection.SetReadLimit(maxFrameBytes)
	ctx := s.group.Context()
	interrupted := make(chan struct{})
	stopWatching := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		s.interrupt(connection)
	})
	defer func() {
		if !stopWatching() {
			<-interrupted // the library takes the connection back when this function returns
		}
	}()
	writer := &frameWriter{connection: connection}
	answers := conc.NewWaitGroup()
	defer answers.Wait() // the connection must not be given back while answers may be written to it
	for {
		if err := connection.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			break
		}
		if ctx.Err() != nil {
			break
		}
		_, body, err := connection.ReadMessage()
		if err != nil {
			break
		}
		f, err := decode(body)
		if err != nil || f.Request == nil && f.Notice == nil {
			s.log.Warn("relay: a frame is malformed, the connection is closed", "peer", connection.RemoteAddr().String())
			break
		}
		if f.Notice != nil {
			s.reply(writer, frame{ID: f.ID, Verdict: s.relay.enqueueNotice(f.Notice)})
			continue
		}
		s.handleRequest(ctx, answers, writer, f)
	}
	_ = connection.Close()
}

// interrupt ends the reading from a connection: the HTTP library closes it only when its handler returns.
func (s *server) interrupt(connection *websocket.Conn) {
	if err := connection.SetReadDeadline(time.Unix(1, 0)); err != nil {
		s.log.Warn("relay: a connection could not be interrupted", "error", err.Error())
	}
}

// answer carries out one request on a duty of its own, or refuses it if too many are on the way.
func (s *server) handleRequest(ctx context.Context, answers *conc.WaitGroup, writer *frameWriter, f frame) {
	select {
	case s.slots <- struct{}{}:
	default:
		s.reply(writer, frame{ID: f.ID, Verdict: verdictRefused})
		return
	}
	answers.Go(func() {
		defer func() { <-s.slots }()
		answer, err := s.relay.serveRelayed(ctx, *f.Request)
		s.reply(writer, frame{ID: f.ID, Answer: &answer, Verdict: verdictOf(err)})
	})
}

func (s *server) reply(writer *frameWriter, f frame) {
	if err := writer.write(f); err != nil {
		s.log.Warn("relay: an answer could not be sent", "error", err.Error())
	}
}

// frameWriter lets several duties write to one connection.
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
