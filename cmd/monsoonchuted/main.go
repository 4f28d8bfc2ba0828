// Command monsoonchuted is the daemon that runs an entry host.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"monsoonchute.example/monsoonchute"
	"monsoonchute.example/monsoonchute/chutesettings"
)

// signalSource delivers the signals that the process has received since its start.
type signalSource <-chan os.Signal

// command is the daemon's command line.
type command struct {
	Serve    serveCommand    `cmd:"" default:"withargs" help:"Run an entry host with settings from a TOML file."`
	Platform platformCommand `cmd:"" help:"Run an entry host on the users' platform, with the settings file that the platform names."`
}

// serveCommand runs an entry host that serves the project's own HTTP API, that of package chutefront.
type serveCommand struct {
	Settings string `help:"TOML file with the settings." required:"" type:"existingfile"`
	Check    bool   `help:"Check the settings and exit."`
}

// memoryShare is the share of the memory limit of the process that the Go runtime gets as its soft limit. Near the soft
// limit, the runtime collects garbage more often.
const memoryShare = 0.6

// signalQueue is the number of signals that the process keeps until a command handles them.
const signalQueue = 4

func main() {
	// Signals are kept from the first step on: one that arrives while the host starts still causes a planned stop.
	signals := make(chan os.Signal, signalQueue)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	var c command
	parsed := kong.Parse(&c,
		kong.Description("Runs an entry host until it is interrupted, then stops it as planned."),
		kong.Bind(signalSource(signals)))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "monsoonchuted:", err)
		os.Exit(1)
	}
}

// Run runs the entry host until the process gets an interrupt or a termination signal, then performs a planned stop.
func (c serveCommand) Run(signals signalSource) error {
	settings, err := chutesettings.Load(c.Settings)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Println("settings are valid")
		return nil
	}
	level, err := settings.Level()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryShare))
	_, cleanUp, err := monsoonchute.New(settings, monsoonchute.WithLog(log))
	if err != nil {
		return err
	}
	for s := range signals {
		if s == syscall.SIGHUP {
			log.Info("settings: SIGHUP received; changes take effect at the next start")
			continue
		}
		break
	}
	cleanUp()
	return nil
}
