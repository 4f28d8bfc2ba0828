package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	stepTime = 5 * time.Millisecond
	// heartbeatInterval, maxLease, stopTime and gangTimeout are those of the settings (heartbeat_ms, max_hold_ms,
	// stop_timeout_ms, gang_timeout_ms).
	heartbeatInterval = 1500 * time.Millisecond
	maxLease          = 6 * time.Second
	stopTime          = 100 * time.Millisecond
	gangTimeout       = 3 * time.Second
)

// Specs is the JSON text of a job's spec: how the tasks of each step behave.
type Specs struct {
	Steps []Spec `json:"steps"`
}

// Spec says how the tasks of a step behave, and what they need.
type Spec struct {
	WorkMS    int  `json:"work_ms"`    // of a task that ends
	StartupMS int  `json:"startup_ms"` // of a task that lasts, until it is at work
	Lasting   bool `json:"lasting"`
	Gang      int  `json:"gang"` // members of its gang, 0 for none
	GPU       int  `json:"gpu"`  // what each task needs
	CPU       int  `json:"cpu"`  // what each task needs
	MayMiss   int  `json:"may_miss"`
	Fills     bool `json:"fills"`
	TargetMS  int  `json:"target_ms"`
	SaveMS    int  `json:"save_ms"` // between two checkpoints, 0 for none
}

// Run is one run of a task on a worker.
type Run struct {
	Task       string
	Number     int
	Worker     string
	Life       int64
	Spec       Spec
	Started    time.Duration
	Ended      time.Duration // 0 while it runs
	How        string
	AtWorkAt   time.Duration // when a lasting task came to work
	worked     time.Duration
	stoppingAt time.Duration
	checkpoint string
	pace       int
}

func (r *Run) step() string { return r.Task[:strings.LastIndex(r.Task, ".")] }

func (r *Run) percent(now time.Duration) int {
	if r.Spec.Lasting {
		if r.AtWorkAt > 0 {
			return 100
		}
		return min(99, int(100*(now-r.Started)/(time.Duration(r.Spec.StartupMS+1)*time.Millisecond)))
	}
	return min(99, int(100*r.worked/(time.Duration(r.Spec.WorkMS+1)*time.Millisecond)))
}

// work lets the run work, and save its progress now and then.
func (r *Run) work(d time.Duration) {
	save := time.Duration(r.Spec.SaveMS) * time.Millisecond
	if save > 0 && (r.worked+d)/save > r.worked/save {
		r.checkpoint = checkpointOf(r, r.worked+d)
	}
	r.worked += d
}

// checkpointOf returns the checkpoint that a run saves.
func checkpointOf(r *Run, worked time.Duration) string {
	return fmt.Sprintf("%08x%s", worked.Milliseconds(), r.Task[:8])
}

// resume returns the work that a checkpoint holds.
func resume(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	ms, _ := strconv.ParseInt(checkpoint[:8], 16, 64)
	return time.Duration(ms) * time.Millisecond
}

type end struct {
	number int64
	run    *Run
}

// Worker is a worker of the service.
type Worker struct {
	fleet    *Fleet
	ID       string
	Machine  string
	Zone     string
	Rack     string
	Kind     string
	CPU, GPU int
	address  string

	life       int64
	bornAt     time.Duration
	gone       bool // it is off
	state      string
	sequence   int
	token      int64
	leaseEnd   time.Duration // on its clock
	running    map[string]*Run
	highest    map[string]int
	ends       []end
	lastEnd    int64
	drainUntil time.Duration
}

// Fleet holds all workers and the runs that they have begun.
type Fleet struct {
	record  *Record
	store   *Store
	mutex   sync.Mutex
	workers []*Worker
	Runs    []*Run
	lives   int64
	// IDFormat is the format of the ids of workers.
	IDFormat string
	// OnEnd, if set, is called with each run that has ended, before it is listed. The fleet is locked.
	OnEnd func(r *Run)
}

// NewFleet returns a fleet without workers.
func NewFleet(record *Record, store *Store) *Fleet {
	f := &Fleet{record: record, store: store, lives: time.Now().UnixMilli(), IDFormat: "i-%08x"}
	go func() {
		for {
			time.Sleep(stepTime)
			f.tick()
		}
	}()
	return f
}

// Add starts a worker.
func (f *Fleet) Add(n int, zone, rack string, cpu, gpu int) *Worker {
	w := &Worker{
		fleet: f, ID: fmt.Sprintf(f.IDFormat, n), Machine: fmt.Sprintf("m-%04d", n), Zone: zone, Rack: rack, Kind: "a", CPU: cpu, GPU: gpu, state: "ready",
	}
	mux := http.NewServeMux()
	for _, path := range []string{"run-start", "run-stop", "hold", "pace"} {
		mux.HandleFunc("POST /monsoonchute/"+path, w.serve)
	}
	w.address = listen(mux)
	f.mutex.Lock()
	w.begin(w.ID)
	f.workers = append(f.workers, w)
	f.mutex.Unlock()
	go func() {
		for {
			f.mutex.Lock()
			w.heartbeat()
			f.mutex.Unlock()
			time.Sleep(heartbeatInterval)
		}
	}()
	return w
}

