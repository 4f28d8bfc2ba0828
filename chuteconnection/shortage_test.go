package chuteconnection_test

import (
	"net"
	"os"
	"syscall"
)

// failingListener fails to accept connections a number of times, as without descriptors.
type failingListener struct {
	net.Listener
	failures int
}

// Accept fails, or waits for the next connection.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}
