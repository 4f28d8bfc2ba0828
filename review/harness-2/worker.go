package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxLease          = 10 * time.Second
	stopTime          = 100 * time.Millisecond
	lastingStartup    = 300 * time.Millisecond
	maxListedEnds     = 500
)

// run is a run of a task on a worker.
type run struct {
	task    string
	number  int
	started time.Time
	stopped bool // a stop is in progress
}

// runEnd is the end of a run that the worker lists until it is told that the end is observed.
type runEnd struct {
	number int64
	task   string
	run    int
	how    string
}

// worker is a stand-in of a worker. Its process may crash and start again under the same id.
type worker struct {
	world   *world
	id      string
	machine string
	zone    string
	labels  []string
	gpus    int
	address string

	mutex    sync.Mutex
	server   *http.Server // nil while it is down
	born     int64
	started  time.Time
	token    int64
	lease    time.Time // end of the lease of all that runs
	running  map[string]*run
	highest  map[string]int // highest number of a run that was stopped or ended, by task
	ends     []runEnd
	lastEnd  int64
	sequence int
	changed  chan struct{} // closed at the next end
	busy     bool          // it is unhealthy: it refuses to start anything, and does nothing
}

// start begins a life of the worker: a listener at its address, and heartbeats.
func (k *worker) start() error {
	address := k.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := listenAgain(address)
	if err != nil {
		return err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.address = listener.Addr().String()
	k.started, k.born = time.Now(), time.Now().UnixMilli()
	k.token, k.lease = 0, time.Time{}
	k.running, k.highest, k.ends, k.lastEnd, k.sequence = make(map[string]*run), make(map[string]int), nil, 0, 0
	k.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", k.id) })
	mux.HandleFunc("POST /monsoonchute/run-start", k.handle(k.startRun))
	mux.HandleFunc("POST /monsoonchute/run-stop", k.handle(k.stopRun))
	mux.HandleFunc("POST /monsoonchute/hold", k.handle(k.hold))
	mux.HandleFunc("POST /monsoonchute/pace", k.handle(func(http.ResponseWriter, *http.Request, order) (int, map[string]any) {
		return http.StatusOK, map[string]any{}
	}))
	server := &http.Server{Handler: mux}
	k.server = server
	k.world.log.write("worker-up", "worker", k.id, "address", k.address, "born", k.born)
	go func() { _ = server.Serve(listener) }()
	go k.live(server)
	return nil
}

// listenAgain listens at an address that was in use a moment ago.
func listenAgain(address string) (net.Listener, error) {
	var err error
	for range 50 {
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, err
}

// crash ends the present life of the worker without a word.
func (k *worker) crash() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.server == nil {
		return
	}
	_ = k.server.Close()
	k.server = nil
	for _, r := range k.running {
		k.world.log.write("run-gone", "worker", k.id, "task", r.task, "run", r.number)
	}
	k.running = make(map[string]*run)
	close(k.changed)
	k.changed = make(chan struct{})
	k.world.log.write("worker-down", "worker", k.id)
}

// live sends heartbeats and ends runs, until the life that the server belongs to is over.
func (k *worker) live(server *http.Server) {
	beat := time.Time{}
	for {
		k.mutex.Lock()
		if k.server != server {
			k.mutex.Unlock()
			return
		}
		k.advance()
		due := time.Since(beat) >= heartbeatInterval
		var entry []byte
		if due {
			beat = time.Now()
			k.sequence++
			entry = k.entry()
		}
		id := k.id
		k.mutex.Unlock()
		if due {
			k.world.store.beat(id, entry)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// entry returns the worker's report about itself. The caller holds the lock.
func (k *worker) entry() []byte {
	text, err := json.Marshal(map[string]any{
		"service": serviceName, "address": k.address, "zone": k.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": 64000, "mem_mb": 131072, "gpu": k.gpus}, "labels": k.labels,
		"clock_ms": k.clock(), "sequence": k.sequence, "born": k.born,
	})
	if err != nil {
		panic(err)
	}
	return text
}

// clock returns the worker's steady clock in milliseconds. The caller holds the lock.
func (k *worker) clock() int64 {
	return time.Since(k.started).Milliseconds() + 1
}

// advance ends runs whose work is done or whose lease is over. The caller holds the lock.
func (k *worker) advance() {
	lapsed := time.Now().After(k.lease)
	for _, r := range k.running {
		work := k.world.stepOf(r.task)
		switch {
		case lapsed:
			k.finish(r, "lapsed")
		case !work.lasts && time.Since(r.started) >= work.work && !r.stopped:
			k.finish(r, "done")
		}
	}
}

// finish ends a run and lists its end. The caller holds the lock.
func (k *worker) finish(r *run, how string) {
	if k.running[r.task] != r {
		return
	}
	delete(k.running, r.task)
	k.highest[r.task] = max(k.highest[r.task], r.number)
	k.lastEnd++
	k.ends = append(k.ends, runEnd{number: k.lastEnd, task: r.task, run: r.number, how: how})
	k.world.log.write("run-ended", "worker", k.id, "task", r.task, "run", r.number, "how", how)
	close(k.changed)
	k.changed = make(chan struct{})
}

// order is the body of an order.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline *int64 `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Observed int64  `json:"observed"`
	Wait     int64  `json:"wait_ms"`
}

// handle decodes an order, and checks whom it is for and its fencing token.
func (k *worker) handle(apply func(http.ResponseWriter, *http.Request, order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			respond(w, http.StatusBadRequest, map[string]any{})
			return
		}
		k.mutex.Lock()
		if intended := r.Header.Get("X-Expected-Instance"); intended != "" && intended != k.id {
			k.mutex.Unlock()
			respond(w, http.StatusMisdirectedRequest, map[string]any{})
			return
		}
		var status int
		var body map[string]any
		if o.Token < k.token {
			status, body = http.StatusConflict, map[string]any{"reason": "fence"}
		} else {
			k.token = o.Token
			k.extendLease(o)
			status, body = apply(w, r, o)
		}
		body["clock_ms"] = k.clock()
		k.mutex.Unlock()
		respond(w, status, body)
	}
}

// extendLease applies the deadline of an order, shortened to the longest lease. The caller holds the lock.
func (k *worker) extendLease(o order) {
	if o.Deadline == nil {
		return
	}
	end := k.started.Add(time.Duration(*o.Deadline) * time.Millisecond)
	if limit := time.Now().Add(maxLease); end.After(limit) {
		end = limit
	}
	if end.After(k.lease) {
		k.lease = end
	}
}

func (k *worker) startRun(_ http.ResponseWriter, _ *http.Request, o order) (int, map[string]any) {
	known := k.running[o.Task]
	switch {
	case k.busy:
		k.world.log.write("start-refused", "worker", k.id, "task", o.Task, "run", o.Run, "status", http.StatusServiceUnavailable)
		return http.StatusServiceUnavailable, map[string]any{}
	case o.Run <= k.highest[o.Task], known != nil && known.number > o.Run:
		return http.StatusConflict, map[string]any{"reason": "old"}
	case o.Deadline == nil || *o.Deadline <= k.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	case known != nil && known.number == o.Run:
		return http.StatusOK, map[string]any{}
	}
	k.running[o.Task] = &run{task: o.Task, number: o.Run, started: time.Now()}
	k.world.log.write("run-started", "worker", k.id, "task", o.Task, "run", o.Run, "token", o.Token)
	k.world.began(o.Task)
	return http.StatusOK, map[string]any{}
}

func (k *worker) stopRun(_ http.ResponseWriter, _ *http.Request, o order) (int, map[string]any) {
	k.highest[o.Task] = max(k.highest[o.Task], o.Run)
	if r := k.running[o.Task]; r != nil && r.number == o.Run && !r.stopped {
		r.stopped = true
		k.world.log.write("stop-ordered", "worker", k.id, "task", o.Task, "run", o.Run, "token", o.Token)
		time.AfterFunc(stopTime, func() {
			k.mutex.Lock()
			defer k.mutex.Unlock()
			k.finish(r, "stopped")
		})
	}
	return http.StatusOK, map[string]any{}
}

// hold answers with what runs and what has ended, as soon as there is an end or after the time that the order sets.
func (k *worker) hold(_ http.ResponseWriter, r *http.Request, o order) (int, map[string]any) {
	var rest []runEnd
	for _, e := range k.ends {
		if e.number > o.Observed {
			rest = append(rest, e)
		}
	}
	k.ends = rest
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(o.Wait, 2000))*time.Millisecond)
	defer cancel()
	for len(k.ends) == 0 && ctx.Err() == nil && k.server != nil {
		changed := k.changed
		k.mutex.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		k.mutex.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, one := range k.running {
		running = append(running, []any{one.task, one.number, "", k.percent(one), 1000})
	}
	for _, e := range k.ends[:min(len(k.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"born": k.born, "running": running, "finished": finished}
}

// percent returns the progress of a run. The caller holds the lock.
func (k *worker) percent(r *run) int {
	work := k.world.stepOf(r.task)
	if !work.lasts {
		return int(min(99, 100*time.Since(r.started)/max(1, work.work)))
	}
	if time.Since(r.started) < lastingStartup {
		return 0
	}
	return 100
}

// atWork reports whether a task that lasts is at work on the worker now.
func (k *worker) atWork(task string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	r := k.running[task]
	return r != nil && !r.stopped && k.percent(r) == 100
}

// jobOf returns the job's id and the step in the name of a task.
func jobOf(task string) (id string, step int) {
	parts := strings.Split(task, ".")
	if len(parts) == 4 {
		_, _ = fmt.Sscan(parts[2], &step)
	}
	return parts[0], step
}

// setBusy makes the worker refuse all starts with status 503, or ends that.
func (k *worker) setBusy(busy bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.busy = busy
	k.world.log.write("worker-busy", "worker", k.id, "busy", busy)
}

// name returns the worker's id, which changes with the upkeep of its machine.
func (k *worker) name() string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.id
}
