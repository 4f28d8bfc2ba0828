package chuteclient_test

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chuteclient"
	"monsoonchute.example/monsoonchute/chuteform"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// serve starts an entry host with the handler and returns its address.
func serve(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &fasthttp.Server{Handler: handler}
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

func refuse(code string) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) { c.SetBodyString(code) }
}

// closeConnection takes the call and ends the connection without an answer.
func closeConnection(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(connection net.Conn) { _ = connection.Close() })
}

// TestARefusalAfterALostAnswerDoesNotProveThatNothingRan guards against a caller who is told that its call has not run,
// because the last host refused it, although an earlier one took it and its answer was lost.
func TestARefusalAfterALostAnswerDoesNotProveThatNothingRan(t *testing.T) {
	cases := []struct {
		name   string
		first  fasthttp.RequestHandler
		second fasthttp.RequestHandler
		class  chuteresult.Class
	}{
		{"lost, then no owner", closeConnection, refuse(`{"result":{"code":213}}`), chuteresult.ClassUnknown},
		{"lost, then not found", closeConnection, refuse(`{"result":{"code":207}}`), chuteresult.ClassUnknown},
		{"lost, then done", closeConnection, refuse(`{"result":{"code":100}}`), chuteresult.ClassRan},
		{"cut short, then no owner", refuse(`{"result":{"co`), refuse(`{"result":{"code":213}}`), chuteresult.ClassUnknown},
		{"no owner, then not found", refuse(`{"result":{"code":213}}`), refuse(`{"result":{"code":207}}`), chuteresult.ClassNotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := chuteclient.New([]string{serve(t, c.first), serve(t, c.second)})
			reply, err := client.SubmitJob(chuteform.JobSpec{})
			code := chuteresult.Code(reply.Result.Code)
			if err != nil {
				code = chuteresult.FromError(err).Code
			}
			is.Equal(code.Class(), c.class)
		})
	}
}
