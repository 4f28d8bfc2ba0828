package soak_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// linkFault is what a proxy does to the bytes that pass through it.
type linkFault int

const (
	linkSound   linkFault = iota
	linkDelayed           // bytes arrive late
	linkCut               // bytes wait until the fault ends
	linkCutUp             // the same, towards the server only
	linkCutDown           // the same, towards the client only
	lastLinkFault
)

const (
	linkDelay = 120 * time.Millisecond
	linkLook  = 10 * time.Millisecond
)

// proxy is a link on loopback that can be disturbed.
type proxy struct {
	mutex    sync.Mutex
	ctx      context.Context
	listener net.Listener
	target   string
	fault    linkFault
	pairs    map[*pair]bool
}

// pair is a connection through the proxy.
type pair struct {
	client, server net.Conn
	silent         bool // for good: what arrives is dropped
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &proxy{ctx: ctx, listener: listener, target: target, pairs: make(map[*pair]bool)}
	group := conc.NewWaitGroup()
	group.Go(func() { p.accept(group) })
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		p.reset()
		group.Wait()
	})
	return p
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

func (p *proxy) accept(group *conc.WaitGroup) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			_ = client.Close()
			continue
		}
		both := &pair{client: client, server: server}
		p.mutex.Lock()
		p.pairs[both] = true
		p.mutex.Unlock()
		group.Go(func() { p.carry(both, server, client, linkCutUp) })
		group.Go(func() { p.carry(both, client, server, linkCutDown) })
	}
}

// carry copies one way of a pair; the cut is the fault that holds up this way alone.
func (p *proxy) carry(both *pair, to, from net.Conn, cut linkFault) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.pass(both, cut) {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			break
		}
	}
	_ = both.client.Close()
	_ = both.server.Close()
	p.mutex.Lock()
	delete(p.pairs, both)
	p.mutex.Unlock()
}

// pass waits for as long as the link holds bytes up, and reports whether they are to arrive.
func (p *proxy) pass(both *pair, cut linkFault) bool {
	delayed := false
	for {
		p.mutex.Lock()
		fault, silent := p.fault, both.silent
		p.mutex.Unlock()
		switch {
		case silent:
			return false
		case fault == linkCut, fault == cut:
			wait(p.ctx, linkLook)
		case fault == linkDelayed && !delayed:
			delayed = true
			wait(p.ctx, linkDelay)
		default:
			return true
		}
		if p.ctx.Err() != nil {
			return false
		}
	}
}

func (p *proxy) set(fault linkFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = fault
}

// silence lets all open connections go silent for good; new ones work.
func (p *proxy) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for both := range p.pairs {
		both.silent = true
	}
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for both := range p.pairs {
		for _, c := range []net.Conn{both.client, both.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// wait waits, or until the context ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// broken reports whether the error tells of a connection that ended before a whole answer.
func broken(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op) && !op.Timeout()
}
