package chuteworker

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonchute.example/monsoonchute/chuteduty"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// ringSize is the number of orders to one worker that wait at most.
	ringSize = 256
	// callTimeout is how long one call to a worker may take.
	callTimeout = 2 * time.Second
	// dialTimeout is how long a new connection may take.
	dialTimeout = 500 * time.Millisecond
	// maxAnswer is the largest answer of a worker, in bytes.
	maxResponseBytes = 1 << 20
	// idleLimit is how long the link of a worker that nobody addresses is kept.
	linkIdleTimeout = time.Minute
)

// link is the duty that talks to one worker and its ring.
type link struct {
	address string
	effects chutering.Effects
	cancel  context.CancelFunc
}

// Links carries orders and polls to workers and brings back what became of them.
type Links struct {
	events chutering.Events
	log    *slog.Logger
	group  *chuteduty.Group
	mutex  sync.Mutex
	links  map[chutetopology.WorkerID]*link
}

// New returns links without connections, and a clean-up function that ends them.
func New(events chutering.Events, log *slog.Logger) (*Links, func()) {
	group, cleanUp := chuteduty.New(log)
	return &Links{events: events, log: log, group: group, links: make(map[chutetopology.WorkerID]*link)}, cleanUp
}

// Offer hands the effect to the worker's link and reports false if its ring is full.
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

// link returns the link to the worker at the address, and starts its duty if there is none.
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

func (l *Links) removeLink(worker chutetopology.WorkerID, ended *link) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.links[worker] == ended {
		delete(l.links, worker)
	}
}

// run carries out one effect after the other, in the order in which they were given.
func (l *Links) runLink(ctx context.Context, target *link) {
	client := &fasthttp.HostClient{
		Addr: target.address, MaxConns: 1, ReadTimeout: callTimeout, WriteTimeout: callTimeout, MaxResponseBodySize: maxResponseBytes,
		MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:       dial,
	}
	defer client.CloseIdleConnections()
	for {
		effect, ok := l.takeEffect(ctx, target)
		if !ok {
			return
		}
		request, isWorker := effect.(chuteevent.WorkerEffect)
		if !isWorker {
			continue
		}
		switch e := request.(type) {
		case chuteevent.SendOrder:
			l.events.Put(l.group.Context(), sendOrder(client, e))
		case chuteevent.PollWorker:
			if polled, answered := poll(client, e); answered {
				l.events.Put(l.group.Context(), polled)
			}
		}
	}
}

// takeWithin takes the next effect and reports false if none came within the idle limit.
func (l *Links) takeEffect(ctx context.Context, target *link) (chuteevent.Effect, bool) {
	takeCtx, cancel := context.WithTimeout(ctx, linkIdleTimeout)
	defer cancel()
	return target.effects.Take(takeCtx)
}

var errDial = errors.New("dial")

func dial(address string) (net.Conn, error) {
	connection, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.Wrap(errDial, err.Error())
	}
	return connection, nil
}

// sendOrder sends the order, unless it has expired while it waited.
func sendOrder(client *fasthttp.HostClient, e chuteevent.SendOrder) chuteevent.OrderEnded {
	ended := chuteevent.OrderEnded{
		Shard: e.Fence.Shard, Epoch: e.Fence.Epoch, Worker: e.Worker, Order: e.Order, Outcome: chuteorder.OutcomeRefused,
	}
	if !e.Expires.IsZero() && !time.Now().Before(e.Expires) {
		return ended
	}
	var response OrderResponse
	err := post(client, OrderPath, EncodeOrder(e.Fence, e.Order), &response)
	switch {
	case errors.Is(err, errDial):
	case err != nil:
		ended.Outcome = chuteorder.OutcomeUnknown
	case response.Accepted:
		ended.Outcome = chuteorder.OutcomeTaken
		ended.Task = response.Task
	}
	return ended
}

// poll asks for the worker's report and reports false if none came or the worker follows another owner.
func poll(client *fasthttp.HostClient, e chuteevent.PollWorker) (chuteevent.WorkerPolled, bool) {
	if !time.Now().Before(e.Expires) {
		return chuteevent.WorkerPolled{}, false
	}
	sentAt := time.Now()
	var response PollResponse
	if err := post(client, PollPath, e.Poll, &response); err != nil || !response.Accepted {
		return chuteevent.WorkerPolled{}, false
	}
	return chuteevent.WorkerPolled{
		Shard: e.Poll.Fence.Shard, Epoch: e.Poll.Fence.Epoch, Worker: e.Worker, SentAt: sentAt,
		Lease: e.Poll.Lease, Report: response.Report, Got: time.Now(),
	}, true
}

func post(client *fasthttp.HostClient, path string, body, result any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.WithStack(err)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + client.Addr + path)
	request.SetBody(encoded)
	if err := client.Do(request, response); err != nil {
		return errors.WithStack(err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("worker: status %d", response.StatusCode())
	}
	return errors.WithStack(json.Unmarshal(response.Body(), result))
}
