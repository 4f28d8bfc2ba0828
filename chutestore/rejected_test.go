package chutestore_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutestore"
	"monsoonchute.example/monsoonchute/chutetable"
)

// rejectingService accepts all transactions but those with the row, and returns its address.
func rejectingService(t *testing.T, row chutetable.Key) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	group := conc.NewWaitGroup()
	t.Cleanup(group.Wait)
	t.Cleanup(func() { _ = listener.Close() })
	server := &fasthttp.Server{CloseOnShutdown: true, Handler: func(c *fasthttp.RequestCtx) {
		if bytes.Contains(c.PostBody(), []byte(row)) {
			c.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
			return
		}
		c.SetBodyString(`{"accepted":true,"versions":{}}`)
	}}
	group.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String()
}

// TestARowThatTheTableServiceNeverTakesHoldsUpNoOther guards against a host that writes nothing any more, not even its own row, since
// one row is refused whenever it is sent.
func TestARowThatTheTableServiceNeverTakesHoldsUpNoOther(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	events := chutering.NewEvents("test", 1024)
	client, cleanUp := chutestore.New(rejectingService(t, "rejected-row"), events, slog.New(slog.DiscardHandler))
	defer cleanUp()
	for _, key := range []chutetable.Key{"a", "rejected-row", "b"} {
		client.Offer(chuteevent.CommitTable{Token: chuteevent.Token(key), Writes: []chutetable.Write{{Key: key}}})
	}
	outcomes := make(map[chuteevent.Token]bool)
	for len(outcomes) < 3 {
		event, ok := events.Take(ctx)
		is.True(ok)
		switch e := event.(type) {
		case chuteevent.TableCommitted:
			outcomes[e.Token] = e.Accepted
		case chuteevent.TableFailed:
			outcomes[e.Token] = false
		}
	}
	is.Equal(outcomes, map[chuteevent.Token]bool{"a": true, "rejected-row": false, "b": true})
}
