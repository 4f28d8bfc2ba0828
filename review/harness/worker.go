package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the workers, as the pages give them.
const (
	heartbeat   = 1500 * time.Millisecond
	stopTime    = 150 * time.Millisecond // below stop_timeout_ms, which is 200
	maxHold     = 6 * time.Second
	workerTick  = 5 * time.Millisecond
	startupTime = 500 * time.Millisecond // of a task that lasts, until it is at work
	maxWait     = 2 * time.Second
	endsAtOnce  = 500
	gangTimeout = 3 * time.Second // gang_timeout_ms
)

// resources are what a task needs and what a worker has.
type resources struct {
	CPU   int `json:"cpu,omitempty"`
	MemMB int `json:"mem_mb,omitempty"`
	GPU   int `json:"gpu,omitempty"`
}

// worker is a stand-in of a worker. The spec of a job is "STEP=MILLISECONDS ...", the work of the tasks of each step, or
// "STEP=FROM-TO ..."; a step that is not named lasts until it is stopped.
type worker struct {
	id       string
	machine  string
	zone     string
	labels   []string
	capacity resources
	address  string
	p        *platform

	mutex     sync.Mutex
	listener  net.Listener
	server    *http.Server
	up        bool
	born      int64
	startedAt time.Time
	clockStep time.Duration // error of the time of day of the worker's machine
	running   map[string]*run
	highest   map[string]int // highest run that was stopped or ended, by task
	ends      []end
	lastEnd   int64
	token     int64
	lease     time.Duration
	sequence  int
	changed   chan struct{}
	draining  bool
	crashes   int
	down      bool // it refuses connections
}

type run struct {
	task      string
	number    int
	worker    string
	startedAt time.Duration // since the beginning of the test
	endedAt   time.Duration // 0 while it lasts
	how       string
	observed  bool // the end was taken note of
	work      time.Duration
	lasts     bool
	worked    time.Duration
	begun     time.Time
	stopAt    time.Time
	gang      *gang // nil for a task without a gang
}

// gang is one run of a gang: its members work from the moment when all of them are there, and end together.
type gang struct {
	size    int
	present int
	whole   time.Time // when all members were there; zero before
	broken  bool      // a member has ended
}

// join adds a member to the run of its gang. The spec names the size of the gang as "gang=SIZE".
func (p *platform) join(r *run, spec string) {
	size := 0
	for _, field := range strings.Fields(spec) {
		if text, ok := strings.CutPrefix(field, "gang="); ok {
			size, _ = strconv.Atoi(text)
		}
	}
	if size == 0 {
		return
	}
	key := fmt.Sprintf("%s/%d", r.task[:strings.LastIndex(r.task, ".")], r.number)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.gangs[key] == nil {
		p.gangs[key] = &gang{size: size}
	}
	r.gang = p.gangs[key]
	r.gang.present++
	if r.gang.present == size && !r.gang.broken {
		r.gang.whole = time.Now()
	}
}

// leave takes a member that has ended from its gang.
func (p *platform) leave(r *run) {
	if r.gang == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	r.gang.present--
	r.gang.broken = r.gang.broken || !r.gang.whole.IsZero()
}

// gangState returns since when a gang works, and whether another member has ended meanwhile.
func (p *platform) gangState(r *run) (time.Time, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return r.gang.whole, r.gang.broken
}

type end struct {
	number int64
	run    *run
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Observed int64  `json:"observed"`
	Wait     int64  `json:"wait_ms"`
}

// start begins a life of the worker at its address.
func (w *worker) start() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	for i := 0; err != nil && i < 100; i++ {
		time.Sleep(5 * time.Millisecond)
		listener, err = net.Listen("tcp", address)
	}
	if err != nil {
		panic(err)
	}
	w.listener, w.address = listener, listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /monsoonchute/run-start", w.runStart)
	mux.HandleFunc("POST /monsoonchute/run-stop", w.runStop)
	mux.HandleFunc("POST /monsoonchute/hold", w.hold)
	mux.HandleFunc("POST /monsoonchute/pace", w.pace)
	w.server = &http.Server{Handler: mux}
	w.up, w.startedAt, w.born = true, time.Now(), time.Now().Add(w.clockStep).UnixMilli()
	w.running, w.highest, w.ends = make(map[string]*run), make(map[string]int), nil
	w.lastEnd, w.token, w.lease, w.sequence = 0, 0, 0, 0
	w.changed = make(chan struct{})
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	go w.tick(w.born)
	go w.beat(w.born)
}

