package chuteconnection_test

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutebudget"
	"monsoonchute.example/monsoonchute/chuteconnection"
)

// TestAConnectionWithUnreadBytesIsKept guards against a client that has just sent its request and gets a reset, as its
// connection is closed for another one before the server has read from it.
func TestAConnectionWithUnreadBytesIsKept(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	limiter := chuteconnection.New("test", chutebudget.NewLimits(0, 4, 2).WithConnections(0, 2), discardRecorder{}, slog.New(slog.DiscardHandler))
	limited := limiter.Listen(listener)
	accept := func() (client, net.Conn) {
		c := connect(t, listener.Addr().String())
		accepted, err := limited.Accept()
		is.NoErr(err)
		t.Cleanup(func() { _ = accepted.Close() })
		return c, accepted
	}
	sender, accepted := accept()
	_, unused := accept()
	_, err = io.WriteString(sender, "GET")
	is.NoErr(err)
	for range 30 { // until both may be closed for another one by their age
		pause()
	}
	accept()
	is.NoErr(accepted.SetReadDeadline(time.Now().Add(5 * time.Second)))
	text := make([]byte, 3)
	_, err = io.ReadFull(accepted, text)
	is.NoErr(err)
	is.Equal(string(text), "GET")
	_, err = unused.Read(text)
	is.True(err != nil) // closed for the third one
}
