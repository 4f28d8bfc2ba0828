package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Scene is the deployment of a case: the platform, its workers and some entry hosts.
type Scene struct {
	*Record
	Store   *Store
	Fleet   *Fleet
	Cloud   *Cloud
	Advice  *Advice
	Hosts   []*Host
	Trouble bool // the case plays its disruption

	storeAddress, cloudAddress, adviceAddress, folder string
	brokenMutex                                       sync.Mutex
	broken                                            []string
	hostZone                                          func(number int) string // of a host; nil for one of two
}

// cases are the scripted cases by name. Each returns an error if it could not be played.
var cases = map[string]func(s *Scene) error{}

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("dir", ".", "folder of the record")
	flag.Parse()
	os.Exit(run(*name, *folder))
}

func run(name, folder string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Println("no such case:", name)
		return exitNotRun
	}
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	temporary, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	s := &Scene{Record: record, Trouble: os.Getenv("TROUBLE") != "0", folder: temporary}
	defer s.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		s.close()
		os.Exit(exitNotRun)
	}()
	s.Store = NewStore(record)
	s.Fleet = NewFleet(record, s.Store)
	s.Cloud = NewCloud(record, s.Fleet)
	s.Advice = &Advice{record: record}
	s.storeAddress = listen(s.Store.Handler())
	s.cloudAddress = listen(s.Cloud.Handler())
	s.adviceAddress = listen(s.Advice.Handler())
	if err := play(s); err != nil {
		s.Printf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	for _, b := range s.broken {
		fmt.Println("broken:", b)
	}
	if len(s.broken) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// close ends all processes of the scene.
func (s *Scene) close() {
	for _, h := range s.Hosts {
		h.Kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
		return
	}
	fmt.Println("logs:", s.folder)
}

// Break notes that the rule was broken.
func (s *Scene) Break(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	s.brokenMutex.Lock()
	defer s.brokenMutex.Unlock()
	s.broken = append(s.broken, text)
	s.Printf("BROKEN: %s", text)
}

// route returns a route of the configuration.
func route(name string, priority int) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": "jobs.example", "path_prefix": "/" + name + "/", "type": "unsafe", "timeout_ms": 3000,
		"target_duration_ms": 1000, "priority": priority, "service": "main", "attempts": 4, "stretch": 3.0, "public": false,
	}
}

// Config is a configuration with the queues /urgent/, /normal/, /low/ and /advised/, whose policy allows some workers only.
func Config(version int) map[string]any {
	advised := route("advised", 1)
	advised["advice"] = map[string]any{
		"decision_ms": decisionTime.Milliseconds(), "per_item_ms": timePerWorker.Milliseconds(), "validity_ms": ticketTime.Milliseconds(),
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("urgent", 0), route("normal", 1), route("low", 2), advised},
		"services": []any{map[string]any{"name": "main", "health_path": "/health", "max_connections": 64, "rejects_overload": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "team", "api_keys": []string{"key-1"}, "priority": 1, "guaranteed": map[string]int{"gpu": 8}}},
	}
}

// Open puts the configuration in force, starts workers and hosts, and waits until a job can be handed in.
func (s *Scene) Open(workers, hosts int) error {
	s.Store.Put("op", "config", Config(1))
	for i := range workers {
		s.Fleet.Add(i+1, fmt.Sprintf("z-%d", i%2), fmt.Sprintf("r-%d", i/6), 128000, 8)
	}
	for range hosts {
		s.AddHost()
	}
	return s.Await(20*time.Second, "the hosts serve", func() bool {
		for _, h := range s.Hosts {
			if status, _ := h.Call("GET", "/normal/", nil, time.Second); status != 200 {
				return false
			}
		}
		return true
	})
}

// AddHost starts one more host.
func (s *Scene) AddHost() *Host {
	zone := fmt.Sprintf("z-%d", len(s.Hosts)%2)
	if s.hostZone != nil {
		zone = s.hostZone(len(s.Hosts))
	}
	h := NewHost(s.Record, s.folder, len(s.Hosts)+1, zone, s.storeAddress, s.cloudAddress, s.adviceAddress)
	s.Hosts = append(s.Hosts, h)
	h.Start()
	return h
}

// Await waits until the condition holds, and returns an error after the limit.
func (s *Scene) Await(limit time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			s.Printf("-- %s", what)
			return nil
		}
	}
	return fmt.Errorf("in %s it did not come about that %s", limit, what)
}

// Job returns the body of a job with one step.
func Job(spec Spec, count int, more map[string]any) map[string]any {
	text, _ := json.Marshal(Specs{Steps: []Spec{spec}})
	step := map[string]any{"count": count, "cpu": max(1000, spec.CPU), "mem_mb": 1000}
	if spec.GPU > 0 {
		step["gpu"] = spec.GPU
	}
	if spec.WorkMS > 0 {
		step["estimate_ms"] = spec.WorkMS
	}
	for name, set := range map[string]bool{"long_running": spec.Lasting, "fills": spec.Fills, "gang": spec.Gang > 0, "checkpointing": spec.SaveMS > 0} {
		if set {
			step[name] = true
		}
	}
	if spec.MayMiss > 0 {
		step["may_miss"] = spec.MayMiss
	}
	if spec.TargetMS > 0 {
		step["target_ms"] = spec.TargetMS
	}
	for k, v := range more {
		step[k] = v
	}
	return map[string]any{"spec": string(text), "steps": []any{step}}
}

// AtWork returns how many tasks of the job are at work.
func (s *Scene) AtWork(job string) int {
	s.Fleet.mutex.Lock()
	defer s.Fleet.mutex.Unlock()
	n := 0
	for _, w := range s.Fleet.workers {
		for _, r := range w.running {
			if r.Task[:16] == job && (!r.Spec.Lasting || r.AtWorkAt > 0) {
				n++
			}
		}
	}
	return n
}
