package chuteconnection

import (
	"net"
	"syscall"
)

// hasUnread reports whether bytes have arrived on the connection that nobody has read yet. It does not wait.
func hasUnread(connection net.Conn) bool {
	if encrypted, ok := connection.(interface{ NetConn() net.Conn }); ok {
		connection = encrypted.NetConn()
	}
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(descriptor uintptr) {
		var first [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
