package main

import (
	"log/slog"
	"os"
	"syscall"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/platform"
	"monsoonchute.example/monsoonchute/platform/host"
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
	listeners, err := host.Listen(settings)
	if err != nil {
		return err
	}
	failed, cleanUp := host.Start(settings, listeners, log)
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
