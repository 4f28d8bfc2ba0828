package chuteconnection

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// shortagePause is the time until the next attempt to accept a connection after one failed for want of descriptors.
	shortagePause = 20 * time.Millisecond
	// refuseTimeout is the longest time to write the response of a refused connection. Its text fits the send buffer of a
	// new socket.
	refuseTimeout = 10 * time.Millisecond
	// refusedText is the response of a refused connection. Nothing of its request has been read, so that "not run" is true.
	refusedText = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// listener admits connections under the limits of a Limiter.
type listener struct {
	net.Listener
	limiter *Limiter
}

// Listen returns a listener that refuses connections over the limits. Unlike the HTTP library's own loop, it goes on
// after a failure for want of descriptors or memory.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l}
}

// Accept waits for the next connection within the limits.
func (s *listener) Accept() (net.Conn, error) {
	for {
		connection, err := s.Listener.Accept()
		if isShortage(err) {
			s.limiter.recorder.Count("accept-failed", "shortage")
			s.limiter.closeOne()
			pause := time.NewTimer(shortagePause)
			<-pause.C
			continue
		}
		if err != nil {
			return nil, err
		}
		if c := s.limiter.admit(connection); c != nil {
			return c, nil
		}
		_ = connection.SetWriteDeadline(time.Now().Add(refuseTimeout))
		_, _ = connection.Write([]byte(refusedText))
		_ = connection.Close()
	}
}

// isShortage reports whether a connection could not be accepted for a cause that passes.
func isShortage(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
