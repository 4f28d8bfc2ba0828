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
	linkHealthy linkFault = iota
	linkDelayed           // bytes arrive late
	linkCut               // bytes wait until the fault ends
	linkCutUp             // the same, towards the server only
	linkCutDown           // the same, towards the client only
	lastLinkFault
)

const (
	linkDelay        = 120 * time.Millisecond
	linkPollInterval = 10 * time.Millisecond
)

// proxy is a link on loopback that can be disturbed.
type proxy struct {
	mutex    sync.Mutex
	ctx      context.Context
	listener net.Listener
	target   string
	fault    linkFault
	pairs    map[*connectionPair]bool
}

// pair is a connection through the proxy.
type connectionPair struct {
	client, server net.Conn
	dropsBytes     bool // for good: what arrives is dropped
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

// carry copies one way of a pair; the cut is the fault that holds up this way alone.
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

// pass waits for as long as the link holds bytes up, and reports whether they are to arrive.
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

// silence lets all open connections go silent for good; new ones work.
func (p *proxy) silenceConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for pair := range p.pairs {
		pair.dropsBytes = true
	}
}

// reset resets all open connections.
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
func connectionBroken(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op) && !op.Timeout()
}
