package chuteconnection

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"monsoonchute.example/monsoonchute/chutebudget"
)

// sampleInterval is the time between two samples of the memory and the descriptors of the process.
const sampleInterval = 2 * time.Second

// Pressure watches the memory and the descriptors of the process.
type Pressure struct {
	memory   int64 // limit in bytes; 0 if unknown
	files    int   // limit on descriptors
	recorder Recorder
	log      *slog.Logger
	level    atomic.Int32
}

// NewPressure returns a watch of the process under the limits in bytes and in descriptors.
func NewPressure(memory int64, files int, recorder Recorder, log *slog.Logger) *Pressure {
	return &Pressure{memory: memory, files: files, recorder: recorder, log: log}
}

// FileLimit returns the smaller of the limit and that of the system on descriptors. A limit of 0 is unknown.
func FileLimit(limit int) int {
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil || system.Cur > 1<<30 {
		return limit
	}
	if limit == 0 {
		return int(system.Cur)
	}
	return min(limit, int(system.Cur))
}

// Exhausted reports whether the process is so short of memory or descriptors that it cannot serve.
func (p *Pressure) Exhausted() bool {
	return chutebudget.Pressure(p.level.Load()) == chutebudget.PressureExhausted
}

// Run samples the process until the context ends. It logs changes of the level.
func (p *Pressure) Run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.step(residentBytes(), openFiles())
		case <-ctx.Done():
			return
		}
	}
}

func (p *Pressure) step(memory, files int64) {
	level := chutebudget.Pressure(p.level.Load())
	next := level.Next(chutebudget.Sample{Used: memory, Limit: p.memory}, chutebudget.Sample{Used: files, Limit: int64(p.files)})
	p.level.Store(int32(next))
	p.recorder.SetGauge("resident-bytes", float64(memory))
	p.recorder.SetGauge("open-files", float64(files))
	p.recorder.SetGauge("pressure", float64(next))
	if next != level {
		p.log.Warn("pressure: shortage of memory or descriptors has changed", "level", next.String(), "resident-bytes", memory,
			"memory-limit", p.memory, "open-files", files, "file-limit", p.files)
	}
}

// residentBytes returns the resident size of the process, or 0 if the system does not tell it.
func residentBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// openFiles returns the number of open descriptors of the process, or 0 if the system does not tell it.
func openFiles() int64 {
	names, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return int64(len(names))
}
