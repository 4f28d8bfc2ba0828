package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteformat"
	"monsoonchute.example/monsoonchute/chuteresult"
)

type documentCommand struct {
	Apply  applyCommand  `cmd:"" help:"Propose the file's sections as a change."`
	Show   showDocument  `cmd:"" help:"Show the document in force as TOML."`
	Status documentState `cmd:"" help:"Show which version each entry host has."`
}

type applyCommand struct {
	File     string `arg:"" type:"existingfile" help:"TOML file."`
	DryRun   bool   `help:"Show what the change would do."`
	Override bool   `help:"Ignore newer versions and other owners; this is recorded."`
}

// Run proposes the change.
func (c applyCommand) Run(e environment) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.WithStack(err)
	}
	return e.show(e.client.ApplyDocument(text, c.DryRun, c.Override))
}

type showDocument struct{}

// Run shows the document.
func (showDocument) Run(e environment) error {
	reply, err := e.client.ShowDocument()
	if err == nil && !e.json && reply.Document != nil {
		e.printf("%s", reply.Document.TOML)
	}
	return e.show(reply, err)
}

type documentState struct{}

// Run shows the versions.
func (documentState) Run(e environment) error {
	reply, err := e.client.Status()
	if err != nil || e.json || reply.Status == nil {
		return e.show(reply, err)
	}
	for _, h := range reply.Status.Hosts {
		e.printf("%s version %d live %t linked %t\n", h.Host, h.DocumentVersion, h.Live, h.Linked)
	}
	return nil
}

type zoneCommand struct {
	Out zoneOut `cmd:"" help:"Take an availability zone out of service."`
	In  zoneIn  `cmd:"" help:"Bring an availability zone back."`
}

type zoneChange struct {
	Name     string `arg:"" help:"Name of the availability zone."`
	Team     string `help:"Team that makes the change." default:"platform"`
	Override bool   `help:"Ignore that another team owns the section; this is recorded."`
}

type zoneOut struct{ zoneChange }

type zoneIn struct{ zoneChange }

// Run takes the zone out.
func (c zoneOut) Run(e environment) error {
	return e.show(e.client.SetZone(c.Name, "out", c.Team, c.Override))
}

// Run brings the zone back.
func (c zoneIn) Run(e environment) error {
	return e.show(e.client.SetZone(c.Name, "in", c.Team, c.Override))
}

type jobCommand struct {
	Submit  submitCommand  `cmd:"" help:"Submit a gang job."`
	Show    showJob        `cmd:"" help:"Show a job."`
	List    listJobs       `cmd:"" help:"List the jobs of all shards."`
	Cancel  cancelCommand  `cmd:"" help:"Cancel a job."`
	Explain explainCommand `cmd:"" help:"Tell why a job waits."`
}

type submitCommand struct {
	Name         string `arg:"" help:"Name of the job."`
	Workspace    string `required:"" help:"Workspace that it belongs to."`
	Parts        int    `default:"1" help:"Number of parts."`
	Accelerators int    `default:"1" help:"Adjacent accelerators of each part."`
	Within       string `default:"rack" enum:"worker,rack,zone" help:"What must hold all parts."`
	Urgent       bool   `help:"Start before other work, which may be stopped."`
	Repeatable   bool   `help:"May be started again after an interruption."`
	Checkpoint   bool   `help:"Can save its progress and resume."`
	Command      string `default:"run 2s" help:"Passed to the workers."`
}

// Run submits the job.
func (c submitCommand) Run(e environment) error {
	return e.show(e.client.SubmitJob(chuteformat.JobSpec{
		Name: c.Name, Workspace: c.Workspace, Parts: c.Parts, Accelerators: c.Accelerators, Within: c.Within,
		Urgent: c.Urgent, Repeatable: c.Repeatable, Checkpoint: c.Checkpoint, Command: c.Command,
	}))
}

type showJob struct {
	ID    string `arg:"" help:"Id of the job."`
	Watch bool   `help:"Show each change until the job ends."`
}

// Run shows the job.
func (c showJob) Run(e environment) error {
	if c.Watch {
		return e.watch(c.ID)
	}
	return e.show(e.client.ShowJob(c.ID))
}

type listJobs struct{}

// Run lists the jobs.
func (listJobs) Run(e environment) error {
	return e.show(e.client.ListJobs())
}

type cancelCommand struct {
	ID string `arg:"" help:"Id of the job."`
}

// Run cancels the job.
func (c cancelCommand) Run(e environment) error {
	return e.show(e.client.CancelJob(c.ID))
}

type explainCommand struct {
	ID string `arg:"" help:"Id of the job."`
}

// Run explains the job.
func (c explainCommand) Run(e environment) error {
	return e.show(e.client.ExplainJob(c.ID))
}

type workspaceCommand struct {
	List listWorkspaces `cmd:"" help:"List the workspaces."`
}

type listWorkspaces struct{}

// Run lists the workspaces.
func (listWorkspaces) Run(e environment) error {
	return e.show(e.client.ListWorkspaces())
}

type statusCommand struct{}

// Run shows the status.
func (statusCommand) Run(e environment) error {
	return e.show(e.client.Status())
}

// exitCode maps the end of a command to the process's exit code: 0 ran, 1 ran and failed or a local fault, 2 not run,
// 3 outcome unknown.
func exitCode(err error) int {
	var result chuteresult.Result
	switch {
	case err == nil:
		return 0
	case errors.As(err, &result):
		fmt.Fprintln(os.Stderr, "monsoonchute:", err)
		return result.Code.ExitCode()
	}
	fmt.Fprintln(os.Stderr, "monsoonchute:", err)
	return 1
}
