package chuteconnection

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// connectionSlack is the number of goroutines for each connection of a limiter, which alone refuses connections. A
// connection that it closes for another one still has a goroutine until that notices.
const connectionSlack = 2

// RequestLimits are what one request of a client may take.
type RequestLimits struct {
	HeaderBytes  int           // of the request line and the header lines together
	BodyBytes    int           // a larger body is refused
	ReadTimeout  time.Duration // from the first byte of a request to its last
	WriteTimeout time.Duration // for the client to take the response
	IdleTimeout  time.Duration // without a further request, until the connection is closed
}

// NewServer returns an HTTP server that handles requests within the limits. Start it with Serve.
func (l *Limiter) NewServer(handler fasthttp.RequestHandler, limits RequestLimits) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, ErrorHandler: l.respondToError, ConnState: l.SetState, Concurrency: connectionSlack * l.Limits().Connections,
		ReadBufferSize: limits.HeaderBytes, MaxRequestBodySize: limits.BodyBytes, DisablePreParseMultipartForm: true,
		ReadTimeout: limits.ReadTimeout, WriteTimeout: limits.WriteTimeout, IdleTimeout: limits.IdleTimeout,
		NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true, Logger: debugLogger{l.name, l.log},
	}
}

// Serve starts a duty that serves the clients of the listener within the limits of the limiter. The clean-up function
// closes the listener and waits up to the limit for requests in progress.
func (l *Limiter) Serve(server *fasthttp.Server, listener net.Listener, start func(name string, duty func(context.Context))) func(limit time.Duration) {
	start(l.name, func(context.Context) {
		if err := server.Serve(l.Listen(listener)); err != nil {
			l.log.Error(l.name+": listener failed", "error", err.Error())
		}
	})
	return func(limit time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		if err := server.ShutdownWithContext(ctx); err != nil {
			l.log.Warn(l.name+": shutdown aborted requests in progress", "error", err.Error())
		}
	}
}

// respondToError responds to a request that could not be read, and counts its client as refused.
func (l *Limiter) respondToError(c *fasthttp.RequestCtx, err error) {
	l.CountError(c, err)
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		c.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case IsTimeout(err):
		c.SetStatusCode(fasthttp.StatusRequestTimeout)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		c.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	default:
		c.SetStatusCode(fasthttp.StatusBadRequest)
	}
}

// debugLogger passes the HTTP library's messages on broken connections to the log at debug level.
type debugLogger struct {
	name string // of the server
	log  *slog.Logger
}

// Printf logs one message.
func (q debugLogger) Printf(format string, arguments ...any) {
	q.log.Debug(q.name+": client connection failed", "detail", errors.Errorf(format, arguments...).Error())
}
