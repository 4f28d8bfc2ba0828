package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chutedaemon"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chuteentry"
	"monsoonchute.example/monsoonchute/chutemetric"
	"monsoonchute.example/monsoonchute/chuterelay"
	"monsoonchute.example/monsoonchute/platform"
	"monsoonchute.example/monsoonchute/platform/fleet"
	"monsoonchute.example/monsoonchute/platform/front"
	"monsoonchute.example/monsoonchute/platform/store"
)

const (
	// maxTakeoverJitter spreads the moments at which hosts take over from a silent leader.
	maxTakeoverJitter = 200 * time.Millisecond
	// drainShare is the part of the grace during which a stopping host still takes calls.
	drainShare = 0.45
	// memoryShare is the part of the memory limit at which garbage is collected in any case.
	memoryShare = 0.6
	// finishShare is the part of the grace in which calls in progress may end.
	finishShare = 0.3
	// answerShare is the part of that time in which they are answered in any case.
	answerShare = 0.8
)

// platformCommand runs an entry host on the users' platform.
type platformCommand struct {
	Check bool `help:"Check the settings and exit."`
}

// Run runs the entry host until it is told to stop.
func (c platformCommand) Run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewJSONHandler(os.Stdout, nil)).With("host", settings.Host)
	if c.Check {
		log.Info("settings: valid", "zone", settings.Zone, "store", settings.StoreAddress)
		return nil
	}
	failed, cleanUp, err := startPlatform(settings, log)
	if err != nil {
		return err
	}
	for {
		select {
		case <-failed:
			return errors.New("a part of the daemon has ended by a fault")
		case s := <-signals:
			if s == syscall.SIGHUP {
				reload(settings, log)
				continue
			}
			log.Info("daemon: told to stop", "signal", s.String())
			cleanUp()
			log.Info("daemon: stopped")
			return nil
		}
	}
}

// reload reads the settings anew. What a running host uses of them cannot change, so that a difference is only told.
func reload(former platform.Settings, log *slog.Logger) {
	settings, err := platform.LoadSettings()
	if err != nil {
		log.Warn("settings: new ones are not valid, the former stay in force", "error", err.Error())
		return
	}
	log.Info("settings: read anew", "changed", settings != former)
}

// startPlatform starts all parts of an entry host. It returns a channel that is closed when one of them has ended by a
// fault, and a clean-up function that stops them as planned.
func startPlatform(settings platform.Settings, log *slog.Logger) (<-chan struct{}, func(), error) {
	listeners, err := listenAll(settings)
	if err != nil {
		return nil, nil, err
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * memoryShare))
	}
	process := uuid.NewString()
	metrics, endMetrics := chutemetric.New()
	direct, endDirect := store.NewDirectTransport(settings.StoreAddress)
	paths, endPaths := chuterelay.New(listeners.relay, direct, log)
	workers, endWorkers := fleet.NewWorkers(settings.ApprovalAddress)
	machines, endMachines := fleet.NewMachines(settings.Host, settings.MachinesAddress)
	core := chuteentry.Settings{
		Host: settings.Host, Process: process, RelayAddress: settings.RelayAddress, CPUShare: settings.CPULimit,
		Jitter: jitterOf(settings.Host), Bounds: settings.Bounds,
	}
	finish := time.Duration(float64(settings.GracePeriod) * finishShare)
	daemon, endDaemon := chutedaemon.New(core, chutedaemon.Dependencies{
		Store: store.NewStore(paths), Workers: workers, Machines: machines, Peers: paths,
	}, metrics, log, finish)
	group, endGroup := chuteduty.New(log)
	clients, endFront := front.New(listeners.front, daemon, log, group.Go)
	endReady := front.ServeReady(listeners.ready, daemon, log, group.Go)
	serveMetrics(listeners.metrics, metrics, group, log)
	log.Info("daemon: started", "process", process, "zone", settings.Zone, "front", settings.FrontAddress, "store", settings.StoreAddress)
	return daemon.Failed(), func() {
		draining := time.Duration(float64(settings.GracePeriod) * drainShare)
		daemon.BeginStop(draining + time.Duration(float64(finish)*answerShare))
		clients.DisableKeepAlive()
		drain := time.NewTimer(draining)
		defer drain.Stop()
		<-drain.C
		endFront(finish)
		endReady()
		endDaemon()
		endWorkers()
		endMachines()
		endPaths()
		endDirect()
		endMetrics()
		_ = listeners.metrics.Close()
		endGroup()
	}, nil
}

// jitterOf returns a time below the longest jitter that differs from host to host.
func jitterOf(host string) time.Duration {
	return time.Duration(xxhash.Sum64String(host) % uint64(maxTakeoverJitter))
}

type listenerSet struct {
	front   net.Listener
	ready   net.Listener
	metrics net.Listener
	relay   net.Listener
}

func listenAll(settings platform.Settings) (listenerSet, error) {
	var set listenerSet
	var err error
	if set.front, err = net.Listen("tcp", settings.FrontAddress); err != nil {
		return set, errors.Wrap(err, "front")
	}
	if set.ready, err = net.Listen("tcp", settings.ReadyAddress); err != nil {
		return set, errors.Wrap(err, "ready")
	}
	if set.metrics, err = net.Listen("tcp", settings.MetricsAddress); err != nil {
		return set, errors.Wrap(err, "metrics")
	}
	if set.relay, err = net.Listen("tcp", settings.RelayAddress); err != nil {
		return set, errors.Wrap(err, "relay")
	}
	return set, nil
}

func serveMetrics(listener net.Listener, metrics *chutemetric.Metrics, group *chuteduty.Group, log *slog.Logger) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	group.Go("metrics", func(context.Context) {
		if err := server.Serve(listener); err != nil && !errors.Is(err, net.ErrClosed) {
			log.Error("metrics: listener ended", "error", err.Error())
		}
	})
}
