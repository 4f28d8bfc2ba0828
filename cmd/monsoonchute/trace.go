package main

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chutetrace"
)

// traceCommand reads logs; it calls no entry host.
type traceCommand struct {
	ID   string   `arg:"" help:"Id of the job."`
	Logs []string `arg:"" optional:"" help:"Log files of entry hosts; standard input if none is given." type:"existingfile"`
}

// Run prints the lines about the job in the order of time.
func (c traceCommand) Run(e environment) error {
	lines, err := c.read(e)
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

func (c traceCommand) read(e environment) ([]chutetrace.Line, error) {
	if len(c.Logs) == 0 {
		return c.add(e, nil, "standard input", os.Stdin)
	}
	var lines []chutetrace.Line
	for _, path := range c.Logs {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		lines, err = c.add(e, lines, path, file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
	}
	return lines, nil
}

func (traceCommand) add(e environment, lines []chutetrace.Line, name string, from io.Reader) ([]chutetrace.Line, error) {
	lines, skipped, err := chutetrace.Read(lines, from)
	if skipped > 0 {
		e.printf("%s: %d lines are no log lines\n", name, skipped)
	}
	return lines, err
}
