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

// linkFault is a fault that a proxy simulates.
type linkFault int

const (
	linkHealthy    linkFault = iota
	linkDelayed              // bytes arrive late
	linkCut                  // bytes wait until the fault ends
	linkCutUp                // bytes to the server wait until the fault ends
	linkCutDown              // bytes to the client wait until the fault ends
	linkFaultCount           // number of the values above
)

const (
	linkDelay        = 120 * time.Millisecond
	linkPollInterval = 10 * time.Millisecond
)

// proxy is a TCP proxy on loopback that simulates the faults of a link.
type proxy struct {
	mutex    sync.Mutex
	ctx      context.Context
	listener net.Listener
	target   string
	fault    linkFault
	pairs    map[*connectionPair]bool
}

// connectionPair is a connection through the proxy.
type connectionPair struct {
	client, server net.Conn
	dropsBytes     bool // permanently: bytes that arrive are dropped
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &proxy{ctx: ctx, listener: listener, target: target, pairs: make(map[*connectionPair]bool)}
	group := conc.NewWaitGroup()
	group.Go(func() { p.accept(group) })
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		p.resetConnections()
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
		pair := &connectionPair{client: client, server: server}
		p.mutex.Lock()
		p.pairs[pair] = true
		p.mutex.Unlock()
		group.Go(func() { p.forward(pair, server, client, linkCutUp) })
		group.Go(func() { p.forward(pair, client, server, linkCutDown) })
	}
}

// forward copies the bytes of one direction of a pair; blockingFault is the fault that blocks only this direction.
func (p *proxy) forward(pair *connectionPair, to, from net.Conn, blockingFault linkFault) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.awaitPassage(pair, blockingFault) {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			break
		}
	}
	_ = pair.client.Close()
	_ = pair.server.Close()
	p.mutex.Lock()
	delete(p.pairs, pair)
	p.mutex.Unlock()
}

// awaitPassage waits while a fault holds bytes back, and reports whether to forward them.
func (p *proxy) awaitPassage(pair *connectionPair, blockingFault linkFault) bool {
	delayed := false
	for {
		p.mutex.Lock()
		fault, dropsBytes := p.fault, pair.dropsBytes
		p.mutex.Unlock()
		switch {
		case dropsBytes:
			return false
		case fault == linkCut, fault == blockingFault:
			wait(p.ctx, linkPollInterval)
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

func (p *proxy) setFault(fault linkFault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = fault
}

// silenceConnections makes all open connections drop their bytes permanently. New connections work.
func (p *proxy) silenceConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for pair := range p.pairs {
		pair.dropsBytes = true
	}
}

// resetConnections closes all open connections with a TCP reset.
func (p *proxy) resetConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for pair := range p.pairs {
		for _, c := range []net.Conn{pair.client, pair.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// wait waits for the duration or until the context ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// connectionBroken reports whether the error says that a connection ended before the response was complete.
func connectionBroken(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op) && !op.Timeout()
}
