package chutestandin

import (
	"log/slog"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chuteworker"
)

// Worker serves an agent over HTTP.
type Worker struct {
	Agent   *Agent
	address string
}

// NewWorker starts a worker without tasks, and returns a clean-up function that stops it.
func NewWorker(log *slog.Logger) (*Worker, func(), error) {
	w := &Worker{Agent: NewAgent(time.Now())}
	address, cleanUp, err := serve("worker", w.handle, log)
	w.address = address
	return w, cleanUp, err
}

// Address returns where the worker's agent serves.
func (w *Worker) Address() string {
	return w.address
}

func (w *Worker) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case chuteworker.OrderPath:
		var request chuteworker.OrderRequest
		if readJSON(ctx, &request) {
			writeJSON(ctx, w.Agent.HandleOrder(time.Now(), request))
		}
	case chuteworker.PollPath:
		var poll chuteorder.Poll
		if readJSON(ctx, &poll) {
			writeJSON(ctx, w.Agent.HandlePoll(time.Now(), poll))
		}
	default:
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}
