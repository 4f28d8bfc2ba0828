package chutestandin

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chutebackend"
)

// BackendFaults are the faults that a backend server simulates.
type BackendFaults struct {
	Delay           time.Duration // before each response
	Refuse          bool          // responds that it did not run the request
	Leaving         bool          // refuses requests and announces that it is leaving
	WrongRequestID  bool          // responds with the id of another request
	CloseConnection bool          // closes the connection after it ran the request, without a response
}

// Backend is a backend server that echoes requests and counts how often it ran each request id.
type Backend struct {
	address string
	mutex   sync.Mutex
	faults  BackendFaults
	runs    map[string]int
}

// NewBackend starts a backend server and returns it with a function that stops it.
func NewBackend(log *slog.Logger) (*Backend, func(), error) {
	b := &Backend{runs: make(map[string]int)}
	address, cleanUp, err := serve("backend-server", b.handle, log)
	b.address = address
	return b, cleanUp, err
}

// Address returns the host and port at which the backend server listens.
func (b *Backend) Address() string {
	return b.address
}

// SetFaults replaces the faults that the backend server simulates.
func (b *Backend) SetFaults(faults BackendFaults) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.faults = faults
}

// Runs returns how often the backend server ran each request id.
func (b *Backend) Runs() map[string]int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	runs := make(map[string]int, len(b.runs))
	for id, n := range b.runs {
		runs[id] = n
	}
	return runs
}

func (b *Backend) handle(ctx *fasthttp.RequestCtx) {
	b.mutex.Lock()
	faults := b.faults
	b.mutex.Unlock()
	if faults.Leaving {
		ctx.Response.Header.Set(chutebackend.HeaderLeaving, "true")
	}
	if string(ctx.Path()) == chutebackend.ProbePath {
		return
	}
	id := string(ctx.Request.Header.Peek(chutebackend.HeaderRequestID))
	ctx.Response.Header.Set(chutebackend.HeaderRequestID, id)
	ctx.Response.Header.SetBytesV(chutebackend.HeaderAttempt, ctx.Request.Header.Peek(chutebackend.HeaderAttempt))
	if faults.Refuse || faults.Leaving {
		ctx.Response.Header.Set(chutebackend.HeaderNotRun, "true")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	b.run(ctx, id, faults)
}

func (b *Backend) run(ctx *fasthttp.RequestCtx, id string, faults BackendFaults) {
	b.mutex.Lock()
	b.runs[id]++
	b.mutex.Unlock()
	if faults.Delay > 0 {
		timer := time.NewTimer(faults.Delay)
		<-timer.C
	}
	if faults.CloseConnection {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(connection net.Conn) { _ = connection.Close() })
		return
	}
	if faults.WrongRequestID {
		ctx.Response.Header.Set(chutebackend.HeaderRequestID, id+"-other")
	}
	ctx.SetContentTypeBytes(ctx.Request.Header.ContentType())
	ctx.SetBody(ctx.PostBody())
	if len(ctx.PostBody()) == 0 {
		ctx.SetBodyString(string(ctx.Path()))
	}
}
