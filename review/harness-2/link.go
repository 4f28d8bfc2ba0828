package main

import (
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// links are the proxies on the ways of one host to others.
type links struct {
	mutex  sync.Mutex
	cutNow bool
	healed chan struct{} // closed when the cut ends
}

// add starts a proxy to the address and returns its own.
func (l *links) add(address string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go l.serve(listener, address)
	return listener.Addr().String(), nil
}

func (l *links) serve(listener net.Listener, address string) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(connection.(*net.TCPConn), address)
	}
}

// cut makes the links silent: what is sent over open connections is held up, and new connections lead nowhere.
func (l *links) cut() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cutNow, l.healed = true, make(chan struct{})
}

// heal ends the cut.
func (l *links) heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cutNow {
		l.cutNow = false
		close(l.healed)
	}
}

// state reports whether the links are cut, and how to wait for the end of that.
func (l *links) state() (bool, chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.cutNow, l.healed
}

// forward passes on what a connection carries. One that is opened during a cut never reaches its target: its opening packet is lost,
// and the host gives up before the next one.
func (l *links) forward(near *net.TCPConn, address string) {
	defer func() { _ = near.Close() }()
	if isCut, _ := l.state(); isCut {
		_, _ = io.Copy(io.Discard, near)
		return
	}
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	far := connection.(*net.TCPConn)
	defer func() { _ = far.Close() }()
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		l.copy(far, near)
	}()
	go func() {
		defer both.Done()
		l.copy(near, far)
	}()
	both.Wait()
}

// copy passes bytes on in one direction, and then the end of the stream, as a network does: what is under way during a cut arrives
// after it, unless the sender has reset the connection meanwhile.
func (l *links) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.waitForHeal()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		switch {
		case err == nil:
		case err == io.EOF:
			_ = to.CloseWrite()
			return
		default: // reset by the sender
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// waitForHeal waits for the end of a cut, if there is one.
func (l *links) waitForHeal() {
	if isCut, healed := l.state(); isCut {
		<-healed
	}
}

// linkAll puts a proxy on the way of each host to each other host and to each worker. Hosts and workers tell their addresses through
// rows of the store, so that each host's link to the store shows it the addresses of its links, which have the same length.
func (w *world) linkAll() error {
	shown := make(map[string]map[string]string) // by host, then by the address of another
	for _, h := range w.hosts {
		shown[h.name] = make(map[string]string)
		for _, k := range w.workers {
			link, err := h.links.addAlike(k.address)
			if err != nil {
				return err
			}
			shown[h.name][k.address] = link
		}
		for _, other := range w.hosts {
			if other == h {
				continue
			}
			inner, err := other.links.addAlike(other.relay) // a cut of either host cuts the way between them
			if err != nil {
				return err
			}
			if shown[h.name][other.relay], err = h.links.addAlike(inner); err != nil {
				return err
			}
		}
	}
	w.store.rewrite = func(r row, host string) row {
		if r.Table != "chute-hosts" && r.Table != "servers" {
			return r
		}
		value, err := base64.StdEncoding.DecodeString(r.Value)
		if err != nil {
			return r
		}
		text := string(value)
		for address, link := range shown[host] {
			text = strings.ReplaceAll(text, address, link)
		}
		r.Value = base64.StdEncoding.EncodeToString([]byte(text))
		return r
	}
	return nil
}

// addAlike starts a proxy whose address has the same length as that of its target.
func (l *links) addAlike(address string) (string, error) {
	for range 50 {
		link, err := l.add(address)
		if err != nil {
			return "", err
		}
		if len(link) == len(address) {
			return link, nil
		}
	}
	return "", fmt.Errorf("no link to %s has an address of its length", address)
}
