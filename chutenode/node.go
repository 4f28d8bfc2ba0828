package chutenode

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chutebackend"
	"monsoonchute.example/monsoonchute/chutecore"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteexchange"
	"monsoonchute.example/monsoonchute/chutefront"
	"monsoonchute.example/monsoonchute/chutemetric"
	"monsoonchute.example/monsoonchute/chutepeer"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutesettings"
	"monsoonchute.example/monsoonchute/chutestore"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chuteworker"
)

// Node is a running entry host.
type Node struct {
	front  string
	peer   string
	engine *engine
}

// FrontAddress returns the address of the HTTP front end.
func (n Node) FrontAddress() string {
	return n.front
}

// PeerAddress returns the address of the peer listener.
func (n Node) PeerAddress() string {
	return n.peer
}

// New starts an entry host, and returns a clean-up function that stops it as planned: it takes nothing new, finishes
// what is in progress, hands over its shards and closes.
func New(settings chutesettings.Settings, log *slog.Logger) (Node, func(), error) {
	front, peer, err := listen(settings)
	if err != nil {
		return Node{}, nil, err
	}
	boot := uuid.NewString()
	self := chutetable.HostRow{
		Host: chutetable.HostID(settings.HostID), PeerAddress: peer.Addr().String(), FrontAddress: front.Addr().String(), Boot: boot,
	}
	var cleanUps []func()
	push := func(cleanUp func()) { cleanUps = append(cleanUps, cleanUp) }

	metrics, endMetrics := chutemetric.New()
	push(endMetrics)
	e := &engine{
		events: chutering.NewEvents("core", eventRingSize), exchanges: chuteexchange.New(), metrics: metrics,
		log: log, stopped: make(chan struct{}),
	}
	var end func()
	e.store, end = chutestore.New(settings.StoreAddress, e.events, log)
	push(end)
	e.workers, end = chuteworker.New(e.events, log)
	push(end)
	e.backends, end = chutebackend.New(e.events, e.exchanges, log)
	push(end)
	e.mesh, end = chutepeer.New(self.Host, peer, e.events, log)
	push(end)
	group, end := chuteduty.New(log)
	push(end)
	state := chutecore.New(self, seedOf(boot))
	group.Go("core", func(ctx context.Context) { e.runCore(ctx, state) })
	group.Go("ticks", e.runTicks)
	_, endFront := chutefront.New(front, e.events, e.exchanges, e, metrics, metrics.Handler(), log)
	log.Info("node: started", "host", self.Host, "front", self.FrontAddress, "peer", self.PeerAddress)
	return Node{front: self.FrontAddress, peer: self.PeerAddress, engine: e}, func() {
		e.stop(time.Duration(settings.StopTimeout), time.Duration(settings.DrainDelay), endFront)
		for i := len(cleanUps) - 1; i >= 0; i-- {
			cleanUps[i]()
		}
		log.Info("node: stopped", "host", self.Host)
	}, nil
}

func listen(settings chutesettings.Settings) (front, peer net.Listener, err error) {
	front, err = net.Listen("tcp", settings.FrontAddress)
	if err != nil {
		return nil, nil, errors.Wrap(err, "front-address")
	}
	peer, err = net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		_ = front.Close()
		return nil, nil, errors.Wrap(err, "peer-address")
	}
	return front, peer, nil
}

// seedOf returns a seed that differs between processes.
func seedOf(boot string) uint64 {
	id, err := uuid.Parse(boot)
	if err != nil {
		return 1
	}
	seed := uint64(0)
	for _, b := range id[:8] {
		seed = seed<<8 | uint64(b)
	}
	return seed
}

// stop asks the core for a planned stop, waits for it up to the timeout, and closes the front end after the delay, in
// which the balancer sees the health check and late connections are refused instead of cut.
func (e *engine) stop(timeout, drainDelay time.Duration, endFront func(time.Duration)) {
	e.events.Offer(chuteevent.StopRequested{})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-e.stopped:
	case <-timer.C:
		e.log.Warn("node: the planned stop took too long and is cut short")
	}
	drain := time.NewTimer(drainDelay)
	defer drain.Stop()
	<-drain.C
	endFront(timeout)
}
