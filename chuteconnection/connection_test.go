package chuteconnection_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chutebudget"
	"monsoonchute.example/monsoonchute/chuteconnection"
)

const (
	mib = 1 << 20
	// bodyLimit is the largest body that the test's server accepts.
	bodyLimit = 256 << 10
)

// discardRecorder records nothing.
type discardRecorder struct{}

func (discardRecorder) Count(string, string)     {}
func (discardRecorder) SetGauge(string, float64) {}

// serve starts a server that responds with the size of each body, 413 or 503, and returns its address and its limiter.
func serve(t *testing.T, limits chutebudget.Limits) (string, *chuteconnection.Limiter) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	limiter := chuteconnection.New("test", limits, discardRecorder{}, slog.New(slog.DiscardHandler))
	server := &fasthttp.Server{
		Handler: func(c *fasthttp.RequestCtx) {
			body, err := chuteconnection.ReadBody(c, bodyLimit)
			switch {
			case err == nil:
				c.SetBodyString(strconv.Itoa(len(body)))
			case errors.Is(err, chuteconnection.ErrTooLarge):
				c.SetStatusCode(http.StatusRequestEntityTooLarge)
			default:
				c.SetStatusCode(http.StatusServiceUnavailable)
			}
		},
		StreamRequestBody: true, MaxRequestBodySize: bodyLimit, HeaderReceived: chuteconnection.RefuseAnnounced(func() int { return bodyLimit }),
		ConnState: limiter.SetState, ReadTimeout: 3 * time.Second, CloseOnShutdown: true,
	}
	group := conc.NewWaitGroup()
	group.Go(func() { _ = server.Serve(limiter.Listen(listener)) })
	t.Cleanup(func() { _ = server.Shutdown(); group.Wait() })
	return listener.Addr().String(), limiter
}

// client is a connection to the test's server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, address string) client {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = connection.Close() })
	is.New(t).NoErr(connection.SetDeadline(time.Now().Add(10 * time.Second)))
	return client{connection, bufio.NewReader(connection)}
}

// send writes the text and returns the status and the body of the response.
func (c client) send(t *testing.T, text string) (int, string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	is.New(t).NoErr(err)
	return c.receive(t)
}

func (c client) receive(t *testing.T) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	is.New(t).NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	is.New(t).NoErr(err)
	return response.StatusCode, string(body)
}

// announced returns the header of a request with a body of the size.
func announced(size int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
}

const chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

// TestBodiesWithinTheLimitAreRead guards against bodies that are cut, or read into the next request.
func TestBodiesWithinTheLimitAreRead(t *testing.T) {
	is := is.New(t)
	address, limiter := serve(t, chutebudget.NewLimits(64*mib, 0, 64))
	c := connect(t, address)
	for _, size := range []int{0, 1, 8 << 10, 8<<10 + 1, 100_000, bodyLimit} {
		status, body := c.send(t, announced(size)+strings.Repeat("x", size))
		is.Equal(status, http.StatusOK)
		is.Equal(body, fmt.Sprint(size))
		text := ""
		if size > 0 {
			text = fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
		}
		status, body = c.send(t, chunked+text+"0\r\n\r\n")
		is.Equal(status, http.StatusOK)
		is.Equal(body, fmt.Sprint(size))
	}
	for range 100 {
		if limiter.Use().Bytes == 0 {
			break
		}
		pause()
	}
	is.Equal(limiter.Use(), chutebudget.Use{Connections: 1}) // the bytes are given back
}

func pause() {
	timer := time.NewTimer(10 * time.Millisecond)
	<-timer.C
}

// TestABodyOverTheLimitGetsAResponse guards against a client that sends an oversized body and gets a broken connection,
// or waits for a response until it has sent all.
func TestABodyOverTheLimitGetsAResponse(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, chutebudget.NewLimits(64*mib, 0, 64))
	c := connect(t, address)
	status, _ := c.send(t, announced(bodyLimit+1)) // nothing of the body is sent
	is.Equal(status, http.StatusRequestEntityTooLarge)
	_, err := c.reader.ReadByte()
	is.Equal(err, io.EOF) // the connection is closed
	status, _ = connect(t, address).send(t, announced(2*mib)+strings.Repeat("x", 2*mib))
	is.Equal(status, http.StatusRequestEntityTooLarge)
	status, _ = connect(t, address).send(t, chunked+fmt.Sprintf("%x\r\n", mib)+strings.Repeat("x", mib))
	is.Equal(status, http.StatusRequestEntityTooLarge)
}

// TestOrdinaryCallsAreAnsweredWithoutBudget guards against large bodies that keep small ones from being served.
func TestOrdinaryCallsAreAnsweredWithoutBudget(t *testing.T) {
	is := is.New(t)
	address, limiter := serve(t, chutebudget.NewLimits(4*mib, 0, 64)) // 512 KiB, an address has half of it
	holder := connect(t, address)
	_, err := io.WriteString(holder, announced(bodyLimit)+strings.Repeat("x", bodyLimit-1))
	is.NoErr(err)
	for limiter.Use().Bytes == 0 {
		pause()
	}
	status, _ := connect(t, address).send(t, announced(100_000)+strings.Repeat("x", 100_000))
	is.Equal(status, http.StatusServiceUnavailable)
	status, body := connect(t, address).send(t, announced(5000)+strings.Repeat("x", 5000))
	is.Equal(status, http.StatusOK)
	is.Equal(body, "5000")
	status, body = connect(t, address).send(t, announced(60_000)+strings.Repeat("x", 60_000))
	is.Equal(status, http.StatusOK)
	is.Equal(body, "60000")
	status, body = holder.send(t, "x") // an admitted body is read to its end
	is.Equal(status, http.StatusOK)
	is.Equal(body, fmt.Sprint(bodyLimit))
}

// TestIdleConnectionsGiveWay guards against clients that keep others out by connections that they do not use, and against
// closing one that has a request.
func TestIdleConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	address, limiter := serve(t, chutebudget.NewLimits(64*mib, 16, 64)) // 8 connections, 6 from one address
	busy := connect(t, address)
	_, err := io.WriteString(busy, announced(20_000)+strings.Repeat("x", 19_999))
	is.NoErr(err)
	for limiter.Use().Bytes == 0 { // until the handler reads the body
		pause()
	}
	idle := connect(t, address)
	status, _ := idle.send(t, announced(1)+"x")
	is.Equal(status, http.StatusOK)
	for range 5 {
		connect(t, address)
	}
	for limiter.Use().Connections < 7 { // one less than the limit: the share of an address applies
		pause()
	}
	for range 100 { // until the server has noted that a connection is idle
		if status, _ = connect(t, address).send(t, announced(1)+"x"); status == http.StatusOK {
			break
		}
		pause()
	}
	is.Equal(status, http.StatusOK) // one of them was closed for the new one
	status, _ = busy.send(t, "x")
	is.Equal(status, http.StatusOK)
}

// TestAcceptingGoesOnAfterAShortage guards against a server that hears nobody after it once lacked descriptors.
func TestAcceptingGoesOnAfterAShortage(t *testing.T) {
	is := is.New(t)
	limiter := chuteconnection.New("test", chutebudget.NewLimits(0, 0, 4), discardRecorder{}, slog.New(slog.DiscardHandler))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	limited := limiter.Listen(&failingListener{Listener: listener, failures: 3})
	connect(t, listener.Addr().String())
	connection, err := limited.Accept()
	is.NoErr(err)
	is.NoErr(connection.Close())
	is.Equal(limiter.Use(), chutebudget.Use{})
}
