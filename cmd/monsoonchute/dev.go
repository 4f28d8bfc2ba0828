package main

import (
	"encoding/json"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chutedev"
)

type devCommand struct {
	JSON  bool          `name:"json" help:"Print the addresses as one JSON line."`
	For   time.Duration `help:"Stop after this time." placeholder:"5s"`
	Hosts int           `help:"Number of entry hosts; with 0, only the stand-ins run, for separate daemons." default:"2"`
	Logs  bool          `help:"Write the entry hosts' logs to standard error."`
}

// clusterAddresses are the addresses of a development cluster, each host:port, and the name of its service.
type clusterAddresses struct {
	EntryHosts []string `json:"entry-hosts"`
	Platform   string   `json:"platform"`
	Workers    []string `json:"workers"`
	Backends   []string `json:"backend-servers"`
	Service    string   `json:"service"`
}

// Run runs a development cluster until the process is interrupted or the time given by For is over, then performs a
// planned stop.
func (c devCommand) Run(e environment) error {
	level := slog.LevelError
	if c.Logs {
		level = slog.LevelInfo
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	cluster, cleanUp, err := chutedev.New(log, chutedev.WithHosts(c.Hosts))
	if err != nil {
		return err
	}
	defer cleanUp()
	if c.Hosts > 0 {
		if err := cluster.ApplySample(); err != nil {
			return err
		}
	}
	if err := c.printAddresses(e, cluster); err != nil {
		return err
	}
	c.waitForEnd()
	return nil
}

// printAddresses prints the addresses of the cluster as text or JSON.
func (c devCommand) printAddresses(e environment, cluster *chutedev.Cluster) error {
	a := clusterAddresses{EntryHosts: cluster.FrontAddresses(), Platform: cluster.Platform.Address(), Service: chutedev.Service}
	for _, w := range cluster.Workers {
		a.Workers = append(a.Workers, w.Address())
	}
	for _, b := range cluster.Backends {
		a.Backends = append(a.Backends, b.Address())
	}
	if c.JSON || e.json {
		encoded, err := json.Marshal(a)
		if err != nil {
			return errors.WithStack(err)
		}
		e.printf("%s\n", encoded)
		return nil
	}
	for _, address := range a.EntryHosts {
		e.printf("entry host       %s\n", address)
	}
	e.printf("platform         %s\n", a.Platform)
	for _, address := range a.Workers {
		e.printf("worker           %s\n", address)
	}
	for _, address := range a.Backends {
		e.printf("backend server   %s of service %s\n", address, a.Service)
	}
	e.printf("no TLS and no tokens: for development only\n")
	return nil
}

// waitForEnd blocks until the process is interrupted or the time given by For is over.
func (c devCommand) waitForEnd() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	if c.For <= 0 {
		<-signals
		return
	}
	timer := time.NewTimer(c.For)
	defer timer.Stop()
	select {
	case <-signals:
	case <-timer.C:
	}
}
