package chutenode

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"monsoonchute.example/monsoonchute/chutebackend"
	"monsoonchute.example/monsoonchute/chutecore"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteexchange"
	"monsoonchute.example/monsoonchute/chutemetric"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutepeer"
	"monsoonchute.example/monsoonchute/chutepressure"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutestore"
	"monsoonchute.example/monsoonchute/chuteworker"
)

const (
	// eventRingSize is the maximum number of events that wait for the core.
	eventRingSize = 16384
	// tickInterval is the time between two tick events.
	tickInterval = 100 * time.Millisecond
)

// engine passes events to the core and executes the effects that the core returns.
type engine struct {
	events    chutering.Events
	store     *chutestore.Client
	mesh      *chutepeer.Mesh
	workers   *chuteworker.Links
	backends  *chutebackend.Links
	exchanges *chuteexchange.Table
	metrics   *chutemetric.Metrics
	pressure  *chutepressure.Watch
	log       *slog.Logger
	serving   atomic.Bool
	stopped   chan struct{}      // closed when a planned stop is complete
	failures  []chuteevent.Event // failures of effects whose ring was full, not yet passed to the core
}

// Serving reports whether the entry host accepts requests.
func (e *engine) Serving() bool {
	return e.serving.Load() && !e.pressure.Exhausted()
}

// runCore passes events to the core one by one until the context ends. It only ever waits for the ring of events: if
// the ring of an effect is full, the core gets the event of that effect's failure at once.
func (e *engine) runCore(ctx context.Context, state chutecore.State) {
	for {
		event, ok := e.events.Take(ctx)
		if !ok {
			return
		}
		state = e.step(state, event)
		for len(e.failures) > 0 {
			next := e.failures[0]
			e.failures = e.failures[1:]
			state = e.step(state, next)
		}
	}
}

// step passes one event to the core, executes the effects and returns the new state.
func (e *engine) step(state chutecore.State, event chuteevent.Event) chutecore.State {
	state, effects := chutecore.Step(state, chuteevent.TimedEvent{At: time.Now(), Event: event})
	for _, effect := range effects {
		e.execute(effect)
	}
	e.serving.Store(state.Serving())
	return state
}

// execute passes an effect to the store client, the links, the exchange table, the metrics or the log.
func (e *engine) execute(effect chuteevent.Effect) {
	switch f := effect.(type) {
	case chuteevent.StoreEffect:
		e.executeStore(f)
	case chuteevent.WorkerEffect:
		e.executeWorker(f)
	case chuteevent.SendPeerMessage:
		if !e.mesh.Send(f) {
			e.metrics.Count("peer-message-dropped", "no-link")
		}
	case chuteevent.SetPeers:
		e.mesh.SetPeers(f.Peers)
	case chuteevent.AnswerCall:
		if !e.exchanges.AnswerCall(f) {
			e.metrics.Count("reply-dropped", "nobody-waits")
		}
	case chuteevent.AnswerRequest:
		if !e.exchanges.AnswerRequest(f) {
			e.metrics.Count("answer-dropped", "nobody-waits")
		}
	case chuteevent.Dispatch:
		e.executeDispatch(f)
	case chuteevent.ProbeBackend:
		if !e.backends.Probe(f) {
			e.failures = append(e.failures, chuteevent.BackendProbed{Backend: f.Backend})
		}
	case chuteevent.Count:
		e.metrics.Count(f.Counter, f.Reason)
	case chuteevent.LogLine:
		e.writeLog(f)
	case chuteevent.Stopped:
		close(e.stopped)
	}
}

func (e *engine) executeStore(effect chuteevent.StoreEffect) {
	if e.store.Offer(effect) {
		return
	}
	e.metrics.Count("store-refused", "ring-full")
	switch f := effect.(type) {
	case chuteevent.CommitTable:
		e.failures = append(e.failures, chuteevent.TableFailed{Token: f.Token})
	case chuteevent.ReadTable:
		e.failures = append(e.failures, chuteevent.TableFailed{Token: f.Token})
	}
}

func (e *engine) executeWorker(effect chuteevent.WorkerEffect) {
	if e.workers.Offer(effect) {
		return
	}
	e.metrics.Count("order-refused", "ring-full")
	if order, ok := effect.(chuteevent.SendOrder); ok {
		e.failures = append(e.failures, chuteevent.OrderEnded{
			Shard: order.Fence.Shard, Epoch: order.Fence.Epoch, Worker: order.Worker, Order: order.Order,
			Outcome: chuteorder.OutcomeRefused,
		})
	}
}

func (e *engine) executeDispatch(effect chuteevent.Dispatch) {
	if e.backends.Dispatch(effect) {
		return
	}
	e.failures = append(e.failures, chuteevent.AttemptEnded{
		Exchange: effect.Exchange, Attempt: effect.Attempt, Backend: effect.Backend,
		Result: chuteresult.New(chuteresult.Overloaded, "the backend server's ring is full"),
	})
}

func (e *engine) writeLog(line chuteevent.LogLine) {
	if line.Warning {
		e.log.Warn(line.Component + ": " + line.Text)
		return
	}
	e.log.Info(line.Component + ": " + line.Text)
}

// runTicks sends a tick to the core and updates the metrics of the rings every tickInterval.
func (e *engine) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		e.events.Offer(chuteevent.Tick{})
		e.metrics.SetRingStats(e.events.Stats())
		for _, stats := range e.store.RingStats() {
			e.metrics.SetRingStats(stats)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
