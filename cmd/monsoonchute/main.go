// Command monsoonchute is the command-line client for operators.
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
	EntryHost []string `help:"Address of an entry host; may be repeated, and the next one is tried if one refuses the call." default:"127.0.0.1:7070" env:"MONSOONCHUTE_ENTRY_HOST"`
	Output    string   `help:"Format of the output." enum:"text,json" default:"text"`
	RequestID string   `help:"Request id of the call; entry hosts recognise a repeated call by its id."`

	Dev       devCommand        `cmd:"" help:"Run entry hosts with stand-ins for the platform, the workers and the backend servers."`
	Document  documentCommand   `cmd:"" help:"Change or show the operators' document."`
	Zone      zoneCommand       `cmd:"" help:"Take availability zones out of service and back."`
	Job       jobCommand        `cmd:"" help:"Submit, show and cancel jobs."`
	Workspace workspaceCommand  `cmd:"" help:"List workspaces."`
	Explain   explainJobCommand `cmd:"" help:"Show where a job of the platform would go now and why, as the leading host decides."`
	Trace     traceCommand      `cmd:"" help:"Show what happened to a job, from the logs of entry hosts."`
	Status    statusCommand     `cmd:"" help:"Show what an entry host knows of hosts, shards and backend servers."`
}

// environment holds what all commands use: the client, the output and its format.
type environment struct {
	client *chuteclient.Client
	json   bool
	out    io.Writer
}

// printf writes to the output and ignores write errors.
func (e environment) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(e.out, format, values...)
}

func main() {
	var c command
	parsed := kong.Parse(&c, kong.Name("monsoonchute"), kong.Description("Operates a monsoonchute system."), kong.UsageOnError())
	var options []chuteclient.Option
	if c.RequestID != "" {
		options = append(options, chuteclient.WithRequestID(c.RequestID))
	}
	e := environment{client: chuteclient.New(c.EntryHost, options...), json: c.Output == "json", out: os.Stdout}
	err := parsed.Run(e)
	os.Exit(reportError(err))
}
