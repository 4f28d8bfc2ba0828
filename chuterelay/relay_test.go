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

	"monsoonchute.example/monsoonchute/chuterelay"
)

// fakeDirect answers, refuses or stays silent.
type fakeDirect struct {
	refuses atomic.Bool
	silent  atomic.Bool
	calls   atomic.Int64
}

func (d *fakeDirect) Do(_ context.Context, r chuterelay.Request) (chuterelay.Answer, error) {
	d.calls.Add(1)
	switch {
	case d.refuses.Load():
		return chuterelay.Answer{}, chuterelay.ErrRefused
	case d.silent.Load():
		return chuterelay.Answer{}, chuterelay.ErrNoAnswer
	}
	return chuterelay.Answer{Status: 200, Body: append([]byte("answer to "), r.Body...)}, nil
}

func (d *fakeDirect) Interrupt() {}

func (d *fakeDirect) Probe(ctx context.Context) error {
	_, err := d.Do(ctx, chuterelay.Request{})
	return err
}

func newPaths(t *testing.T, direct chuterelay.Direct) (*chuterelay.Paths, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	paths, cleanUp := chuterelay.New(listener, direct, slog.New(slog.NewTextHandler(io.Discard, nil)))
	t.Cleanup(cleanUp)
	return paths, listener.Addr().String()
}

var request = chuterelay.Request{Method: "POST", Path: "/x", Body: []byte("one"), Timeout: time.Second}

func TestWaysToTheStore(t *testing.T) {
	cases := []struct {
		name                      string
		ownRefuses, ownSilent     bool
		peerRefuses, peerSilent   bool
		want                      error
		wantPeerAsked, wantDirect bool
	}{
		{name: "direct", wantDirect: true},
		{name: "refused, a peer answers", ownRefuses: true, wantPeerAsked: true},
		{name: "silent, a peer answers", ownSilent: true, wantPeerAsked: true},
		{name: "both refused", ownRefuses: true, peerRefuses: true, want: chuterelay.ErrRefused, wantPeerAsked: true, wantDirect: true},
		{name: "refused, peer silent", ownRefuses: true, peerSilent: true, want: chuterelay.ErrNoAnswer, wantPeerAsked: true, wantDirect: true},
		{name: "silent, peer refused", ownSilent: true, peerRefuses: true, want: chuterelay.ErrNoAnswer, wantPeerAsked: true, wantDirect: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			own, other := &fakeDirect{}, &fakeDirect{}
			own.refuses.Store(c.ownRefuses)
			own.silent.Store(c.ownSilent)
			other.refuses.Store(c.peerRefuses)
			other.silent.Store(c.peerSilent)
			paths, _ := newPaths(t, own)
			_, address := newPaths(t, other)
			paths.SetPeers([]string{address})
			answer, err := paths.Do(context.Background(), request)
			is.Equal(err, c.want)
			if err == nil {
				is.Equal(string(answer.Body), "answer to one")
			}
			is.Equal(other.calls.Load() > 0, c.wantPeerAsked)
			is.Equal(paths.Direct(), c.wantDirect)
		})
	}
}

func TestPeerDoesNotPassRequestsOn(t *testing.T) {
	is := is.New(t)
	first, second, third := &fakeDirect{}, &fakeDirect{}, &fakeDirect{}
	first.refuses.Store(true)
	second.refuses.Store(true)
	own, _ := newPaths(t, first)
	middle, middleAddress := newPaths(t, second)
	_, lastAddress := newPaths(t, third)
	own.SetPeers([]string{middleAddress})
	middle.SetPeers([]string{lastAddress})
	_, err := own.Do(context.Background(), request)
	is.Equal(err, chuterelay.ErrRefused)
	is.Equal(third.calls.Load(), int64(0))
}

func TestDirectWayIsTakenAgain(t *testing.T) {
	is := is.New(t)
	own, other := &fakeDirect{}, &fakeDirect{}
	own.refuses.Store(true)
	paths, _ := newPaths(t, own)
	_, address := newPaths(t, other)
	paths.SetPeers([]string{address})
	_, err := paths.Do(context.Background(), request)
	is.NoErr(err)
	is.True(!paths.Direct())
	own.refuses.Store(false)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for tries := 0; !paths.Direct() && tries < 500; tries++ {
		<-ticker.C
	}
	is.True(paths.Direct())
}

