package chutedaemon

import (
	"context"
	"log/slog"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutemetric"
	"monsoonchute.example/monsoonchute/chutering"
)

// logRingSize is the number of lines that may wait to be written; more are counted and dropped.
const logRingSize = 2048

// logWriter writes the lines of the core, so that a slow output never delays it.
type logWriter struct {
	ring    chutering.EntryEffects
	log     *slog.Logger
	metrics *chutemetric.Metrics
}

func newLogWriter(log *slog.Logger, metrics *chutemetric.Metrics) *logWriter {
	return &logWriter{ring: chutering.NewEntryEffects("log", logRingSize), log: log, metrics: metrics}
}

func (w *logWriter) offer(line chuteaction.LogLine) {
	if !w.ring.Offer(line) {
		w.metrics.Count("log-dropped", line.Part)
	}
}

func (w *logWriter) run(ctx context.Context) {
	dropped := int64(0)
	for {
		effect, ok := w.ring.Take(ctx)
		if !ok {
			return
		}
		if line, ok := effect.(chuteaction.LogLine); ok {
			w.write(line)
		}
		if refused := w.ring.Gauge().Refused; refused > dropped {
			w.log.Warn("log: lines were dropped", "count", refused-dropped)
			dropped = refused
		}
	}
}

func (w *logWriter) write(line chuteaction.LogLine) {
	arguments := make([]any, 0, 2*len(line.Fields)+2)
	if line.Job != "" {
		arguments = append(arguments, "job", string(line.Job))
	}
	for _, f := range line.Fields {
		arguments = append(arguments, f.Name, f.Value)
	}
	level := slog.LevelInfo
	if line.Warning {
		level = slog.LevelWarn
	}
	w.log.Log(context.Background(), level, line.Part+": "+line.Text, arguments...)
}
