package chutedaemon

import (
	"context"
	"log/slog"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutering"
)

const (
	// logRingSize is the number of lines of one level that may wait to be written; more are counted and dropped.
	logRingSize = 2048
	// logWindow is the time over which the lines of one kind are counted.
	logWindow = time.Second
	// maxInfoLines and maxWarnLines are the numbers of lines of one kind that are written in a window.
	maxInfoLines = 100
	maxWarnLines = 300
)

// logWriter writes the lines of the core on duties of its own, so that a slow output never delays it. Warnings, which
// tell of refused and failed work, have a ring of their own, so that other lines cannot crowd them out.
type logWriter struct {
	info    *logLane
	warn    *logLane
	metrics counter
}

// counter counts by reason.
type counter interface {
	Count(counter, reason string)
}

func newLogWriter(log *slog.Logger, metrics counter) *logWriter {
	return &logWriter{
		info:    newLogLane("log-info", log, slog.LevelInfo, maxInfoLines),
		warn:    newLogLane("log-warn", log, slog.LevelWarn, maxWarnLines),
		metrics: metrics,
	}
}

func (w *logWriter) offer(line chuteaction.LogLine) {
	lane := w.info
	if line.Warning {
		lane = w.warn
	}
	if !lane.ring.Offer(line) {
		w.metrics.Count("log-dropped", line.Component)
	}
}

func (w *logWriter) runInfo(ctx context.Context) { w.info.run(ctx) }

func (w *logWriter) runWarn(ctx context.Context) { w.warn.run(ctx) }

// logLane writes the lines of one level.
type logLane struct {
	ring    chutering.EntryEffects
	log     *slog.Logger
	level   slog.Level
	most    int   // lines of one kind in a window
	refused int64 // by the ring, as far as was told
	began   time.Time
	written map[string]int // by kind, in the present window
	omitted map[string]int
}

func newLogLane(name string, log *slog.Logger, level slog.Level, most int) *logLane {
	return &logLane{
		ring: chutering.NewEntryEffects(name, logRingSize), log: log, level: level, most: most,
		written: make(map[string]int), omitted: make(map[string]int),
	}
}

func (l *logLane) run(ctx context.Context) {
	for {
		effect, ok := l.ring.Take(ctx)
		if !ok {
			return
		}
		if line, ok := effect.(chuteaction.LogLine); ok {
			l.enter(line)
		}
	}
}

// enter writes a line unless too many of its kind were written in the window.
func (l *logLane) enter(line chuteaction.LogLine) {
	if now := time.Now(); now.Sub(l.began) >= logWindow {
		l.closeWindow(now)
	}
	kind := line.Component + ": " + line.Text
	if l.written[kind] >= l.most {
		l.omitted[kind]++
		return
	}
	l.written[kind]++
	l.write(kind, line)
}

// closeWindow tells what was left out, and begins a new window.
func (l *logLane) closeWindow(now time.Time) {
	for kind, count := range l.omitted {
		l.log.Warn("log: lines were left out", "kind", kind, "count", count)
	}
	if refused := l.ring.Stats().Refused; refused > l.refused {
		l.log.Warn("log: lines were dropped, the output is too slow", "count", refused-l.refused)
		l.refused = refused
	}
	l.began = now
	clear(l.written)
	clear(l.omitted)
}

func (l *logLane) write(text string, line chuteaction.LogLine) {
	arguments := make([]any, 0, 2*len(line.Fields)+2)
	if line.Job != "" {
		arguments = append(arguments, "job", string(line.Job))
	}
	for _, f := range line.Fields {
		arguments = append(arguments, f.Name, f.Value)
	}
	l.log.Log(context.Background(), l.level, text, arguments...)
}
