package chuteconnection

import (
	"bytes"
	"context"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chutebudget"
)

const (
	// freeBytes is the size up to which a body is part of what each connection may hold, and needs no claim. The HTTP
	// library reads as much of a body before it calls the handler.
	freeBytes = 8 << 10
	// frameWait is the longest wait for the budget of a frame. The sender gives up a frame that is not taken for as long.
	frameWait = 2 * time.Second
	// refusedHeader marks a request whose announced body is over the limit.
	refusedHeader = "Chute-Body-Refused"
)

// ErrTooLarge reports a body over the limit of its size.
var ErrTooLarge = errors.New("the body is over the limit")

// ErrNoBudget reports that the memory for bodies is in use. Nothing of the request has been carried out.
var ErrNoBudget = errors.New("the memory for bodies is in use")

// RefuseAnnounced returns the hook for received headers that lets requests with an announced body over the limit reach
// the handler at once, without a body, and then closes their connections. The HTTP library would first wait for part of
// the body.
func RefuseAnnounced(limit func() int) func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
		if h.ContentLength() > limit() {
			h.SetContentLength(0)
			h.SetConnectionClose()
			h.Del(fasthttp.HeaderExpect)
			h.Set(refusedHeader, "1")
		}
		return fasthttp.RequestConfig{}
	}
}

// CountError counts a client whose request could not be read, for the report of refused clients.
func (l *Limiter) CountError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		l.Refuse(AddressOf(ctx.RemoteAddr()), "header-too-large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		l.Refuse(AddressOf(ctx.RemoteAddr()), "body-too-large")
	case IsTimeout(err):
		l.Refuse(AddressOf(ctx.RemoteAddr()), "too-slow")
	}
}

// IsTimeout reports whether the client did not send its request in time.
func IsTimeout(err error) bool {
	var fault net.Error
	return errors.As(err, &fault) && fault.Timeout()
}

// ReadBody reads the body of a request under the budget, up to the limit in bytes. The caller may keep it. Its bytes are
// held until the response is sent. After ErrTooLarge and ErrNoBudget, the connection closes once the response is sent.
func ReadBody(ctx *fasthttp.RequestCtx, limit int) ([]byte, error) {
	c, ok := ctx.Conn().(*Conn)
	if !ok { // a request without a connection, in tests
		return bytes.Clone(ctx.PostBody()), nil
	}
	if !c.setPhase(chutebudget.PhaseServing) {
		ctx.SetConnectionClose()
		return nil, errors.WithStack(net.ErrClosed)
	}
	body, err := readRequest(ctx, &c.hold, limit)
	if err == nil {
		return body, nil
	}
	ctx.SetConnectionClose()
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrNoBudget) {
		c.linger.Store(true)
	}
	switch {
	case errors.Is(err, ErrTooLarge):
		c.limiter.Refuse(c.from, "body-too-large")
	case IsTimeout(err):
		c.limiter.Refuse(c.from, "too-slow")
	}
	return nil, err
}

func readRequest(ctx *fasthttp.RequestCtx, hold *Hold, limit int) ([]byte, error) {
	if len(ctx.Request.Header.Peek(refusedHeader)) > 0 {
		return nil, ErrTooLarge
	}
	if !ctx.Request.IsBodyStream() {
		return bytes.Clone(ctx.PostBody()), nil
	}
	if announced := ctx.Request.Header.ContentLength(); announced >= 0 {
		return hold.readAnnounced(ctx.RequestBodyStream(), announced, limit)
	}
	return hold.ReadAll(ctx.RequestBodyStream(), limit)
}

// HoldResponse counts the bytes of a response as held until it is sent.
func HoldResponse(ctx *fasthttp.RequestCtx, bytes int) {
	if c, ok := ctx.Conn().(*Conn); ok && bytes > freeBytes {
		c.limiter.claim(chutebudget.Response{From: c.from, Bytes: int64(bytes)})
		c.hold.bytes.Add(int64(bytes))
	}
}

// ClaimMore claims further bytes for the request, for instance for the decoded form of its body.
func ClaimMore(ctx *fasthttp.RequestCtx, bytes int) error {
	if c, ok := ctx.Conn().(*Conn); ok {
		return c.hold.claim(int64(bytes))
	}
	return nil
}

// claim claims the bytes, and counts the client as refused if it does not get them.
func (h *Hold) claim(bytes int64) error {
	if verdict := h.grow(bytes); verdict != chutebudget.VerdictAdmitted {
		h.limiter.Refuse(h.from, verdict.String())
		return ErrNoBudget
	}
	return nil
}

// readAnnounced reads a body of a known size. Its whole size is claimed first, so that an admitted body can be read to
// its end.
func (h *Hold) readAnnounced(reader io.Reader, size, limit int) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLarge
	}
	if size > freeBytes {
		if err := h.claim(int64(size)); err != nil {
			return nil, err
		}
	}
	body := make([]byte, size)
	_, err := io.ReadFull(reader, body)
	return body, err
}

// ReadFrame reads a frame of a link, up to the limit in bytes. It waits for budget up to frameWait, since closing the link
// would make the outcome of all requests on it unknown.
func (h *Hold) ReadFrame(ctx context.Context, reader io.Reader, limit int) ([]byte, error) {
	wait, cancel := context.WithTimeout(ctx, frameWait)
	defer cancel()
	h.wait = wait
	defer func() { h.wait = nil }()
	return h.ReadAll(reader, limit)
}

// ReadAll reads a body of unknown size, up to the limit in bytes. It claims the bytes as the body grows; the smaller buffer
// that is copied and dropped at each step is part of what a byte of the budget may cost.
func (h *Hold) ReadAll(reader io.Reader, limit int) ([]byte, error) {
	body := make([]byte, 0, min(freeBytes, limit+1))
	claimed := 0
	for {
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		}
		size := min(2*cap(body), limit+1) // one byte more tells a body over the limit
		if err := h.claim(int64(min(size, limit) - claimed)); err != nil {
			return nil, err
		}
		body, claimed = append(make([]byte, 0, size), body...), min(size, limit)
	}
}
