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
	maxAnswer = 1 << 20
	// idleLimit is how long the link of a worker that nobody addresses is kept.
	idleLimit = time.Minute
)

// link is the duty that talks to one worker and its ring.
type link struct {
	address string
	effects chutering.Effects
	stop    context.CancelFunc
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
	return l.link(effect.WorkerID(), addressOf(effect)).effects.Offer(effect)
}

func addressOf(effect chuteevent.WorkerEffect) string {
	switch e := effect.(type) {
	case chuteevent.SendOrder:
		return e.Address
	case chuteevent.PollWorker:
		return e.Address
	}
	return ""
}

// link returns the link to the worker at the address, and starts its duty if there is none.
func (l *Links) link(worker chutetopology.WorkerID, address string) *link {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if found := l.links[worker]; found != nil && found.address == address {
		return found
	} else if found != nil {
		found.stop()
	}
	ctx, stop := context.WithCancel(l.group.Context())
	made := &link{address: address, effects: chutering.NewEffects("worker-"+string(worker), ringSize), stop: stop}
	l.links[worker] = made
	l.group.Go("worker-link", func(context.Context) {
		l.run(ctx, made)
		l.remove(worker, made)
	})
	return made
}

func (l *Links) remove(worker chutetopology.WorkerID, ended *link) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.links[worker] == ended {
		delete(l.links, worker)
	}
}

// run carries out one effect after the other, in the order in which they were given.
func (l *Links) run(ctx context.Context, of *link) {
	client := &fasthttp.HostClient{
		Addr: of.address, MaxConns: 1, ReadTimeout: callTimeout, WriteTimeout: callTimeout, MaxResponseBodySize: maxAnswer,
		MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:       dial,
	}
	defer client.CloseIdleConnections()
	for {
		effect, ok := l.takeWithin(ctx, of)
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
func (l *Links) takeWithin(ctx context.Context, of *link) (chuteevent.Effect, bool) {
	limited, stop := context.WithTimeout(ctx, idleLimit)
	defer stop()
	return of.effects.Take(limited)
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
	var answer OrderAnswer
	err := call(client, OrderPath, EncodeOrder(e.Fence, e.Order), &answer)
	switch {
	case errors.Is(err, errDial):
	case err != nil:
		ended.Outcome = chuteorder.OutcomeUnknown
	case answer.Taken:
		ended.Outcome = chuteorder.OutcomeAccepted
		ended.Task = answer.Task
	}
	return ended
}

// poll asks for the worker's report and reports false if none came or the worker follows another owner.
func poll(client *fasthttp.HostClient, e chuteevent.PollWorker) (chuteevent.WorkerPolled, bool) {
	if !time.Now().Before(e.Expires) {
		return chuteevent.WorkerPolled{}, false
	}
	sent := time.Now()
	var answer PollAnswer
	if err := call(client, PollPath, e.Poll, &answer); err != nil || !answer.Taken {
		return chuteevent.WorkerPolled{}, false
	}
	return chuteevent.WorkerPolled{
		Shard: e.Poll.Fence.Shard, Epoch: e.Poll.Fence.Epoch, Worker: e.Worker, SentAt: sent,
		Lease: e.Poll.Lease, Report: answer.Report, ReceivedAt: time.Now(),
	}, true
}

func call(client *fasthttp.HostClient, path string, body, answer any) error {
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
	return errors.WithStack(json.Unmarshal(response.Body(), answer))
}