// crash ends the present life without a word: all connections are reset and all that runs ends.
func (w *worker) crash() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.crashes++
	w.endLife("lost with its worker")
}

// endLife ends the present life. The caller holds the lock.
func (w *worker) endLife(how string) {
	if !w.up {
		return
	}
	w.up = false
	for _, r := range w.running {
		r.endedAt, r.how = w.p.since(), how
		w.p.leave(r)
		w.p.record.line("worker %s: %s run %d ends: %s", w.id, r.task, r.number, how)
	}
	w.running = make(map[string]*run)
	close(w.changed)
	server := w.server
	go func() { _ = server.Close() }()
}

func (w *worker) clock() time.Duration { return time.Since(w.startedAt) }

// beat writes the worker's entry in the store while its life lasts.
func (w *worker) beat(born int64) {
	for {
		w.mutex.Lock()
		if !w.up || w.born != born {
			w.mutex.Unlock()
			return
		}
		w.writeEntry()
		w.mutex.Unlock()
		time.Sleep(heartbeat)
	}
}

// writeEntry writes the worker's entry. The caller holds the lock.
func (w *worker) writeEntry() {
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	w.p.store.put("servers", w.id, map[string]any{
		"service": "main", "address": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"sequence": w.sequence, "capacity": w.capacity, "labels": w.labels, "born": w.born, "clock_ms": w.clock().Milliseconds(),
	})
}

func (w *worker) tick(born int64) {
	ticker := time.NewTicker(workerTick)
	defer ticker.Stop()
	for range ticker.C {
		w.mutex.Lock()
		if !w.up || w.born != born {
			w.mutex.Unlock()
			return
		}
		now := time.Now()
		for _, r := range w.running {
			r.worked += workerTick
			switch {
			case !r.stopAt.IsZero() && !now.Before(r.stopAt):
				w.finish(r, "stopped")
			case w.clock() > w.lease:
				w.finish(r, "lapsed")
			case r.gang != nil:
				w.advanceGang(r, now)
			case !r.lasts && now.Sub(r.begun) >= r.work:
				w.finish(r, "done")
			}
		}
		w.mutex.Unlock()
	}
}

// advanceGang ends a member of a gang that works no more, or waits too long for the others. The caller holds the lock.
func (w *worker) advanceGang(r *run, now time.Time) {
	whole, broken := w.p.gangState(r)
	switch {
	case broken:
		w.finish(r, "broken")
	case whole.IsZero() && now.Sub(r.begun) > gangTimeout:
		w.finish(r, "alone")
	case !whole.IsZero() && now.Sub(whole) >= r.work:
		w.finish(r, "done")
	}
}

