package chutestandin

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chuteduty"
)

// stopTimeout is the longest time that the server of a stand-in waits for open requests when it stops.
const stopTimeout = time.Second

// serve runs an HTTP server on a free loopback port and returns its address and a function that stops it.
func serve(name string, handler fasthttp.RequestHandler, log *slog.Logger) (string, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.WithStack(err)
	}
	server := &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, MaxRequestBodySize: 64 << 20, CloseOnShutdown: true,
		Logger: discardLogger{}, IdleTimeout: time.Minute,
	}
	group, stopGroup := chuteduty.New(log)
	group.Go(name, func(context.Context) {
		if err := server.Serve(listener); err != nil {
			log.Error("stand-in: cannot serve the listener", "stand-in", name, "error", err)
		}
	})
	return listener.Addr().String(), func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = server.ShutdownWithContext(ctx)
		stopGroup()
	}, nil
}

// discardLogger discards the log lines that the HTTP library writes about connections that clients have closed.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}

// readJSON decodes the request body and reports whether it is well-formed; if not, it sets status 400.
func readJSON(ctx *fasthttp.RequestCtx, value any) bool {
	if err := json.Unmarshal(ctx.PostBody(), value); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}
