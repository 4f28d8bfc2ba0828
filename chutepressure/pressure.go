package chutepressure

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chutebudget"
)

// sampleInterval is the time between two samples of the memory and the descriptors of the process.
const sampleInterval = 2 * time.Second

// Recorder records metrics.
type Recorder interface {
	SetGauge(name string, value float64)
}

// Watch watches the memory and the descriptors of the process.
type Watch struct {
	memory   int64 // limit in bytes; 0 if unknown
	files    int   // limit on descriptors
	recorder Recorder
	log      *slog.Logger
	level    atomic.Int32

	statm              *os.File // kept open: without descriptors, it could not be opened
	lastUsed, lastOpen int64    // of the latest sample that could be taken
}

// New returns a watch of the process under the limits in bytes and in descriptors.
func New(memory int64, files int, recorder Recorder, log *slog.Logger) *Watch {
	return &Watch{memory: memory, files: files, recorder: recorder, log: log}
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
func (p *Watch) Exhausted() bool {
	return chutebudget.Pressure(p.level.Load()) == chutebudget.PressureExhausted
}

// Run samples the process until the context ends. It logs changes of the level.
func (p *Watch) Run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	defer func() { _ = p.statm.Close() }()
	for {
		select {
		case <-ticker.C:
			memory, memoryErr := p.residentBytes()
			files, filesErr := openFiles()
			p.observe(memory, memoryErr, files, filesErr)
		case <-ctx.Done():
			return
		}
	}
}

// observe takes a sample. A failure to count the descriptors for want of one means that all are in use; a value that could
// not be read for another cause stays as it was.
func (p *Watch) observe(memory int64, memoryErr error, files int64, filesErr error) {
	if memoryErr == nil {
		p.lastUsed = memory
	}
	switch {
	case filesErr == nil:
		p.lastOpen = files
	case errors.Is(filesErr, syscall.EMFILE), errors.Is(filesErr, syscall.ENFILE):
		p.lastOpen = int64(p.files)
	}
	p.step(p.lastUsed, p.lastOpen)
}

func (p *Watch) step(memory, files int64) {
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

// residentBytes returns the resident size of the process.
func (p *Watch) residentBytes() (int64, error) {
	if p.statm == nil {
		file, err := os.Open("/proc/self/statm")
		if err != nil {
			return 0, err
		}
		p.statm = file
	}
	var text [128]byte
	n, err := p.statm.ReadAt(text[:], 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return 0, err
	}
	fields := bytes.Fields(text[:n])
	if len(fields) < 2 {
		return 0, errors.New("the resident size is missing")
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// openFiles returns the number of open descriptors of the process.
func openFiles() (int64, error) {
	names, err := os.ReadDir("/proc/self/fd")
	return int64(len(names)), err
}
