package chuterelay_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"monsoonchute.example/monsoonchute/chutebudget"
	"monsoonchute.example/monsoonchute/chuteconnection"
	"monsoonchute.example/monsoonchute/chuterelay"
)

// fakeTransport answers, refuses, or returns no answer.
type fakeTransport struct {
	refuses atomic.Bool
	silent  atomic.Bool
	calls   atomic.Int64
}

// discardRecorder records nothing.
type discardRecorder struct{}

func (discardRecorder) Count(string, string)     {}
func (discardRecorder) SetGauge(string, float64) {}

// newLimiter returns a limiter with the default limits.
func newLimiter() *chuteconnection.Limiter {
	return chuteconnection.New("relay", chutebudget.NewLimits(0, 0, chuterelay.MaxConnections), discardRecorder{}, slog.New(slog.DiscardHandler))
}

func (d *fakeTransport) Do(_ context.Context, r chuterelay.Request) (chuterelay.Answer, error) {
	d.calls.Add(1)
	switch {
	case d.refuses.Load():
		return chuterelay.Answer{}, chuterelay.ErrRefused
	case d.silent.Load():
		return chuterelay.Answer{}, chuterelay.ErrNoAnswer
	}
	return chuterelay.Answer{Status: 200, Body: append([]byte("answer to "), r.Body...)}, nil
}

func (d *fakeTransport) Interrupt() {}

func (d *fakeTransport) Probe(ctx context.Context) error {
	_, err := d.Do(ctx, chuterelay.Request{})
	return err
}

