package chutecaller_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chutecaller"
)

func newCaller(address string) chutecaller.Caller {
	return chutecaller.New("service", &fasthttp.HostClient{
		Addr: address, RetryIfErr: chutecaller.NeverRetry, Dial: chutecaller.Dial,
	})
}

func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestCutCallIsNotSentAgain guards against a request that runs twice because the library repeats it.
func TestCutCallIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	address := startServer(t, func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		panic(http.ErrAbortHandler) // closes the connection without a response
	})
	caller := newCaller(address)
	var target struct{}
	for _, err := range []error{caller.Post("/", struct{}{}, &target), caller.Get("/", &target)} {
		is.True(err != nil)
		is.True(!errors.Is(err, chutecaller.ErrDial)) // the request may have run
	}
	is.Equal(requests.Load(), int64(2))
}

// TestOnlyAFailureToConnectIsADialError guards against a request that counts as not sent although it may have run.
func TestOnlyAFailureToConnectIsADialError(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	var target struct{}
	is.True(errors.Is(newCaller(address).Get("/", &target), chutecaller.ErrDial))
}

// TestRefusalIsAnError guards against the body of a refusal that is taken for an answer.
func TestRefusalIsAnError(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"accepted":true}`))
	})
	var target struct {
		Accepted bool `json:"accepted"`
	}
	err := newCaller(address).Post("/", struct{}{}, &target)
	is.Equal(err.Error(), "service: status 503")
	is.True(!target.Accepted)
}