// finish ends a run. The caller holds the lock.
func (w *worker) finish(r *run, how string) {
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	r.endedAt, r.how = w.p.since(), how
	w.p.leave(r)
	w.lastEnd++
	w.ends = append(w.ends, end{number: w.lastEnd, run: r})
	w.p.record.line("worker %s: %s run %d ends: %s", w.id, r.task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// accept decodes an order. If it returns true, the caller holds the lock.
func (w *worker) accept(out http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(out, http.StatusBadRequest, nil)
		return o, false
	}
	if r.Header.Get("X-Expected-Instance") != w.id {
		answer(out, http.StatusMisdirectedRequest, nil)
		return o, false
	}
	w.mutex.Lock()
	if !w.up {
		w.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Token < w.token {
		w.refuse(out, "fence")
		return o, false
	}
	w.token = o.Token
	granted := min(time.Duration(o.Deadline)*time.Millisecond, w.clock()+maxHold)
	w.lease = max(w.lease, granted)
	return o, true
}

// refuse answers an order with a reason and releases the lock.
func (w *worker) refuse(out http.ResponseWriter, reason string) {
	clock, born := w.clock().Milliseconds(), w.born
	w.mutex.Unlock()
	answer(out, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": reason, "born": born})
}

func (w *worker) runStart(out http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(out, r)
	if !ok {
		return
	}
	existing := w.running[o.Task]
	switch {
	case o.Run <= w.highest[o.Task] || existing != nil && existing.number > o.Run:
		w.refuse(out, "old")
		return
	case time.Duration(o.Deadline)*time.Millisecond < w.clock():
		w.refuse(out, "late")
		return
	case existing == nil:
		started := &run{task: o.Task, number: o.Run, worker: w.id, startedAt: w.p.since(), begun: time.Now()}
		started.work, started.lasts = workOf(o.Spec, o.Task)
		w.p.join(started, o.Spec)
		w.running[o.Task] = started
		w.p.addRun(started)
		w.p.record.line("worker %s: %s run %d starts, token %d, spec %q", w.id, o.Task, o.Run, o.Token, short(o.Spec))
	}
	body := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born}
	w.mutex.Unlock()
	answer(out, http.StatusOK, body)
}

// workOf returns how long a task works, and whether it lasts until it is stopped.
func workOf(spec, task string) (time.Duration, bool) {
	parts := strings.Split(task, ".")
	step := parts[len(parts)-2]
	for _, field := range strings.Fields(spec) {
		name, ms, ok := strings.Cut(field, "=")
		if !ok || name != step {
			continue
		}
		from, to, ranges := strings.Cut(ms, "-")
		n, _ := strconv.Atoi(from)
		if most, _ := strconv.Atoi(to); ranges && most > n {
			n += rand.IntN(most - n)
		}
		return time.Duration(n) * time.Millisecond, false
	}
	return 0, true
}

func short(text string) string {
	if len(text) > 60 {
		return text[:60] + "..."
	}
	return text
}

func (w *worker) runStop(out http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(out, r)
	if !ok {
		return
	}
	if current := w.running[o.Task]; current != nil && current.number == o.Run {
		if current.stopAt.IsZero() {
			current.stopAt = time.Now().Add(stopTime)
			w.p.record.line("worker %s: %s run %d is to stop", w.id, o.Task, o.Run)
		}
	} else {
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	}
	body := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born}
	w.mutex.Unlock()
	answer(out, http.StatusOK, body)
}

func (w *worker) pace(out http.ResponseWriter, r *http.Request) {
	if _, ok := w.accept(out, r); !ok {
		return
	}
	body := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born}
	w.mutex.Unlock()
	answer(out, http.StatusOK, body)
}

func (w *worker) hold(out http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(out, r)
	if !ok {
		return
	}
	var left []end
	for _, e := range w.ends {
		if e.number <= o.Observed {
			e.run.observed = true
			continue
		}
		left = append(left, e)
	}
	w.ends = left
	until := time.Now().Add(min(time.Duration(o.Wait)*time.Millisecond, maxWait))
	for len(w.ends) == 0 && time.Now().Before(until) && w.up {
		changed := w.changed
		w.mutex.Unlock()
		timer := time.NewTimer(time.Until(until))
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
		w.mutex.Lock()
	}
	if !w.up {
		w.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, finished := []any{}, []any{}
	for _, current := range w.running {
		running = append(running, []any{current.task, current.number, "", w.percent(current), 10})
	}
	for i, e := range w.ends {
		if i == endsAtOnce {
			break
		}
		finished = append(finished, []any{e.number, e.run.task, e.run.number, e.run.how, ""})
	}
	body := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born, "running": running, "finished": finished}
	w.mutex.Unlock()
	answer(out, http.StatusOK, body)
}

// percent returns the progress of a run; a task that lasts is at work when it is 100.
func (w *worker) percent(r *run) int {
	spent := time.Since(r.begun)
	if r.gang != nil {
		whole, _ := w.p.gangState(r)
		if whole.IsZero() {
			return 0
		}
		spent = time.Since(whole)
	}
	if r.lasts {
		if spent >= startupTime {
			return 100
		}
		return int(100 * spent / startupTime)
	}
	return min(99, int(100*spent/max(r.work, time.Millisecond)))
}

func workerID(n int) string { return fmt.Sprintf("i-%010x", 0xa3c9d59+n*7919) }
