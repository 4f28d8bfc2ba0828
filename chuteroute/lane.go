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
	openTurns = 16
	// closedTurns is the same outside opening hours.
	closedTurns = 4
)

func (t *turn) lane(service string) chutequeue.Queue {
	l, ok := t.state.lanes.Get(service)
	if !ok {
		l = chutequeue.New()
	}
	return l
}

func (t *turn) putLane(service string, l chutequeue.Queue) {
	t.state.lanes = t.state.lanes.Set(service, l)
}

// enqueue puts the request in its queue. In a full lane the longest wait of a lower class makes room, or the request
// itself is refused.
func (t *turn) enqueue(x exchange) {
	l := t.lane(x.request.Service)
	if l.Full() {
		shed, ok := l.LeastUrgentBelow(x.request.Class)
		if !ok {
			t.refuse(x, chuteresult.Overloaded, "the queue of service %s is full", x.request.Service)
			return
		}
		first, _ := t.state.exchanges.Get(l.ByClass[shed][0])
		l = l.WithoutFirst(shed)
		t.refuse(first, chuteresult.Overloaded, "more urgent requests fill the queue of service %s", x.request.Service)
	}
	t.put(x.withStage(stageQueued))
	t.putLane(x.request.Service, l.WithQueued(x.request.Class, x.request.Exchange))
	t.dispatch(x.request.Service)
}

func (t *turn) dispatchAll() {
	for i := t.state.lanes.Iterator(); !i.Done(); {
		service, _, _ := i.Next()
		t.dispatch(service)
	}
}

// dispatch sends waiting requests of the service while a backend server is open.
func (t *turn) dispatch(service string) {
	for {
		l := t.lane(service)
		class, ok := t.nextClass(l)
		if !ok {
			return
		}
		x, known := t.state.exchanges.Get(l.ByClass[class][0])
		if !known {
			t.putLane(service, l.WithoutFirst(class))
			continue
		}
		if !t.now().Before(x.request.Deadline) {
			t.putLane(service, l.WithoutFirst(class))
			t.refuse(x, chuteresult.DeadlinePassed, "waited past the deadline")
			continue
		}
		b, open := t.choose(service, x.backend)
		if !open {
			return
		}
		t.putLane(service, l.WithoutFirst(class).WithDispatch())
		t.send(x, b)
	}
}

// nextClass returns the class to serve: the most urgent one, but every so often the one that has waited the longest.
func (t *turn) nextClass(l chutequeue.Queue) (chuteevent.Class, bool) {
	turns := closedTurns
	if t.inOpeningHours() {
		turns = openTurns
	}
	fair := l.Dispatches%turns == turns-1
	best, found := chuteevent.Class(0), false
	var oldest time.Time
	for c := range chuteevent.ClassCount {
		if len(l.ByClass[c]) == 0 {
			continue
		}
		if !fair {
			return c, true
		}
		x, _ := t.state.exchanges.Get(l.ByClass[c][0])
		if !found || x.arrived.Before(oldest) {
			best, oldest, found = c, x.arrived, true
		}
	}
	return best, found
}

func (t *turn) inOpeningHours() bool {
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
func (t *turn) send(x exchange, b chuteload.Server) {
	x = x.withDispatch(b.ID)
	b.Running++
	t.state.backends = t.state.backends.Set(b.ID, b)
	t.put(x)
	t.emit(chuteevent.Dispatch{
		Exchange: x.request.Exchange, RequestID: x.request.ID, Attempt: x.attempts,
		Backend: b.ID, Address: b.Address, Deadline: x.request.Deadline,
	})
}
