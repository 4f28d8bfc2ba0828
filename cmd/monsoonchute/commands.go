package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteform"
	"monsoonchute.example/monsoonchute/chuteresult"
)

type documentCommand struct {
	Apply  applyCommand          `cmd:"" help:"Propose the sections of a file as a change."`
	Show   showDocumentCommand   `cmd:"" help:"Show the document in force as TOML."`
	Status documentStatusCommand `cmd:"" help:"Show the document's version on each entry host."`
}

type applyCommand struct {
	File     string `arg:"" type:"existingfile" help:"TOML file."`
	DryRun   bool   `help:"Show the effect of the change without making it."`
	Override bool   `help:"Apply the change despite newer versions and sections of other teams; this is recorded."`
}

// Run proposes the sections of the file as a change of the document.
func (c applyCommand) Run(e environment) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.WithStack(err)
	}
	return e.printReply(e.client.ApplyDocument(text, c.DryRun, c.Override))
}

type showDocumentCommand struct{}

// Run prints the document in force.
func (showDocumentCommand) Run(e environment) error {
	reply, err := e.client.ShowDocument()
	if err == nil && !e.json && reply.Document != nil {
		e.printf("%s", reply.Document.TOML)
	}
	return e.printReply(reply, err)
}

type documentStatusCommand struct{}

// Run prints the version of the document on each entry host.
func (documentStatusCommand) Run(e environment) error {
	reply, err := e.client.Status()
	if err != nil || e.json || reply.Status == nil {
		return e.printReply(reply, err)
	}
	for _, h := range reply.Status.Hosts {
		e.printf("%s version %d live %t linked %t\n", h.Host, h.DocumentVersion, h.Live, h.Linked)
	}
	return nil
}

type zoneCommand struct {
	Out zoneOutCommand `cmd:"" help:"Take an availability zone out of service."`
	In  zoneInCommand  `cmd:"" help:"Bring an availability zone back into service."`
}

type zoneChange struct {
	Name     string `arg:"" help:"Name of the availability zone."`
	Team     string `help:"Team that makes the change." default:"platform"`
	Override bool   `help:"Make the change even if another team owns the section; this is recorded."`
}

type zoneOutCommand struct{ zoneChange }

type zoneInCommand struct{ zoneChange }

// Run takes the availability zone out of service.
func (c zoneOutCommand) Run(e environment) error {
	return e.printReply(e.client.SetZone(c.Name, "out", c.Team, c.Override))
}

// Run brings the availability zone back into service.
func (c zoneInCommand) Run(e environment) error {
	return e.printReply(e.client.SetZone(c.Name, "in", c.Team, c.Override))
}

type jobCommand struct {
	Submit  submitCommand   `cmd:"" help:"Submit a gang job."`
	Show    showJobCommand  `cmd:"" help:"Show a job."`
	List    listJobsCommand `cmd:"" help:"List the jobs of all shards."`
	Cancel  cancelCommand   `cmd:"" help:"Cancel a job."`
	Explain explainCommand  `cmd:"" help:"Show why a job waits."`
}

type submitCommand struct {
	Name         string `arg:"" help:"Name of the job."`
	Workspace    string `required:"" help:"Workspace of the job."`
	Parts        int    `default:"1" help:"Number of parts."`
	Accelerators int    `default:"1" help:"Number of adjacent accelerators of each part."`
	Within       string `default:"rack" enum:"worker,rack,zone" help:"Unit of the topology that must hold all parts."`
	Urgent       bool   `help:"Start before other jobs and stop them if necessary."`
	Repeatable   bool   `help:"The job may be started again after an interruption."`
	Checkpoint   bool   `help:"The job can save its progress and resume."`
	Command      string `default:"run 2s" help:"Command that the workers run."`
}

// Run submits the job.
func (c submitCommand) Run(e environment) error {
	return e.printReply(e.client.SubmitJob(chuteform.JobSpec{
		Name: c.Name, Workspace: c.Workspace, Parts: c.Parts, Accelerators: c.Accelerators, Within: c.Within,
		Urgent: c.Urgent, Repeatable: c.Repeatable, Checkpoint: c.Checkpoint, Command: c.Command,
	}))
}

type showJobCommand struct {
	ID    string `arg:"" help:"Id of the job."`
	Watch bool   `help:"Show each change until the job ends."`
}

// Run prints the job, with Watch each change until the job ends.
func (c showJobCommand) Run(e environment) error {
	if c.Watch {
		return e.watchJob(c.ID)
	}
	return e.printReply(e.client.ShowJob(c.ID))
}

type listJobsCommand struct{}

// Run prints the jobs of all shards.
func (listJobsCommand) Run(e environment) error {
	return e.printReply(e.client.ListJobs())
}

type cancelCommand struct {
	ID string `arg:"" help:"Id of the job."`
}

// Run requests the cancellation of the job.
func (c cancelCommand) Run(e environment) error {
	return e.printReply(e.client.CancelJob(c.ID))
}

type explainCommand struct {
	ID string `arg:"" help:"Id of the job."`
}

// Run prints the causes for which the job waits.
func (c explainCommand) Run(e environment) error {
	return e.printReply(e.client.ExplainJob(c.ID))
}

type workspaceCommand struct {
	List listWorkspacesCommand `cmd:"" help:"List the workspaces."`
}

type listWorkspacesCommand struct{}

// Run prints the workspaces.
func (listWorkspacesCommand) Run(e environment) error {
	return e.printReply(e.client.ListWorkspaces())
}

type statusCommand struct{}

// Run prints the status of an entry host.
func (statusCommand) Run(e environment) error {
	return e.printReply(e.client.Status())
}

// exitCode prints the error of a command, if any, and returns the exit code of the process: 0 if the call ran, 1 if it
// ran and failed or a local error occurred, 2 if it did not run, 3 if the outcome is unknown.
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
