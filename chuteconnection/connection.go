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
	phase   atomic.Int32
	since   atomic.Int64 // Unix time in nanoseconds at which the phase began
	linger  atomic.Bool  // Close discards what the client still sends
	closed  atomic.Bool
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

func (c *Conn) setPhase(phase chutebudget.Phase) {
	c.since.Store(time.Now().UnixNano())
	c.phase.Store(int32(phase))
}

// candidate describes the connection for the choice of one that is closed.
func (c *Conn) candidate(now time.Time) chutebudget.Candidate {
	return chutebudget.Candidate{
		From: c.from, Phase: chutebudget.Phase(c.phase.Load()), Age: time.Duration(now.UnixNano() - c.since.Load()),
	}
}

// abort closes the socket of a connection that the limiter has forgotten. The server's goroutine then ends and calls
// Close.
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
