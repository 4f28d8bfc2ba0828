package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, with the time since its start.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration {
	return time.Since(r.start)
}

// Printf writes a line.
func (r *Record) Printf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", r.Now().Seconds(), fmt.Sprintf(format, arguments...))
}
