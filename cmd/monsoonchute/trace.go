package main

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chutetrace"
)

// traceCommand prints what log files say about a job. It calls no entry host.
type traceCommand struct {
	ID   string   `arg:"" help:"Id of the job."`
	Logs []string `arg:"" optional:"" help:"Log files of entry hosts; standard input if none is given." type:"existingfile"`
}

// Run prints the log lines about the job, sorted by time.
func (c traceCommand) Run(e environment) error {
	lines, err := c.readLogs(e)
	if err != nil {
		return err
	}
	trace := chutetrace.ForJob(lines, c.ID)
	if len(trace) == 0 {
		return errors.Errorf("no line about %s", c.ID)
	}
	for _, l := range trace {
		e.printf("%s\n", l)
	}
	return nil
}

// readLogs reads the log files, or standard input if there are none.
func (c traceCommand) readLogs(e environment) ([]chutetrace.Line, error) {
	if len(c.Logs) == 0 {
		return c.appendLog(e, nil, "standard input", os.Stdin)
	}
	var lines []chutetrace.Line
	for _, path := range c.Logs {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		lines, err = c.appendLog(e, lines, path, file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
	}
	return lines, nil
}

// appendLog appends the lines of one log and prints how many lines it skipped.
func (traceCommand) appendLog(e environment, lines []chutetrace.Line, name string, log io.Reader) ([]chutetrace.Line, error) {
	lines, skipped, err := chutetrace.Read(lines, log)
	if skipped > 0 {
		e.printf("%s: %d lines are no log lines\n", name, skipped)
	}
	return lines, err
}
