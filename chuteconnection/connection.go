package chuteconnection

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"monsoonchute.example/monsoonchute/chutebudget"
)

const (
	// lingerBytes is the largest number of bytes that are discarded after a refusal. A client that gets a reset while it
	// sends may lose the response.
	lingerBytes = 2 << 20
	// lingerTimeout is the longest time for which such bytes are discarded.
	lingerTimeout = 2 * time.Second
)

// Conn is a connection of a client under the limits of a Limiter.
type Conn struct {
	net.Conn
	limiter *Limiter
	from    chutebudget.Address
	hold    Hold
	phase   atomic.Pointer[phase]
	writing atomic.Int64 // Unix time in nanoseconds at which the current write began; 0 if there is none
	linger  atomic.Bool  // Close discards what the client still sends
	closed  atomic.Bool
}

// phase is what a connection is doing. It is immutable, so that a connection can be closed only if it is still in the phase
// in which it was chosen for that.
type phase struct {
	chutebudget.Phase
	since   time.Time
	aborted bool // closed for another connection; nothing of a later request is carried out
}

func newConn(connection net.Conn, l *Limiter) *Conn {
	c := &Conn{Conn: connection, limiter: l, from: AddressOf(connection.RemoteAddr())}
	c.hold = Hold{limiter: l, from: c.from}
	c.setPhase(chutebudget.PhaseNew)
	return c
}

// AddressOf returns the IP address of a network address, or the zero address if it has none.
func AddressOf(address net.Addr) chutebudget.Address {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().As16()
	}
	return chutebudget.Address{}
}

// setPhase begins a phase, unless the connection has been chosen to be closed; then it returns false.
func (c *Conn) setPhase(next chutebudget.Phase) bool {
	p := &phase{Phase: next, since: time.Now()}
	for {
		current := c.phase.Load()
		if current != nil && current.aborted {
			return false
		}
		if c.phase.CompareAndSwap(current, p) {
			return true
		}
	}
}

// Read reads what the client has sent. From its first byte on, a connection has a request.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if p := c.phase.Load(); n > 0 && (p.Phase == chutebudget.PhaseNew || p.Phase == chutebudget.PhaseIdle) && !c.setPhase(chutebudget.PhaseReading) {
		return 0, net.ErrClosed
	}
	return n, err //nolint:wrapcheck // the caller expects the errors of a connection
}

// Write sends a part of a response.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Store(time.Now().UnixNano())
	defer c.writing.Store(0)
	return c.Conn.Write(data) //nolint:wrapcheck // the caller expects the errors of a connection
}

// candidate describes the connection in the phase for the choice of one that is closed.
func (c *Conn) candidate(p *phase, now time.Time) chutebudget.Candidate {
	if since := c.writing.Load(); since != 0 && p.Phase == chutebudget.PhaseServing {
		return chutebudget.Candidate{From: c.from, Phase: chutebudget.PhaseWriting, Age: now.Sub(time.Unix(0, since))}
	}
	return chutebudget.Candidate{From: c.from, Phase: p.Phase, Age: now.Sub(p.since)}
}

// claim marks the connection as closed for another one, and reports whether it did: not if it has left the phase.
func (c *Conn) claim(p *phase) bool {
	return !p.aborted && c.phase.CompareAndSwap(p, &phase{Phase: p.Phase, since: p.since, aborted: true})
}

// abort closes the socket of a claimed connection that the limiter has forgotten. The server's goroutine then ends and
// calls Close.
func (c *Conn) abort() {
	_ = c.Conn.Close()
}

// Close closes the connection and gives back what it holds. After a refusal, it first discards some of what the client
// still sends.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	c.hold.Release()
	if c.linger.Load() {
		c.discard()
	}
	err := c.Conn.Close()
	c.limiter.remove(c)
	return err
}

func (c *Conn) discard() {
	c.setPhase(chutebudget.PhaseClosing)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// Hold is the bytes of the budget that one request and its response hold.
type Hold struct {
	limiter *Limiter
	from    chutebudget.Address
	bytes   atomic.Int64
	wait    context.Context // until when a claim waits for budget; nil means that it does not wait
}

// NewHold returns an empty hold for a client of the address.
func (l *Limiter) NewHold(from chutebudget.Address) *Hold {
	return &Hold{limiter: l, from: from}
}

// grow claims further bytes of a body.
func (h *Hold) grow(bytes int64) chutebudget.Verdict {
	claim := chutebudget.Body{From: h.from, Held: h.bytes.Load(), Bytes: bytes}
	var verdict chutebudget.Verdict
	if h.wait != nil {
		verdict = h.limiter.claimWithin(h.wait, claim)
	} else {
		verdict = h.limiter.claim(claim)
	}
	if verdict == chutebudget.VerdictAdmitted {
		h.bytes.Add(bytes)
	}
	return verdict
}

// Release gives all bytes back.
func (h *Hold) Release() {
	if bytes := h.bytes.Swap(0); bytes != 0 {
		h.limiter.release(h.from, bytes)
	}
}
