package chutenode

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chutebackend"
	"monsoonchute.example/monsoonchute/chutebudget"
	"monsoonchute.example/monsoonchute/chuteconnection"
	"monsoonchute.example/monsoonchute/chutecore"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteexchange"
	"monsoonchute.example/monsoonchute/chutefront"
	"monsoonchute.example/monsoonchute/chutemetric"
	"monsoonchute.example/monsoonchute/chutepeer"
	"monsoonchute.example/monsoonchute/chutepressure"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutesettings"
	"monsoonchute.example/monsoonchute/chutestore"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutewire"
	"monsoonchute.example/monsoonchute/chuteworker"
)

// linkShare is the share of the descriptors from which the limit on connections of other hosts is derived, as a divisor.
const linkShare = 4

// Node is a running entry host.
type Node struct {
	frontAddress string
	peerAddress  string
	engine       *engine
}

// FrontAddress returns the address of the HTTP front end, host:port.
func (n Node) FrontAddress() string {
	return n.frontAddress
}

// PeerAddress returns the address of the listener for other entry hosts, host:port.
func (n Node) PeerAddress() string {
	return n.peerAddress
}

// New starts an entry host. The returned clean-up function performs a planned stop: the host accepts no new work,
// finishes the requests in progress, hands over its shards and closes its connections. New returns an error if it
// cannot listen on the front or the peer address.
func New(settings chutesettings.Settings, log *slog.Logger) (Node, func(), error) {
	frontListener, peerListener, err := listen(settings)
	if err != nil {
		return Node{}, nil, err
	}
	bootID := uuid.NewString()
	self := chutetable.HostRow{
		Host: chutetable.HostID(settings.HostID), PeerAddress: peerListener.Addr().String(),
		FrontAddress: frontListener.Addr().String(), BootID: bootID,
	}
	var cleanUps []func()
	addCleanUp := func(cleanUp func()) { cleanUps = append(cleanUps, cleanUp) }

	metrics, closeMetrics := chutemetric.New()
	addCleanUp(closeMetrics)
	eng := &engine{
		events: chutering.NewEvents("core", eventRingSize), exchanges: chuteexchange.New(), metrics: metrics,
		log: log, stopped: make(chan struct{}),
	}
	var cleanUp func()
	eng.store, cleanUp = chutestore.New(settings.StoreAddress, eng.events, log)
	addCleanUp(cleanUp)
	eng.workers, cleanUp = chuteworker.New(eng.events, log)
	addCleanUp(cleanUp)
	eng.backends, cleanUp = chutebackend.New(eng.events, eng.exchanges, log)
	addCleanUp(cleanUp)
	memory, files := int64(settings.MemoryMB)<<20, chutepressure.FileLimit(settings.MaxFiles)
	clientLimits := chutebudget.NewLimits(memory, files, chutefront.MaxConnections).WithConnections(settings.MaxConnections, settings.MaxConnectionsPerAddress)
	clients := chuteconnection.New("front", clientLimits, metrics, log)
	peers := chuteconnection.New("peer", chutebudget.NewLimits(memory, files/linkShare, chutepeer.MaxConnections).WithLargest(chutewire.MaxMessageBytes), metrics, log)
	eng.pressure = chutepressure.New(memory, files, metrics, log)
	eng.mesh, cleanUp = chutepeer.New(self.Host, peerListener, eng.events, peers, log)
	addCleanUp(cleanUp)
	group, cleanUp := chuteduty.New(log)
	addCleanUp(cleanUp)
	state := chutecore.New(self, seedFromBootID(bootID)).WithMemoryLimit(memory)
	group.Go("core", func(ctx context.Context) { eng.runCore(ctx, state) })
	group.Go("ticks", eng.runTicks)
	group.Go("front-report", clients.RunReports)
	group.Go("peer-report", peers.RunReports)
	group.Go("pressure", eng.pressure.Run)
	_, stopFront := chutefront.New(frontListener, eng.events, eng.exchanges, eng, metrics, metrics.Handler(), clients, log)
	log.Info("node: started", "host", self.Host, "front", self.FrontAddress, "peer", self.PeerAddress)
	return Node{frontAddress: self.FrontAddress, peerAddress: self.PeerAddress, engine: eng}, func() {
		eng.stop(time.Duration(settings.StopTimeout), time.Duration(settings.DrainDelay), stopFront)
		for i := len(cleanUps) - 1; i >= 0; i-- {
			cleanUps[i]()
		}
		log.Info("node: stopped", "host", self.Host)
	}, nil
}

// listen opens the listeners for the HTTP front end and for other entry hosts.
func listen(settings chutesettings.Settings) (frontListener, peerListener net.Listener, err error) {
	frontListener, err = chuteconnection.Open(settings.FrontAddress, chuteconnection.LargeReceiveBuffer)
	if err != nil {
		return nil, nil, errors.Wrap(err, "front-address")
	}
	peerListener, err = net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		_ = frontListener.Close()
		return nil, nil, errors.Wrap(err, "peer-address")
	}
	return frontListener, peerListener, nil
}

// seedFromBootID derives the core's random seed from the UUID of the process, so that processes have different seeds.
func seedFromBootID(bootID string) uint64 {
	id, err := uuid.Parse(bootID)
	if err != nil {
		return 1
	}
	seed := uint64(0)
	for _, b := range id[:8] {
		seed = seed<<8 | uint64(b)
	}
	return seed
}

// stop requests a planned stop from the core and waits for it up to the timeout. It then keeps the front end open for
// drainDelay, so that load balancers see the failing health check and late requests get a refusal instead of a broken
// connection.
func (e *engine) stop(timeout, drainDelay time.Duration, stopFront func(time.Duration)) {
	e.events.Offer(chuteevent.StopRequested{})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-e.stopped:
	case <-timer.C:
		e.log.Warn("node: the planned stop exceeded its timeout and was cut short")
	}
	drain := time.NewTimer(drainDelay)
	defer drain.Stop()
	<-drain.C
	stopFront(timeout)
}