func newRelay(t *testing.T, direct chuterelay.DirectTransport) (*chuterelay.Relay, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	relay, cleanUp := chuterelay.New(listener, direct, newLimiter(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	t.Cleanup(cleanUp)
	return relay, listener.Addr().String()
}

var request = chuterelay.Request{Method: "POST", Path: "/x", Body: []byte("one"), Timeout: time.Second}

func TestDirectAndRelayedRequests(t *testing.T) {
	cases := []struct {
		name                      string
		ownRefuses, ownSilent     bool
		peerRefuses, peerSilent   bool
		want                      error
		wantPeerAsked, wantDirect bool
	}{
		{name: "direct", wantDirect: true},
		{name: "direct refused, peer answers", ownRefuses: true, wantPeerAsked: true},
		{name: "direct silent, peer answers", ownSilent: true, wantPeerAsked: true},
		{name: "both refused", ownRefuses: true, peerRefuses: true, want: chuterelay.ErrRefused, wantPeerAsked: true, wantDirect: true},
		{name: "direct refused, peer silent", ownRefuses: true, peerSilent: true, want: chuterelay.ErrNoAnswer, wantPeerAsked: true, wantDirect: true},
		{name: "direct silent, peer refused", ownSilent: true, peerRefuses: true, want: chuterelay.ErrNoAnswer, wantPeerAsked: true, wantDirect: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			own, other := &fakeTransport{}, &fakeTransport{}
			own.refuses.Store(c.ownRefuses)
			own.silent.Store(c.ownSilent)
			other.refuses.Store(c.peerRefuses)
			other.silent.Store(c.peerSilent)
			relay, _ := newRelay(t, own)
			_, address := newRelay(t, other)
			relay.SetPeers([]string{address})
			answer, err := relay.Do(context.Background(), request)
			is.Equal(err, c.want)
			if err == nil {
				is.Equal(string(answer.Body), "answer to one")
			}
			is.Equal(other.calls.Load() > 0, c.wantPeerAsked)
			is.Equal(relay.DirectReachable(), c.wantDirect)
		})
	}
}

func TestPeerDoesNotRelayFurther(t *testing.T) {
	is := is.New(t)
	first, second, third := &fakeTransport{}, &fakeTransport{}, &fakeTransport{}
	first.refuses.Store(true)
	second.refuses.Store(true)
	own, _ := newRelay(t, first)
	middle, middleAddress := newRelay(t, second)
	_, lastAddress := newRelay(t, third)
	own.SetPeers([]string{middleAddress})
	middle.SetPeers([]string{lastAddress})
	_, err := own.Do(context.Background(), request)
	is.Equal(err, chuterelay.ErrRefused)
	is.Equal(third.calls.Load(), int64(0))
}

func TestDirectTransportIsUsedAgain(t *testing.T) {
	is := is.New(t)
	own, other := &fakeTransport{}, &fakeTransport{}
	own.refuses.Store(true)
	relay, _ := newRelay(t, own)
	_, address := newRelay(t, other)
	relay.SetPeers([]string{address})
	_, err := relay.Do(context.Background(), request)
	is.NoErr(err)
	is.True(!relay.DirectReachable())
	own.refuses.Store(false)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for tries := 0; !relay.DirectReachable() && tries < 500; tries++ {
		<-ticker.C
	}
	is.True(relay.DirectReachable())
}

func TestConcurrentRequestsGetMatchingAnswers(t *testing.T) {
	is := is.New(t)
	own, other := &fakeTransport{}, &fakeTransport{}
	own.refuses.Store(true)
	relay, _ := newRelay(t, own)
	_, address := newRelay(t, other)
	relay.SetPeers([]string{address})
	var wrong atomic.Int64
	group := conc.NewWaitGroup()
	for n := range 40 {
		group.Go(func() {
			body := []byte{byte('a' + n%26), byte('A' + n/26)}
			answer, err := relay.Do(context.Background(), chuterelay.Request{Method: "POST", Path: "/x", Body: body, Timeout: 5 * time.Second})
			if err != nil || string(answer.Body) != "answer to "+string(body) {
				wrong.Add(1)
			}
		})
	}
	group.Wait()
	is.Equal(wrong.Load(), int64(0))
}

func TestPeerStops(t *testing.T) {
	is := is.New(t)
	own, other := &fakeTransport{}, &fakeTransport{}
	own.refuses.Store(true)
	relay, _ := newRelay(t, own)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	_, cleanUp := chuterelay.New(listener, other, newLimiter(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	relay.SetPeers([]string{listener.Addr().String()})
	_, err = relay.Do(context.Background(), request)
	is.NoErr(err)
	cleanUp()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for tries := 0; err == nil && tries < 500; tries++ { // the connection closes some time after its listener
		<-ticker.C
		_, err = relay.Do(context.Background(), request)
	}
	is.True(err != nil)
	_, err = relay.Do(context.Background(), request) // no connection is open, so nothing can have been sent
	is.Equal(err, chuterelay.ErrRefused)
}

func TestNotices(t *testing.T) {
	is := is.New(t)
	own, _ := newRelay(t, &fakeTransport{})
	other, address := newRelay(t, &fakeTransport{})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, text := range []string{"one", "two"} {
		is.NoErr(own.SendNotice(ctx, address, []byte(text)))
		notice, ok := other.NextNotice(ctx)
		is.True(ok)
		is.Equal(string(notice), text)
	}
	is.Equal(own.SendNotice(ctx, "127.0.0.1:1", []byte("x")), chuterelay.ErrRefused)
	cancel()
	_, ok := other.NextNotice(ctx)
	is.True(!ok)
}

func TestUnconfirmedNotice(t *testing.T) {
	is := is.New(t)
	own, _ := newRelay(t, &fakeTransport{})
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never replies
	is.NoErr(err)
	defer func() { is.NoErr(listener.Close()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.True(own.SendNotice(ctx, listener.Addr().String(), []byte("x")) != nil)
}

// slowTransport is a fakeTransport with a delay.
type slowTransport struct {
	fakeTransport
	delay time.Duration
}

func (d *slowTransport) Do(ctx context.Context, r chuterelay.Request) (chuterelay.Answer, error) {
	timer := time.NewTimer(d.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.fakeTransport.Do(ctx, r)
}

func TestSilentTransportIsHedged(t *testing.T) {
	is := is.New(t)
	own := &slowTransport{delay: 3 * time.Second}
	own.silent.Store(true)
	other := &fakeTransport{}
	relay, _ := newRelay(t, own)
	_, address := newRelay(t, other)
	relay.SetPeers([]string{address})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	answer, err := relay.Do(ctx, request)
	is.NoErr(err)
	is.Equal(string(answer.Body), "answer to one")
	is.True(!relay.DirectReachable())
}

func TestLongPollIsNotHedged(t *testing.T) {
	is := is.New(t)
	own, other := &slowTransport{delay: 400 * time.Millisecond}, &fakeTransport{}
	relay, _ := newRelay(t, own)
	_, address := newRelay(t, other)
	relay.SetPeers([]string{address})
	longPoll := request
	longPoll.Wait = 2 * time.Second
	_, err := relay.Do(context.Background(), longPoll)
	is.NoErr(err)
	is.Equal(other.calls.Load(), int64(0))
	is.True(relay.DirectReachable())
}

// TestConcurrentShutdownOfPeers guards against a race between the end of a connection and the shutdown of the relay that
// serves it: 300 times, it stops a relay and four connected peers at once.
func TestConcurrentShutdownOfPeers(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for range 300 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_, cleanUp := chuterelay.New(listener, &fakeTransport{}, newLimiter(), log)
		var clients []func()
		for range 4 {
			own, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			relay, end := chuterelay.New(own, &fakeTransport{}, newLimiter(), log)
			if err := relay.SendNotice(context.Background(), listener.Addr().String(), []byte("x")); err != nil {
				t.Fatal(err)
			}
			clients = append(clients, end)
		}
		group := conc.NewWaitGroup()
		for _, end := range append(clients, cleanUp) {
			group.Go(end)
		}
		group.Wait()
	}
}

// waitingTransport answers no request before it times out.
type waitingTransport struct{}

func (waitingTransport) Do(_ context.Context, r chuterelay.Request) (chuterelay.Answer, error) {
	timer := time.NewTimer(r.Timeout)
	defer timer.Stop()
	<-timer.C
	return chuterelay.Answer{}, chuterelay.ErrNoAnswer
}

func (waitingTransport) Interrupt() {}

func (waitingTransport) Probe(context.Context) error { return chuterelay.ErrNoAnswer }

// TestARequestEndsInItsTimeWhereNothingAnswers guards against polls that stand for longer than a host may be out of contact.
func TestARequestEndsInItsTimeWhereNothingAnswers(t *testing.T) {
	is := is.New(t)
	relay, _ := newRelay(t, waitingTransport{})
	_, address := newRelay(t, waitingTransport{})
	relay.SetPeers([]string{address})
	poll := chuterelay.Request{Method: "GET", Path: "/x", Wait: 700 * time.Millisecond, Timeout: time.Second}
	ctx, cancel := context.WithTimeout(context.Background(), poll.Timeout+400*time.Millisecond)
	defer cancel()
	_, err := relay.Do(ctx, poll)
	is.Equal(err, chuterelay.ErrNoAnswer)
	is.NoErr(ctx.Err()) // it ended by itself
}