func TestManyRequestsGetTheirOwnAnswers(t *testing.T) {
	is := is.New(t)
	own, other := &fakeDirect{}, &fakeDirect{}
	own.refuses.Store(true)
	paths, _ := newPaths(t, own)
	_, address := newPaths(t, other)
	paths.SetPeers([]string{address})
	var wrong atomic.Int64
	group := conc.NewWaitGroup()
	for n := range 40 {
		group.Go(func() {
			body := []byte{byte('a' + n%26), byte('A' + n/26)}
			answer, err := paths.Do(context.Background(), chuterelay.Request{Method: "POST", Path: "/x", Body: body, Timeout: 5 * time.Second})
			if err != nil || string(answer.Body) != "answer to "+string(body) {
				wrong.Add(1)
			}
		})
	}
	group.Wait()
	is.Equal(wrong.Load(), int64(0))
}

func TestPeerThatEndsMidway(t *testing.T) {
	is := is.New(t)
	own, other := &fakeDirect{}, &fakeDirect{}
	own.refuses.Store(true)
	paths, _ := newPaths(t, own)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	_, cleanUp := chuterelay.New(listener, other, slog.New(slog.NewTextHandler(io.Discard, nil)))
	paths.SetPeers([]string{listener.Addr().String()})
	_, err = paths.Do(context.Background(), request)
	is.NoErr(err)
	cleanUp()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for tries := 0; err == nil && tries < 500; tries++ { // the connection closes soon after its listener
		<-ticker.C
		_, err = paths.Do(context.Background(), request)
	}
	is.True(err != nil)
	_, err = paths.Do(context.Background(), request) // now nothing can have been sent
	is.Equal(err, chuterelay.ErrRefused)
}

func TestNotices(t *testing.T) {
	is := is.New(t)
	own, _ := newPaths(t, &fakeDirect{})
	other, address := newPaths(t, &fakeDirect{})
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

func TestNoticeOnASilentConnection(t *testing.T) {
	is := is.New(t)
	own, _ := newPaths(t, &fakeDirect{})
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts, and says nothing
	is.NoErr(err)
	defer func() { is.NoErr(listener.Close()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.True(own.SendNotice(ctx, listener.Addr().String(), []byte("x")) != nil)
}

// slowDirect answers after a delay.
type slowDirect struct {
	fakeDirect
	delay time.Duration
}

func (d *slowDirect) Do(ctx context.Context, r chuterelay.Request) (chuterelay.Answer, error) {
	timer := time.NewTimer(d.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.fakeDirect.Do(ctx, r)
}

func TestSilentWayIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	own := &slowDirect{delay: 3 * time.Second}
	own.silent.Store(true)
	other := &fakeDirect{}
	paths, _ := newPaths(t, own)
	_, address := newPaths(t, other)
	paths.SetPeers([]string{address})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	answer, err := paths.Do(ctx, request)
	is.NoErr(err)
	is.Equal(string(answer.Body), "answer to one")
	is.True(!paths.Direct())
}

func TestStoreThatMayWaitIsNotSilent(t *testing.T) {
	is := is.New(t)
	own, other := &slowDirect{delay: 400 * time.Millisecond}, &fakeDirect{}
	paths, _ := newPaths(t, own)
	_, address := newPaths(t, other)
	paths.SetPeers([]string{address})
	waiting := request
	waiting.Wait = 2 * time.Second
	_, err := paths.Do(context.Background(), waiting)
	is.NoErr(err)
	is.Equal(other.calls.Load(), int64(0))
	is.True(paths.Direct())
}

// TestConnectionsThatEndWithTheirHost ends hosts at the moment at which their connections end as well.
func TestConnectionsThatEndWithTheirHost(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for range 300 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_, cleanUp := chuterelay.New(listener, &fakeDirect{}, log)
		var clients []func()
		for range 4 {
			own, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			paths, end := chuterelay.New(own, &fakeDirect{}, log)
			if err := paths.SendNotice(context.Background(), listener.Addr().String(), []byte("x")); err != nil {
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
