package chuteroute

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteload"
	"monsoonchute.example/monsoonchute/chutequeue"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteresult"
)

const (
	// openTurns is how many dispatches pass between two for the longest wait of all classes, in opening hours.
	openingHoursInterval = 16
	// closedTurns is the same outside opening hours.
	closingHoursInterval = 4
)

func (t *transition) queue(service string) chutequeue.Queue {
	l, ok := t.state.queues.Get(service)
	if !ok {
		l = chutequeue.New()
	}
	return l
}

func (t *transition) putQueue(service string, l chutequeue.Queue) {
	t.state.queues = t.state.queues.Set(service, l)
}

// enqueue puts the request in its queue. In a full lane the longest wait of a lower class makes room, or the request
// itself is refused.
func (t *transition) enqueue(x exchange) {
	l := t.queue(x.request.Service)
	if l.Full() {
		shedClass, ok := l.LeastUrgentBelow(x.request.Class)
		if !ok {
			t.refuse(x, chuteresult.Overloaded, "the queue of service %s is full", x.request.Service)
			return
		}
		first, _ := t.state.exchanges.Get(l.ByClass[shedClass][0])
		l = l.WithoutFirst(shedClass)
		t.refuse(first, chuteresult.Overloaded, "more urgent requests fill the queue of service %s", x.request.Service)
	}
	t.putExchange(x.withStage(stageQueued))
	t.putQueue(x.request.Service, l.WithQueued(x.request.Class, x.request.Exchange))
	t.dispatch(x.request.Service)
}

func (t *transition) dispatchAll() {
	for i := t.state.queues.Iterator(); !i.Done(); {
		service, _, _ := i.Next()
		t.dispatch(service)
	}
}

// dispatch sends waiting requests of the service while a backend server is open.
func (t *transition) dispatch(service string) {
	for {
		l := t.queue(service)
		class, ok := t.nextClass(l)
		if !ok {
			return
		}
		x, known := t.state.exchanges.Get(l.ByClass[class][0])
		if !known {
			t.putQueue(service, l.WithoutFirst(class))
			continue
		}
		if !t.now().Before(x.request.Deadline) {
			t.putQueue(service, l.WithoutFirst(class))
			t.refuse(x, chuteresult.DeadlinePassed, "waited past the deadline")
			continue
		}
		b, open := t.chooseBackend(service, x.backend)
		if !open {
			return
		}
		t.putQueue(service, l.WithoutFirst(class).WithDispatch())
		t.send(x, b)
	}
}

// nextClass returns the class to serve: the most urgent one, but every so often the one that has waited the longest.
func (t *transition) nextClass(l chutequeue.Queue) (chuteevent.Class, bool) {
	interval := closingHoursInterval
	if t.inOpeningHours() {
		interval = openingHoursInterval
	}
	longestWait := l.Dispatches%interval == interval-1
	best, found := chuteevent.Class(0), false
	var oldest time.Time
	for c := range chuteevent.ClassCount {
		if len(l.ByClass[c]) == 0 {
			continue
		}
		if !longestWait {
			return c, true
		}
		x, _ := t.state.exchanges.Get(l.ByClass[c][0])
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

// send dispatches one attempt to the backend server.
func (t *transition) send(x exchange, b chuteload.Server) {
	x = x.withDispatch(b.ID)
	b.Running++
	t.state.backends = t.state.backends.Set(b.ID, b)
	t.putExchange(x)
	t.emit(chuteevent.Dispatch{
		Exchange: x.request.Exchange, Request: x.request.ID, Attempt: x.attempts,
		Backend: b.ID, Address: b.Address, Deadline: x.request.Deadline,
	})
}