// begin starts a life of the worker. The caller holds the lock.
func (w *Worker) begin(id string) {
	f := w.fleet
	f.lives += 10
	w.ID, w.life, w.bornAt, w.gone, w.state, w.sequence = id, f.lives, f.record.Now(), false, "ready", 0
	w.token, w.leaseEnd, w.lastEnd, w.ends = 0, 0, 0, nil
	w.running, w.highest = make(map[string]*Run), make(map[string]int)
	f.record.Printf("worker %s begins on %s (born %d)", w.ID, w.Machine, w.life)
}

func (w *Worker) clock() time.Duration { return w.fleet.record.Now() - w.bornAt }

// heartbeat writes the worker's entry. The caller holds the lock.
func (w *Worker) heartbeat() {
	if w.gone {
		return
	}
	w.sequence++
	entry := map[string]any{
		"service": "main", "address": w.address, "zone": w.Zone, "version": "v1", "slots": 8, "state": w.state, "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": w.CPU, "mem_mb": 524288, "gpu": w.GPU}, "labels": []string{w.Kind, w.Rack},
		"clock_ms": w.clock().Milliseconds(), "sequence": w.sequence, "born": w.life,
	}
	if w.state == "draining" {
		entry["remaining_ms"] = max(0, (w.drainUntil - w.fleet.record.Now()).Milliseconds())
	}
	w.fleet.store.Put("servers", w.ID, entry)
}

// turnOff ends the worker's life with all that runs there, for the reason. The caller holds the lock.
func (w *Worker) turnOff(how string) {
	for _, r := range w.sorted() {
		w.finish(r, how)
	}
	w.gone = true
	w.fleet.store.Drop("servers", w.ID)
}

// LosePower ends the life of the workers without a word, all at once, and begins another under the same ids after the time.
func (f *Fleet) LosePower(workers []*Worker, d time.Duration) {
	f.mutex.Lock()
	for _, w := range workers {
		for _, r := range w.sorted() {
			w.finish(r, "crashed")
		}
		w.gone = true
	}
	f.mutex.Unlock()
	time.Sleep(d)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, w := range workers {
		w.begin(w.ID)
		w.heartbeat()
	}
}

func (w *Worker) sorted() []*Run {
	runs := make([]*Run, 0, len(w.running))
	for _, r := range w.running {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].Task < runs[j].Task })
	return runs
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	Token        int64  `json:"fencing_token"`
	Checkpointed string `json:"checkpointed"`
	Percent      int    `json:"percent"`
	Observed     int64  `json:"observed"`
	WaitMS       int64  `json:"wait_ms"`
}

