package chutelog

import (
	"context"
	"log/slog"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutering"
)

const (
	// logRingSize is the capacity of the ring of each level; lines beyond it are dropped and counted.
	logRingSize = 2048
	// logWindow is the period of the limits on lines of one kind.
	logWindow = time.Second
	// maxInfoLines and maxWarnLines are the largest numbers of lines of one kind in a window, by level.
	maxInfoLines = 100
	maxWarnLines = 300
)

// Writer writes the log lines of the core on duties of its own, so that a slow output never blocks the core. Warnings,
// which report refused and failed work, have a separate ring, so that a flood of other lines cannot displace them.
type Writer struct {
	info    *levelWriter
	warn    *levelWriter
	metrics counter
}

// counter increments a counter by reason.
type counter interface {
	Count(counter, reason string)
}

// New returns a writer to the log that counts the lines it drops.
func New(log *slog.Logger, metrics counter) *Writer {
	return &Writer{
		info:    newLevelWriter("log-info", log, slog.LevelInfo, maxInfoLines),
		warn:    newLevelWriter("log-warn", log, slog.LevelWarn, maxWarnLines),
		metrics: metrics,
	}
}

// Offer passes a line to its level, or drops it if that has too many; it never blocks.
func (w *Writer) Offer(line chuteaction.LogLine) {
	target := w.info
	if line.Warning {
		target = w.warn
	}
	if !target.ring.Offer(line) {
		w.metrics.Count("log-dropped", line.Component)
	}
}

// RunInfo writes ordinary lines until the context ends.
func (w *Writer) RunInfo(ctx context.Context) { w.info.run(ctx) }

// RunWarn writes warnings until the context ends.
func (w *Writer) RunWarn(ctx context.Context) { w.warn.run(ctx) }

// levelWriter writes the log lines of one level and limits the lines of one kind. A kind is a component and a text.
type levelWriter struct {
	ring          chutering.EntryEffects
	log           *slog.Logger
	level         slog.Level
	maxPerKind    int   // largest number of lines of one kind in a window
	reportedDrops int64 // lines dropped by the ring that a log line has reported
	windowStart   time.Time
	written       map[string]int // lines by kind in the present window
	omitted       map[string]int
}

func newLevelWriter(name string, log *slog.Logger, level slog.Level, maxPerKind int) *levelWriter {
	return &levelWriter{
		ring: chutering.NewEntryEffects(name, logRingSize), log: log, level: level, maxPerKind: maxPerKind,
		written: make(map[string]int), omitted: make(map[string]int),
	}
}

func (w *levelWriter) run(ctx context.Context) {
	for {
		effect, ok := w.ring.Take(ctx)
		if !ok {
			return
		}
		if line, ok := effect.(chuteaction.LogLine); ok {
			w.limit(line)
		}
	}
}

// limit writes a line, or counts it as omitted if the window has maxPerKind lines of its kind.
func (w *levelWriter) limit(line chuteaction.LogLine) {
	if now := time.Now(); now.Sub(w.windowStart) >= logWindow {
		w.startWindow(now)
	}
	kind := line.Component + ": " + line.Text
	if w.written[kind] >= w.maxPerKind {
		w.omitted[kind]++
		return
	}
	w.written[kind]++
	w.write(kind, line)
}

// startWindow reports the lines that limit omitted in the last window or that the ring dropped, and starts a new window.
func (w *levelWriter) startWindow(now time.Time) {
	for kind, count := range w.omitted {
		w.log.Warn("log: lines were left out", "kind", kind, "count", count)
	}
	if dropped := w.ring.Stats().Refused; dropped > w.reportedDrops {
		w.log.Warn("log: lines were dropped because the output is too slow", "count", dropped-w.reportedDrops)
		w.reportedDrops = dropped
	}
	w.windowStart = now
	clear(w.written)
	clear(w.omitted)
}

func (w *levelWriter) write(text string, line chuteaction.LogLine) {
	arguments := make([]any, 0, 2*len(line.Fields)+2)
	if line.Job != "" {
		arguments = append(arguments, "job", string(line.Job))
	}
	for _, f := range line.Fields {
		arguments = append(arguments, f.Name, f.Value)
	}
	w.log.Log(context.Background(), w.level, text, arguments...)
}
