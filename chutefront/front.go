package chutefront

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chuteconnection"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chuteexchange"
	"monsoonchute.example/monsoonchute/chuteform"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutering"
)

const (
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes = 16 << 20
	// MaxHeaderBytes is the largest request header, in bytes.
	MaxHeaderBytes = 16 << 10
	// ReadTimeout is the longest time for receiving a complete request.
	ReadTimeout = 30 * time.Second
	// WriteTimeout is the longest time for a client to take a response.
	WriteTimeout = 30 * time.Second
	// MaxConnections is the largest number of clients' connections on a host with enough memory and descriptors.
	MaxConnections = 8192
	// connectionSlack is the number of goroutines for each connection of the limiter, which alone refuses connections. A
	// connection that it closes for another one still has a goroutine until that notices.
	connectionSlack = 2
	// budgetRetry is the time after which a client should repeat a request that was refused for want of memory.
	budgetRetry = time.Second
	// jobRetry is the time after which a client should repeat a job that was refused for want of memory.
	jobRetry = 5 * time.Second
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout = 2 * time.Minute
	// CallTimeout is the longest wait for the core's reply to an operator's call.
	CallTimeout = 10 * time.Second
	// responseMargin is the time after a request's deadline during which the handler still waits for the core's answer.
	responseMargin = time.Second
	// maxRequestIDBytes is the longest request id, in bytes.
	maxRequestIDBytes = 64
)

// HTTP headers of requests and responses between clients and entry hosts.
const (
	HeaderRequestID  = "Chute-Request-Id"
	HeaderClass      = "Chute-Class"
	HeaderRepeatable = "Chute-Repeatable"
	HeaderTimeout    = "Chute-Timeout"
	HeaderResult     = "Chute-Result"
	HeaderAttempts   = "Chute-Attempts"
)

// Health reports whether the entry host accepts requests.
type Health interface {
	Serving() bool
}

// Recorder records metrics: counters by reason, and histograms of durations.
type Recorder interface {
	Count(counter, reason string)
	Observe(name string, duration time.Duration)
}

// Front is the HTTP server for clients of services and for operators.
type Front struct {
	app       *fiber.App
	limiter   *chuteconnection.Limiter
	events    chutering.Events
	exchanges *chuteexchange.Table
	health    Health
	recorder  Recorder
	log       *slog.Logger
}

// New starts an HTTP server on the listener, under the limits of the limiter. The returned clean-up function waits up to the timeout for requests in
// progress, then closes all connections.
func New(
	listener net.Listener, events chutering.Events, exchanges *chuteexchange.Table, health Health, recorder Recorder,
	metrics http.Handler, limiter *chuteconnection.Limiter, log *slog.Logger,
) (*Front, func(timeout time.Duration)) {
	f := &Front{events: events, exchanges: exchanges, health: health, limiter: limiter, recorder: recorder, log: log}
	f.app = fiber.New(fiber.Config{
		BodyLimit: MaxBodyBytes, ReadBufferSize: MaxHeaderBytes, ReadTimeout: ReadTimeout, IdleTimeout: IdleTimeout,
		WriteTimeout: WriteTimeout, Concurrency: connectionSlack * limiter.Limits().Connections, StreamRequestBody: true,
		DisablePreParseMultipartForm: true, ErrorHandler: f.handleError, AppName: "monsoonchute",
	})
	f.limitServer(f.app.Server())
	f.registerRoutes(metrics)
	group, stopGroup := chuteduty.New(log)
	group.Go("front-listener", func(context.Context) {
		if err := f.app.Listener(limiter.Listen(listener), fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
			log.Error("front: HTTP listener failed", "error", err)
		}
	})
	return f, func(timeout time.Duration) {
		if err := f.app.ShutdownWithTimeout(timeout); err != nil {
			log.Warn("front: HTTP server did not shut down cleanly", "error", err)
		}
		stopGroup()
	}
}

// limitServer sets the hooks of the HTTP server that fiber has no settings for.
func (f *Front) limitServer(server *fasthttp.Server) {
	server.ConnState = f.limiter.SetState
	server.HeaderReceived = chuteconnection.RefuseAnnounced(func() int { return MaxBodyBytes })
	respond := server.ErrorHandler
	server.ErrorHandler = func(c *fasthttp.RequestCtx, err error) {
		f.limiter.CountError(c, err)
		respond(c, err)
	}
}

func (f *Front) registerRoutes(metrics http.Handler) {
	f.app.Use(f.readBody)
	f.app.Get("/health", f.serveHealth)
	f.app.Get("/metrics", adaptor.HTTPHandler(metrics))
	f.app.Get("/v1/document", f.showDocument)
	f.app.Put("/v1/document", f.applyDocument)
	f.app.Put("/v1/availability-zones/:name", f.setZone)
	f.app.Get("/v1/workspaces", f.listWorkspaces)
	f.app.Get("/v1/status", f.showStatus)
	f.app.Post("/v1/jobs", f.submitJob)
	f.app.Get("/v1/jobs", f.listJobs)
	f.app.Get("/v1/jobs/:id", f.showJob)
	f.app.Delete("/v1/jobs/:id", f.cancelJob)
	f.app.Get("/v1/jobs/:id/explain", f.explainJob)
	f.app.All("/call/:service/*", f.forwardRequest)
}

func (f *Front) serveHealth(c fiber.Ctx) error {
	if !f.health.Serving() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not serving\n")
	}
	return c.SendString("serving\n")
}

// handleError responds to requests that fiber itself rejects: unknown paths, and bodies or headers over the size limit.
func (f *Front) handleError(c fiber.Ctx, err error) error {
	code := chuteresult.Malformed
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		switch fiberErr.Code {
		case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
			code = chuteresult.NotFound
		case fiber.StatusRequestEntityTooLarge, fiber.StatusRequestHeaderFieldsTooLarge:
			code = chuteresult.TooLarge
		}
	}
	f.recorder.Count("request-refused", code.String())
	return f.sendResult(c, "", chuteresult.New(code, "%s", err.Error()))
}

// sendResult sends a response that has only a result, with the HTTP status of its code.
func (f *Front) sendResult(c fiber.Ctx, requestID string, result chuteresult.Result) error {
	c.Set(HeaderResult, result.Code.String())
	return c.Status(result.Code.Status()).JSON(chuteform.Reply{
		RequestID: requestID, Result: chuteform.NewOutcome(result),
	})
}

// parseRequestID returns the client's request id and true, or a new id and false if the request has none.
func parseRequestID(c fiber.Ctx) (string, bool, error) {
	value := c.Get(HeaderRequestID)
	if value == "" {
		return uuid.NewString(), false, nil
	}
	if len(value) > maxRequestIDBytes || !validID(value) {
		return "", false, chuteresult.New(chuteresult.Malformed,
			"%s: must have 1 to %d letters, digits, dots, dashes and underscores", HeaderRequestID, maxRequestIDBytes)
	}
	return string([]byte(value)), true, nil
}

func validID(id string) bool {
	for _, r := range id {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '.', r == '-', r == '_':
		default:
			return false
		}
	}
	return true
}
