package chutepeer_test

import (
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutebudget"
	"monsoonchute.example/monsoonchute/chuteconnection"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutepeer"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutewire"
)

// discardRecorder records nothing.
type discardRecorder struct{}

func (discardRecorder) Count(string, string)     {}
func (discardRecorder) SetGauge(string, float64) {}

// TestFramesAreReadUnderABudget guards against peers whose frames take all memory, and against a mesh that hears ordinary
// peers no more after such a frame.
func TestFramesAreReadUnderABudget(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	limiter := chuteconnection.New("peer", chutebudget.NewLimits(8<<20, 0, 64), discardRecorder{}, slog.New(slog.DiscardHandler))
	events := chutering.NewEvents("core", 16)
	_, cleanUp := chutepeer.New("host-0", listener, events, limiter, slog.New(slog.DiscardHandler))
	t.Cleanup(cleanUp)
	dial := func() *websocket.Conn {
		connection, response, err := websocket.DefaultDialer.Dial(
			"ws://"+listener.Addr().String()+"/v1/link", http.Header{"Chute-Entry-Host": {"host-1"}})
		is.NoErr(err)
		_ = response.Body.Close()
		t.Cleanup(func() { _ = connection.Close() })
		return connection
	}
	for range 4 {
		connection := dial()
		_ = connection.WriteMessage(websocket.BinaryMessage, make([]byte, 2<<20)) // within the limit of a frame, over the budget
		is.NoErr(connection.SetReadDeadline(time.Now().Add(5 * time.Second)))
		_, _, err = connection.ReadMessage()
		is.True(err != nil) // the link is closed
	}
	frame, err := chutewire.EncodeMessage(chuteevent.Heartbeat{})
	is.NoErr(err)
	is.NoErr(dial().WriteMessage(websocket.BinaryMessage, frame))
	event, ok := events.Take(t.Context())
	is.True(ok)
	arrived, ok := event.(chuteevent.PeerMessageArrived)
	is.True(ok)
	is.Equal(arrived.Message, chuteevent.Heartbeat{})
}
