package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// decisionTime and timePerWorker are the figures of the queue /advised/ (decision_ms and per_item_ms of its route).
	decisionTime  = 500 * time.Millisecond
	timePerWorker = 20 * time.Millisecond
	// ticketTime is how long a ticket is valid (validity_ms).
	ticketTime = 3 * time.Second
	// maxWaitingCalls is the number of waiting calls from which on the service refuses more.
	maxWaitingCalls = 32
)

// Advice is the service that says which workers may run a step. It allows all.
type Advice struct {
	record  *Record
	mutex   sync.Mutex
	waiting int
	turns   map[string]*sync.Mutex // by calling machine
}

// Handler returns the HTTP handler of the service.
func (a *Advice) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /monsoonchute/advise", a.advise)
	return mux
}

// turn returns the lock that a call of the machine holds while it is handled. On loopback all machines have one address, and only
// the leader calls.
func (a *Advice) turn(machine string) *sync.Mutex {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.turns == nil {
		a.turns = make(map[string]*sync.Mutex)
	}
	if a.turns[machine] == nil {
		a.turns[machine] = new(sync.Mutex)
	}
	return a.turns[machine]
}

func (a *Advice) advise(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	machine, _, _ := net.SplitHostPort(r.RemoteAddr)
	a.mutex.Lock()
	full := a.waiting >= maxWaitingCalls
	if !full {
		a.waiting++
	}
	waiting := a.waiting
	a.mutex.Unlock()
	if full {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	arrived := time.Now()
	turn := a.turn(machine)
	turn.Lock()
	time.Sleep(decisionTime + time.Duration(len(q.Workers))*timePerWorker)
	turn.Unlock()
	a.mutex.Lock()
	a.waiting--
	a.mutex.Unlock()
	a.record.Printf("advice: step %s, %d workers, answered %.2f s after its arrival, %d calls were there then, caller gone: %t",
		q.Step, len(q.Workers), time.Since(arrived).Seconds(), waiting, r.Context().Err() != nil)
	approved := []any{}
	for _, id := range q.Workers {
		approved = append(approved, []string{id, "ticket-" + q.Step + "-" + id})
	}
	respond(w, http.StatusOK, map[string]any{"approved": approved, "validity_ms": ticketTime.Milliseconds()})
}
