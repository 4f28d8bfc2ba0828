package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	serviceName = "main"
	apiKey      = "key-1"
	clientHost  = "a.example"
	queuePath   = "/a/"
	lowQueue    = "/p/"   // queue of a lower priority
	urgentQueue = "/u/"   // queue of priority 0
	otherKey    = "key-2" // of another tenant
)

// step is the part of a step that the stand-ins know of.
type step struct {
	fields map[string]any // as submitted
	work   time.Duration  // of each task
	lasts  bool
}

// accelerators returns how many accelerators each task takes.
func (s step) accelerators() int {
	count, _ := s.fields["gpu"].(int)
	return count
}

// world is the small deployment that a case plays: entry hosts, the platform and workers.
type world struct {
	log     *record
	store   *store
	cloud   *cloud
	workers []*worker
	hosts   []*host

	folder  string // of the hosts' settings and logs
	servers []*http.Server

	mutex sync.Mutex
	jobs  map[string]*job
}

// job is what the stand-ins know of a job.
type job struct {
	steps    []step
	accepted time.Time // zero before its acceptance was answered
	begun    bool      // a worker has begun one of its tasks
	left     bool      // its client has begun to cancel it
}

func newWorld(log *record) *world {
	w := &world{log: log, store: newStore(log), jobs: make(map[string]*job)}
	w.cloud = &cloud{world: w, down: make(map[string]bool), done: make(map[string]bool)}
	return w
}

// close ends all processes and servers of the world.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, k := range w.workers {
		k.crash()
	}
	if w.folder != "" && os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.folder)
	}
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (w *world) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addWorkers starts workers, each on a machine of its own, in racks of six in two zones.
func (w *world) addWorkers(count int, kind func(i int) string) error {
	for i := range count {
		k := &worker{
			world: w, id: fmt.Sprintf("i-%04x", 0x7f30+i), machine: fmt.Sprintf("m-%04x", 0x0a30+i), zone: fmt.Sprintf("zone-%c", 'a'+i%2),
			labels: []string{kind(i), fmt.Sprintf("r1-%d", i/6)}, gpus: 8,
		}
		if err := k.start(); err != nil {
			return err
		}
		w.workers = append(w.workers, k)
	}
	return nil
}

// configure writes the configuration: three queues, one service and two tenants.
func (w *world) configure() {
	route := func(name, path string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": clientHost, "path_prefix": path, "type": "unsafe", "timeout_ms": 3000, "target_duration_ms": 1000,
			"priority": priority, "service": serviceName, "attempts": 3, "stretch": 3.0, "public": false,
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": 7,
		"routes":  []any{route("queue-a", queuePath, 1), route("queue-p", lowQueue, 2), route("queue-u", urgentQueue, 0)},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"cold_start_s": 0.0, "cold_per_s": 0.0, "rejects_overload": false, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "team", "api_keys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 8}},
			map[string]any{"name": "others", "api_keys": []string{otherKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 0}},
		},
	})
	if err != nil {
		panic(err)
	}
	w.store.put("op", "config", text)
}

// addJob takes note of a job that is about to be handed in.
func (w *world) addJob(id string, steps []step) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.jobs[id] == nil {
		w.jobs[id] = &job{steps: steps}
	}
}

// accepted takes note of the acceptance of a job.
func (w *world) accepted(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if j := w.jobs[id]; j != nil && j.accepted.IsZero() {
		j.accepted = time.Now()
	}
}

// leaves takes note that the client of a job cancels it.
func (w *world) leaves(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if j := w.jobs[id]; j != nil {
		j.left = true
	}
}

// began takes note that a worker has begun a task.
func (w *world) began(task string) {
	id, _ := jobOf(task)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if j := w.jobs[id]; j != nil {
		j.begun = true
	}
}

// waitingSince returns how many jobs were accepted before the time of which no worker has begun a task yet.
func (w *world) waitingSince(before time.Time) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	count := 0
	for _, j := range w.jobs {
		if !j.begun && !j.left && !j.accepted.IsZero() && j.accepted.Before(before) {
			count++
		}
	}
	return count
}

// stepOf returns the step of a task, and an empty one if nobody has handed it in.
func (w *world) stepOf(task string) step {
	id, number := jobOf(task)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if j := w.jobs[id]; j != nil && number < len(j.steps) {
		return j.steps[number]
	}
	return step{}
}

// waitFor waits until the condition holds, and returns an error that names it if that takes too long.
func waitFor(what string, limit time.Duration, holds func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, limit)
}

// find returns the worker that runs the task, and its run, or nil.
func (w *world) find(task string) (*worker, *run) {
	for _, k := range w.workers {
		k.mutex.Lock()
		r := k.running[task]
		k.mutex.Unlock()
		if r != nil {
			return k, r
		}
	}
	return nil, nil
}

// atWork reports whether a task that lasts is at work.
func (w *world) atWork(task string) bool {
	k, _ := w.find(task)
	return k != nil && k.atWork(task)
}

// fail ends the run of a task as failed through its own fault.
func (w *world) fail(task string) error {
	k, r := w.find(task)
	if k == nil {
		return fmt.Errorf("task %s does not run", task)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.finish(r, "failed")
	return nil
}

// freeAccelerators returns how many accelerators of all workers no run takes.
func (w *world) freeAccelerators() int {
	free := 0
	for _, k := range w.workers {
		k.mutex.Lock()
		free += k.gpus
		for _, r := range k.running {
			free -= w.stepOf(r.task).accelerators()
		}
		k.mutex.Unlock()
	}
	return free
}
