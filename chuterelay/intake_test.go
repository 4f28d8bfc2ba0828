package chuterelay_test

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutebudget"
	"monsoonchute.example/monsoonchute/chuteconnection"
	"monsoonchute.example/monsoonchute/chuterelay"
)

// TestFramesAreReadUnderABudget guards against peers whose frames take all memory, and against a relay that serves
// ordinary peers no more after such a frame.
func TestFramesAreReadUnderABudget(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	limiter := chuteconnection.New("relay", chutebudget.NewLimits(8<<20, 0, 64), discardRecorder{}, slog.New(slog.DiscardHandler))
	relay, cleanUp := chuterelay.New(listener, &fakeTransport{}, limiter, slog.New(slog.DiscardHandler))
	t.Cleanup(cleanUp)
	address := listener.Addr().String()
	for range 4 {
		connection, response, err := websocket.DefaultDialer.Dial("ws://"+address+"/v1/relay", nil)
		is.NoErr(err)
		_ = response.Body.Close()
		_ = connection.WriteMessage(websocket.BinaryMessage, make([]byte, 2<<20)) // within the limit of a frame, over the budget
		is.NoErr(connection.SetReadDeadline(time.Now().Add(5 * time.Second)))
		_, _, err = connection.ReadMessage()
		is.True(err != nil) // the connection is closed
		_ = connection.Close()
	}
	sender, _ := newRelay(t, &fakeTransport{})
	is.NoErr(sender.SendNotice(context.Background(), address, make([]byte, 20_000)))
	is.True(limiter.Use().Bytes >= 20_000) // a queued notice holds its bytes
	notice, ok := relay.NextNotice(context.Background())
	is.True(ok)
	is.Equal(len(notice), 20_000)
	is.Equal(limiter.Use().Bytes, int64(0))
}
