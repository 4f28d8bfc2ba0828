package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/platform/front"
)

const (
	// explainTimeout is the longest time that the command waits for a host.
	explainTimeout = 10 * time.Second
	// maxExplanationBytes is the largest response that the command reads.
	maxExplanationBytes = 16 << 20
)

type explainJobCommand struct {
	Host      string `required:"" help:"Metrics address of the leading entry host; any other names the leader's host."`
	Queue     string `help:"Queue of a job that is not submitted."`
	Workspace string `help:"Workspace of a job that is not submitted."`
	Target    string `arg:"" name:"id|file" help:"Id of a known job or, with --queue, a file with the body of a job."`
}

// Run prints where the job would go now and why.
func (c explainJobCommand) Run(e environment) error {
	response, err := c.request()
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return errors.WithStack(err)
	}
	var explanation front.ExplanationJSON
	if err := json.Unmarshal(text, &explanation); err != nil {
		return errors.Wrapf(err, "response with status %d", response.StatusCode)
	}
	if explanation.Code != 0 {
		code := chuteresult.Code(explanation.Code)
		return chuteresult.New(code, "%s", strings.TrimPrefix(explanation.Message, code.String()+": "))
	}
	if e.json {
		e.printf("%s", text)
		return nil
	}
	e.printExplanation(explanation)
	return nil
}

// request sends the request for a known job, or the body of one that is not submitted.
func (c explainJobCommand) request() (*http.Response, error) {
	client := http.Client{Timeout: explainTimeout}
	if c.Queue == "" {
		return client.Get("http://" + c.Host + "/explain/" + url.PathEscape(c.Target))
	}
	body, err := os.ReadFile(c.Target)
	if err != nil {
		return nil, err
	}
	query := url.Values{"queue": {c.Queue}, "workspace": {c.Workspace}}
	return client.Post("http://"+c.Host+"/explain?"+query.Encode(), "application/json", bytes.NewReader(body))
}

// printExplanation prints an explanation as text, with a line for each step that waits.
func (e environment) printExplanation(x front.ExplanationJSON) {
	e.printf("job %s queue %s workspace %s phase %s priority %d ahead %d\n", x.Job, x.Queue, x.Workspace, x.Phase, x.Priority, x.JobsAhead)
	for _, s := range x.Steps {
		e.printf("step %d.%d waiting %d active %d starts %d", s.Occurrence, s.Step, s.Waiting, s.Active, len(s.Starts))
		if s.Reason != "" {
			e.printf(" reason %s", s.Reason)
		}
		if s.EarliestMS != nil {
			e.printf(" earliest %s", time.Duration(*s.EarliestMS)*time.Millisecond)
		}
		e.printf("\n")
		for _, p := range s.Starts {
			e.printf("  task %d starts on %s\n", p.Task, p.Worker)
		}
		for _, p := range s.Kept {
			e.printf("  task %d waits for %s\n", p.Task, p.Worker)
		}
		for _, run := range s.Evicts {
			e.printf("  evicts %s\n", run)
		}
	}
	if x.MoreSteps > 0 {
		e.printf("%d more steps wait\n", x.MoreSteps)
	}
	e.printf("data: workers %d ms, operators %d ms, progress %d ms old\n", x.Age.Workers, x.Age.Operators, x.Age.Progress)
}
