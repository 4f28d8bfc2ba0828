// Command monsoonchute is the operators' client.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"monsoonchute.example/monsoonchute/chuteclient"
)

// command is the client's command line.
type command struct {
	EntryHost []string `help:"Address of an entry host; the next one is tried on refusal." default:"127.0.0.1:7070" env:"MONSOONCHUTE_ENTRY_HOST"`
	Output    string   `help:"Form of the output." enum:"text,json" default:"text"`
	RequestID string   `help:"Id of the call; a repeated call with the same id finds the first one."`

	Dev       devCommand       `cmd:"" help:"Run two entry hosts and stand-ins of everything round them."`
	Document  documentCommand  `cmd:"" help:"The operators' document."`
	Zone      zoneCommand      `cmd:"" help:"Availability zones."`
	Job       jobCommand       `cmd:"" help:"Jobs."`
	Workspace workspaceCommand `cmd:"" help:"Workspaces."`
	Trace     traceCommand     `cmd:"" help:"Tell from the logs of entry hosts what happened to a job."`
	Status    statusCommand    `cmd:"" help:"What an entry host knows of hosts, shards and backend servers."`
}

// environment is what a command runs with.
type environment struct {
	client *chuteclient.Client
	json   bool
	out    io.Writer
}

// printf writes to the output; what cannot be written there is lost, as with any command.
func (e environment) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(e.out, format, values...)
}

func main() {
	var c command
	context := kong.Parse(&c, kong.Name("monsoonchute"), kong.Description("Operates a monsoonchute system."), kong.UsageOnError())
	var options []chuteclient.Option
	if c.RequestID != "" {
		options = append(options, chuteclient.WithRequestID(c.RequestID))
	}
	e := environment{client: chuteclient.New(c.EntryHost, options...), json: c.Output == "json", out: os.Stdout}
	err := context.Run(e)
	os.Exit(exitCode(err))
}
