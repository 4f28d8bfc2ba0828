package chuteworker

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chutecaller"
	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// ringSize is the maximum number of orders and polls that wait for one worker.
	ringSize = 256
	// callTimeout is the longest time for sending a request to a worker and, separately, for receiving the response.
	callTimeout = 2 * time.Second
	// maxResponseBytes is the largest response body of a worker, in bytes.
	maxResponseBytes = 1 << 20
	// linkIdleTimeout is the time without an order or poll after which the link to a worker is closed.
	linkIdleTimeout = time.Minute
)

// link is the ring of orders and polls for one worker, and the duty that sends them.
type link struct {
	address string
	effects chutering.Effects
	cancel  context.CancelFunc
}

// Links sends orders and polls to workers and passes the outcomes to the core as events.
type Links struct {
	events chutering.Events
	log    *slog.Logger
	group  *chuteduty.Group
	mutex  sync.Mutex
	links  map[chutetopology.WorkerID]*link
}

// New returns Links without open connections. The returned clean-up function closes all links.
func New(events chutering.Events, log *slog.Logger) (*Links, func()) {
	group, cleanUp := chuteduty.New(log)
	return &Links{events: events, log: log, group: group, links: make(map[chutetopology.WorkerID]*link)}, cleanUp
}

// Offer queues the effect for its worker and reports false if the ring of the worker's link is full.
func (l *Links) Offer(effect chuteevent.WorkerEffect) bool {
	return l.linkTo(effect.WorkerID(), effectAddress(effect)).effects.Offer(effect)
}

func effectAddress(effect chuteevent.WorkerEffect) string {
	switch e := effect.(type) {
	case chuteevent.SendOrder:
		return e.Address
	case chuteevent.PollWorker:
		return e.Address
	}
	return ""
}

// linkTo returns the link to the worker at the address. It opens a new link if there is none or the worker has changed
// its address.
func (l *Links) linkTo(worker chutetopology.WorkerID, address string) *link {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if existing := l.links[worker]; existing != nil && existing.address == address {
		return existing
	} else if existing != nil {
		existing.cancel()
	}
	ctx, cancel := context.WithCancel(l.group.Context())
	created := &link{address: address, effects: chutering.NewEffects("worker-"+string(worker), ringSize), cancel: cancel}
	l.links[worker] = created
	l.group.Go("worker-link", func(context.Context) {
		l.runLink(ctx, created)
		l.removeLink(worker, created)
	})
	return created
}

// removeLink removes the worker's link unless a newer one has replaced it.
func (l *Links) removeLink(worker chutetopology.WorkerID, ended *link) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.links[worker] == ended {
		delete(l.links, worker)
	}
}

// runLink sends the link's orders and polls one at a time, in the order of the ring, until the link has been idle for
// linkIdleTimeout or the context ends.
func (l *Links) runLink(ctx context.Context, target *link) {
	caller := chutecaller.New("worker", &fasthttp.HostClient{
		Addr: target.address, MaxConns: 1, ReadTimeout: callTimeout, WriteTimeout: callTimeout,
		MaxResponseBodySize: maxResponseBytes, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		RetryIfErr: chutecaller.NeverRetry, Dial: chutecaller.Dial,
	})
	defer caller.Close()
	for {
		effect, ok := l.takeEffect(ctx, target)
		if !ok {
			return
		}
		request, isWorkerEffect := effect.(chuteevent.WorkerEffect)
		if !isWorkerEffect {
			continue
		}
		switch e := request.(type) {
		case chuteevent.SendOrder:
			l.events.Put(l.group.Context(), sendOrder(caller, e))
		case chuteevent.PollWorker:
			if polled, answered := poll(caller, e); answered {
				l.events.Put(l.group.Context(), polled)
			}
		}
	}
}

// takeEffect waits up to linkIdleTimeout for the next effect of the link and reports false if none came.
func (l *Links) takeEffect(ctx context.Context, target *link) (chuteevent.Effect, bool) {
	takeCtx, cancel := context.WithTimeout(ctx, linkIdleTimeout)
	defer cancel()
	return target.effects.Take(takeCtx)
}

// sendOrder sends the order and returns its outcome. It refuses an order that expired while it waited in the ring. The
// outcome is unknown if an error occurred after the connection was opened.
func sendOrder(caller chutecaller.Caller, e chuteevent.SendOrder) chuteevent.OrderEnded {
	ended := chuteevent.OrderEnded{
		Shard: e.Fence.Shard, Epoch: e.Fence.Epoch, Worker: e.Worker, Order: e.Order, Outcome: chuteorder.OutcomeRefused,
	}
	if !e.Expires.IsZero() && !time.Now().Before(e.Expires) {
		return ended
	}
	var response OrderResponse
	err := caller.Post(OrderPath, EncodeOrder(e.Fence, e.Order), &response)
	switch {
	case errors.Is(err, chutecaller.ErrDial):
	case err != nil:
		ended.Outcome = chuteorder.OutcomeUnknown
	case response.Accepted:
		ended.Outcome = chuteorder.OutcomeAccepted
		ended.Task = response.Task
	}
	return ended
}

// poll requests the worker's report. It reports false if the poll has expired, the request failed, or the worker
// refused the poll because it follows a later owner.
func poll(caller chutecaller.Caller, e chuteevent.PollWorker) (chuteevent.WorkerPolled, bool) {
	if !time.Now().Before(e.Expires) {
		return chuteevent.WorkerPolled{}, false
	}
	sentAt := time.Now()
	var response PollResponse
	if err := caller.Post(PollPath, e.Poll, &response); err != nil || !response.Accepted {
		return chuteevent.WorkerPolled{}, false
	}
	return chuteevent.WorkerPolled{
		Shard: e.Poll.Fence.Shard, Epoch: e.Poll.Fence.Epoch, Worker: e.Worker, SentAt: sentAt,
		Lease: e.Poll.Lease, Report: response.Report, ReceivedAt: time.Now(),
	}, true
}
