package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// since returns the time since the start of the case.
func (r *record) since() time.Duration {
	return time.Since(r.started)
}

// write appends a line with the time in seconds, the kind of event and its fields, which alternate between names and values.
func (r *record) write(kind string, fields ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%8.3f %s", r.since().Seconds(), kind)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&line, " %v=%v", fields[i], fields[i+1])
	}
	line.WriteByte('\n')
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = r.file.WriteString(line.String())
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.file.Close()
}
