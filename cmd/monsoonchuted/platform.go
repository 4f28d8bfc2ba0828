package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
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
	// maxTakeoverJitter is the upper bound of the delay with which a host takes over from a silent leader. It prevents
	// all hosts from trying at the same time.
	maxTakeoverJitter = 200 * time.Millisecond
	// drainShare is the share of the grace period during which a stopping host still accepts calls.
	drainShare = 0.45
	// memoryShare is the share of the memory limit of the process that the Go runtime gets as its soft limit. Near the
	// soft limit, the runtime collects garbage more often.
	memoryShare = 0.6
	// finishShare is the share of the grace period during which calls in progress may finish.
	finishShare = 0.3
	// answerShare is the share of the time for finishing after which calls in progress get a response even if they have
	// not finished.
	answerShare = 0.8
)

// platformCommand runs an entry host on the users' platform.
type platformCommand struct {
	Check bool `help:"Check the settings and exit."`
}

// Run runs the entry host until the process gets an interrupt or a termination signal, then performs a planned stop. It
// returns an error if the settings are invalid, the host cannot start, or a duty of the daemon has panicked. On SIGHUP
// it validates the settings again.
func (c platformCommand) Run(signals signalSource) error {
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
			return errors.New("a duty of the daemon has panicked")
		case s := <-signals:
			if s == syscall.SIGHUP {
				reloadSettings(settings, log)
				continue
			}
			log.Info("daemon: signal received, the planned stop begins", "signal", s.String())
			cleanUp()
			log.Info("daemon: stopped")
			return nil
		}
	}
}

// reloadSettings reads and validates the settings again and logs whether they differ. The running host keeps its
// settings, since none of them can change at run time.
func reloadSettings(current platform.Settings, log *slog.Logger) {
	settings, err := platform.LoadSettings()
	if err != nil {
		log.Warn("settings: new settings are invalid; the host keeps its current settings", "error", err.Error())
		return
	}
	log.Info("settings: reloaded and valid; changes take effect at the next start", "changed", settings != current)
}

// startPlatform starts all parts of an entry host. It returns a channel that is closed when a duty of the daemon has
// panicked, and a clean-up function that performs a planned stop.
func startPlatform(settings platform.Settings, log *slog.Logger) (<-chan struct{}, func(), error) {
	listeners, err := openListeners(settings)
	if err != nil {
		return nil, nil, err
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * memoryShare))
	}
	processID := uuid.NewString()
	metrics, closeMetrics := chutemetric.New()
	direct, closeDirect := store.NewDirectTransport(settings.StoreAddress)
	relay, closeRelay := chuterelay.New(listeners.relay, direct, log)
	workers, closeWorkers := fleet.NewWorkers(settings.ApprovalAddress)
	machines, closeMachines := fleet.NewMachines(settings.Host, settings.MachinesAddress)
	core := chuteentry.Settings{
		Host: settings.Host, Process: processID, RelayAddress: settings.RelayAddress, CPUShare: settings.CPULimit,
		Jitter: takeoverJitter(settings.Host), Bounds: settings.Bounds,
	}
	finishTimeout := time.Duration(float64(settings.GracePeriod) * finishShare)
	daemon, stopDaemon := chutedaemon.New(core, chutedaemon.Dependencies{
		Store: store.NewStore(relay), Workers: workers, Machines: machines, Peers: relay,
	}, metrics, log, finishTimeout)
	group, stopGroup := chuteduty.New(log)
	frontServer, stopFront := front.New(listeners.front, daemon, log, group.Go)
	stopReady := front.ServeReady(listeners.ready, daemon, log, group.Go)
	serveMetrics(listeners.metrics, metrics, group, log)
	log.Info("daemon: started", "process", processID, "zone", settings.Zone,
		"front", settings.FrontAddress, "store", settings.StoreAddress)
	return daemon.Failed(), func() {
		drainDelay := time.Duration(float64(settings.GracePeriod) * drainShare)
		daemon.BeginStop(drainDelay + time.Duration(float64(finishTimeout)*answerShare))
		frontServer.DisableKeepAlive()
		drainTimer := time.NewTimer(drainDelay)
		defer drainTimer.Stop()
		<-drainTimer.C
		stopFront(finishTimeout)
		stopReady()
		stopDaemon()
		closeWorkers()
		closeMachines()
		closeRelay()
		closeDirect()
		closeMetrics()
		_ = listeners.metrics.Close()
		stopGroup()
	}, nil
}

// takeoverJitter returns a delay below maxTakeoverJitter that is derived from the host's name, so that it differs
// between hosts.
func takeoverJitter(host string) time.Duration {
	return time.Duration(xxhash.Sum64String(host) % uint64(maxTakeoverJitter))
}

type listenerSet struct {
	front   net.Listener
	ready   net.Listener
	metrics net.Listener
	relay   net.Listener
}

// close closes the listeners that are open.
func (s listenerSet) close() {
	for _, l := range []net.Listener{s.front, s.ready, s.metrics, s.relay} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// openListeners opens all listeners of an entry host, or none. The error names the listener that failed.
func openListeners(settings platform.Settings) (listenerSet, error) {
	var opened listenerSet
	for _, l := range []struct {
		name     string
		address  string
		listener *net.Listener
	}{
		{"front", settings.FrontAddress, &opened.front},
		{"ready", settings.ReadyAddress, &opened.ready},
		{"metrics", settings.MetricsAddress, &opened.metrics},
		{"relay", settings.RelayAddress, &opened.relay},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			opened.close()
			return listenerSet{}, errors.Wrap(err, l.name)
		}
		*l.listener = listener
	}
	return opened, nil
}

// serveMetrics starts a duty that serves the metrics at /metrics.
func serveMetrics(listener net.Listener, metrics *chutemetric.Metrics, group *chuteduty.Group, log *slog.Logger) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	group.Go("metrics", func(context.Context) {
		if err := server.Serve(listener); err != nil && !errors.Is(err, net.ErrClosed) {
			log.Error("metrics: HTTP listener failed", "error", err.Error())
		}
	})
}