func (w *Worker) serve(out http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	f := w.fleet
	f.mutex.Lock()
	if w.gone {
		f.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.ID {
		f.mutex.Unlock()
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, answer := w.carryOut(r.URL.Path, o)
	if status == http.StatusOK && strings.HasSuffix(r.URL.Path, "hold") {
		f.mutex.Unlock()
		w.awaitEnd(r, o)
		f.mutex.Lock()
		answer = w.lists()
	}
	answer["clock_ms"] = w.clock().Milliseconds()
	f.mutex.Unlock()
	respond(out, status, answer)
}

// carryOut carries out an order. The caller holds the lock.
func (w *Worker) carryOut(path string, o order) (int, map[string]any) {
	f := w.fleet
	name := path[strings.LastIndex(path, "/")+1:]
	refuse := func(reason string) (int, map[string]any) {
		if name != "hold" {
			f.record.Printf("worker %s: %s %s/%d token %d -> 409 %s", w.ID, name, o.Task, o.Run, o.Token, reason)
		}
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if o.Token < w.token {
		return refuse("fence")
	}
	w.token = o.Token
	deadline := min(time.Duration(o.DeadlineMS)*time.Millisecond, w.clock()+maxLease)
	w.leaseEnd = max(w.leaseEnd, deadline)
	switch name {
	case "run-start":
		existing := w.running[o.Task]
		if existing != nil && existing.Number == o.Run {
			break
		}
		if o.Run <= w.highest[o.Task] || existing != nil && existing.Number > o.Run {
			return refuse("old")
		}
		if w.leaseEnd <= w.clock() {
			return refuse("late")
		}
		if existing != nil {
			w.finish(existing, "stopped")
		}
		run := &Run{Task: o.Task, Number: o.Run, Worker: w.ID, Life: w.life, Started: f.record.Now(), checkpoint: o.Checkpointed, pace: 100}
		run.Spec = specOf(o)
		run.worked = resume(o.Checkpointed)
		w.running[o.Task] = run
		f.Runs = append(f.Runs, run)
		f.record.Printf("worker %s: run %s/%d begins, token %d", w.ID, o.Task, o.Run, o.Token)
	case "run-stop":
		if r := w.running[o.Task]; r != nil && r.Number <= o.Run && r.stoppingAt == 0 {
			r.stoppingAt = f.record.Now() + stopTime
			f.record.Printf("worker %s: stop %s/%d, token %d", w.ID, o.Task, o.Run, o.Token)
		}
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	case "pace":
		if r := w.running[o.Task]; r != nil && r.Number == o.Run {
			r.pace = o.Percent
			f.record.Printf("worker %s: pace %s/%d %d%%, token %d", w.ID, o.Task, o.Run, o.Percent, o.Token)
		}
	case "hold":
		kept := w.ends[:0]
		for _, e := range w.ends {
			if e.number > o.Observed {
				kept = append(kept, e)
			}
		}
		w.ends = kept
	}
	return http.StatusOK, map[string]any{"born": w.life}
}

// specOf returns the spec of the step of the task that an order starts.
func specOf(o order) Spec {
	var specs Specs
	parts := strings.Split(o.Task, ".")
	step, err := strconv.Atoi(parts[len(parts)-2])
	if err != nil || json.Unmarshal([]byte(o.Spec), &specs) != nil || step >= len(specs.Steps) {
		return Spec{}
	}
	return specs.Steps[step]
}

// awaitEnd waits until an end is listed, or for the time that the order allows.
func (w *Worker) awaitEnd(r *http.Request, o order) {
	until := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for time.Now().Before(until) && r.Context().Err() == nil {
		w.fleet.mutex.Lock()
		done := len(w.ends) > 0 || w.gone
		w.fleet.mutex.Unlock()
		if done {
			return
		}
		time.Sleep(stepTime)
	}
}

// lists returns the lists of runs and ends. The caller holds the lock.
func (w *Worker) lists() map[string]any {
	running, finished := []any{}, []any{}
	for _, r := range w.sorted() {
		running = append(running, []any{r.Task, r.Number, r.checkpoint, r.percent(w.fleet.record.Now()), w.fifth(r)})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.number, e.run.Task, e.run.Number, e.run.How, e.run.checkpoint})
	}
	return map[string]any{"running": running, "finished": finished, "born": w.life}
}

// fifth returns the last entry of a row in the list of runs: the tail of a serving task, and the processor in use of another.
func (w *Worker) fifth(r *Run) int {
	if r.Spec.TargetMS == 0 {
		return r.Spec.CPU * r.pace / 100
	}
	tail := r.Spec.TargetMS * 4 / 10
	for _, other := range w.running {
		if other.Spec.Fills {
			tail += r.Spec.TargetMS * other.pace / 100
		}
	}
	return tail
}

// finish ends a run. The caller holds the lock.
func (w *Worker) finish(r *Run, how string) {
	delete(w.running, r.Task)
	w.highest[r.Task] = max(w.highest[r.Task], r.Number)
	r.Ended, r.How = w.fleet.record.Now(), how
	w.lastEnd++
	w.ends = append(w.ends, end{number: w.lastEnd, run: r})
	w.fleet.record.Printf("worker %s: run %s/%d ends: %s", w.ID, r.Task, r.Number, how)
	if w.fleet.OnEnd != nil {
		w.fleet.OnEnd(r)
	}
}

// tick advances all runs.
func (f *Fleet) tick() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.record.Now()
	members := make(map[string]int)
	for _, w := range f.workers {
		for _, r := range w.running {
			members[fmt.Sprintf("%s/%d", r.step(), r.Number)]++
		}
	}
	done := make(map[string]bool)
	for _, w := range f.workers {
		for _, r := range w.sorted() {
			gang := fmt.Sprintf("%s/%d", r.step(), r.Number)
			switch {
			case w.clock() > w.leaseEnd:
				w.finish(r, "lapsed")
			case r.stoppingAt > 0 && now >= r.stoppingAt:
				w.finish(r, "stopped")
			case r.Spec.Lasting:
				if r.AtWorkAt == 0 && now-r.Started >= time.Duration(r.Spec.StartupMS)*time.Millisecond {
					r.AtWorkAt = now
				}
			case r.Spec.Gang > 0 && members[gang] < r.Spec.Gang:
				if now-r.Started > gangTimeout {
					w.finish(r, "alone")
				}
			default:
				r.work(stepTime * time.Duration(r.pace) / 100)
				if r.worked >= time.Duration(r.Spec.WorkMS)*time.Millisecond {
					if r.Spec.Gang > 0 {
						done[gang] = true
					} else {
						w.finish(r, "done")
					}
				}
			}
		}
	}
	for _, w := range f.workers {
		for _, r := range w.sorted() {
			if done[fmt.Sprintf("%s/%d", r.step(), r.Number)] {
				w.finish(r, "done")
			}
		}
	}
}
