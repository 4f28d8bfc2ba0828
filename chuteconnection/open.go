package chuteconnection

import (
	"context"
	"net"
	"syscall"
)

// Sizes in bytes of the receive buffers of clients' connections. The system holds up to twice as much for each connection
// whose bytes the server does not read, and counts it towards the memory of the machine; without a size it takes more, the
// faster the connection.
const (
	// SmallReceiveBuffer suits requests of some kilobytes.
	SmallReceiveBuffer = 12 << 10
	// LargeReceiveBuffer suits requests of megabytes over long distances.
	LargeReceiveBuffer = 64 << 10
)

// Open listens on the TCP address, with receive buffers of the size in bytes for its connections.
func Open(address string, receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		var failed error
		err := socket.Control(func(descriptor uintptr) { // accepted connections inherit it
			failed = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	return config.Listen(context.Background(), "tcp", address)
}
