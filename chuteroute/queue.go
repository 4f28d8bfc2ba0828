package chuteroute

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteload"
	"monsoonchute.example/monsoonchute/chutequeue"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteresult"
)

const (
	// fairIntervalOpen is the number of dispatches of a queue, during opening hours, of which one is for the class whose
	// first request has waited the longest.
	fairIntervalOpen = 16
	// fairIntervalClosed is the same number outside opening hours.
	fairIntervalClosed = 4
)

func (t *transition) queue(service string) chutequeue.Queue {
	q, ok := t.state.queues.Get(service)
	if !ok {
		q = chutequeue.New()
	}
	return q
}

func (t *transition) putQueue(service string, q chutequeue.Queue) {
	t.state.queues = t.state.queues.Set(service, q)
}

// enqueue adds the request to the queue of its service. If the queue is full, it makes space by refusing the first
// request of the least urgent class that has any. It refuses the new request instead if no class less urgent than that of
// the new request has any.
func (t *transition) enqueue(x exchange) {
	q := t.queue(x.request.Service)
	if q.Full() {
		shedClass, ok := q.LeastUrgentBelow(x.request.Class)
		if !ok {
			t.refuse(x, chuteresult.Overloaded, "the queue of service %s is full", x.request.Service)
			return
		}
		first, known := t.state.exchanges.Get(q.ByClass[shedClass][0])
		q = q.WithoutFirst(shedClass)
		if known {
			t.refuse(first, chuteresult.Overloaded, "more urgent requests fill the queue of service %s", x.request.Service)
		}
	}
	t.putExchange(x.withStage(stageQueued))
	t.putQueue(x.request.Service, q.WithQueued(x.request.Class, x.request.Exchange))
	t.dispatch(x.request.Service)
}

// dispatchAll sends waiting requests of all services.
func (t *transition) dispatchAll() {
	for i := t.state.queues.Iterator(); !i.Done(); {
		service, _, _ := i.Next()
		t.dispatch(service)
	}
}

// dispatch sends waiting requests of the service while a backend server is available.
func (t *transition) dispatch(service string) {
	for {
		q := t.queue(service)
		class, ok := t.nextClass(q)
		if !ok {
			return
		}
		x, known := t.state.exchanges.Get(q.ByClass[class][0])
		if !known {
			t.putQueue(service, q.WithoutFirst(class))
			continue
		}
		if !t.now().Before(x.request.Deadline) {
			t.putQueue(service, q.WithoutFirst(class))
			t.refuse(x, chuteresult.DeadlinePassed, "waited past the deadline")
			continue
		}
		b, available := t.chooseBackend(service, x.backend)
		if !available {
			return
		}
		t.putQueue(service, q.WithoutFirst(class).WithDispatch())
		t.send(x, b)
	}
}

// nextClass returns the class of the next request to dispatch, and false if none waits. This is the most urgent class
// with a waiting request, but at regular intervals the class whose first request has waited the longest, so that no
// class starves.
func (t *transition) nextClass(q chutequeue.Queue) (chuteevent.Class, bool) {
	interval := fairIntervalClosed
	if t.inOpeningHours() {
		interval = fairIntervalOpen
	}
	longestWait := q.Dispatches%interval == interval-1
	best, found := chuteevent.Class(0), false
	var oldest time.Time
	for c := range chuteevent.ClassCount {
		if len(q.ByClass[c]) == 0 {
			continue
		}
		if !longestWait {
			return c, true
		}
		x, _ := t.state.exchanges.Get(q.ByClass[c][0])
		if !found || x.arrivedAt.Before(oldest) {
			best, oldest, found = c, x.arrivedAt, true
		}
	}
	return best, found
}

func (t *transition) inOpeningHours() bool {
	from, until := t.environment.Policy.OpenFrom, t.environment.Policy.OpenUntil
	hour := t.now().UTC().Hour()
	switch {
	case from == until:
		return true
	case from < until:
		return hour >= from && hour < until
	}
	return hour >= from || hour < until
}

// send starts the next attempt of the request on the backend server.
func (t *transition) send(x exchange, b chuteload.Server) {
	x = x.withDispatch(b.ID)
	b.Running++
	t.state.backends = t.state.backends.Set(b.ID, b)
	t.putExchange(x)
	t.emit(chuteevent.Dispatch{
		Exchange: x.request.Exchange, RequestID: x.request.ID, Attempt: x.attempts,
		Backend: b.ID, Address: b.Address, Deadline: x.request.Deadline,
	})
}
