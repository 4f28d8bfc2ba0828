package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		panic(err)
	}
	return &record{file: file, begun: time.Now()}
}

func (r *record) line(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, arguments ...any) {
	r.line(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// platform is a small deployment: stand-ins of the store, the workers and the machine service, and entry hosts as processes.
type platform struct {
	record  *record
	folder  string // temporary
	begun   time.Time
	store   *store
	address string // of the store
	workers []*worker
	cloud   *cloud
	hosts   []*host

	mutex sync.Mutex
	runs  []*run
	gangs map[string]*gang
}

// newPlatform starts the stand-ins. The clean-up function ends them and all processes.
func newPlatform(r *record) (*platform, func()) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		panic(err)
	}
	p := &platform{record: r, folder: folder, begun: time.Now(), gangs: make(map[string]*gang)}
	p.store = newStore(r, p.since)
	p.address = serve(p.store.handler())
	return p, func() {
		for _, h := range p.hosts {
			h.kill()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		} else {
			fmt.Println("logs:", folder)
		}
	}
}

// serve serves the handler on a free loopback port and returns its address.
func serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String()
}

func (p *platform) since() time.Duration { return time.Since(p.begun) }

func (p *platform) addRun(r *run) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.runs = append(p.runs, r)
}

// runsOf returns the runs of a job.
func (p *platform) runsOf(id string) []*run {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var runs []*run
	for _, r := range p.runs {
		if strings.HasPrefix(r.task, id+".") {
			runs = append(runs, r)
		}
	}
	return runs
}

// addWorkers starts workers, six a rack, each on a machine of its own.
func (p *platform) addWorkers(count int, capacity resources, labels func(n int) []string) {
	for n := range count {
		w := &worker{
			id: workerID(n), machine: fmt.Sprintf("m-%02d", n), zone: fmt.Sprintf("zone-%c", 'a'+n%2),
			labels: []string{"a", fmt.Sprintf("r1-%d", n/6)}, capacity: capacity, p: p,
		}
		if labels != nil {
			w.labels = append(labels(n), fmt.Sprintf("r1-%d", n/6))
		}
		w.start()
		p.workers = append(p.workers, w)
	}
}

// writeConfig writes the operator's configuration: the queues /slow/ (priority 1) and /quick/ (priority 0) of one service.
func (p *platform) writeConfig() {
	route := func(name, path string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": "jobs.example", "path_prefix": path, "timeout_ms": 3000, "target_duration_ms": 1000, "priority": priority,
			"service": "main", "attempts": 3, "stretch": 3.0,
		}
	}
	p.store.put("op", "config", map[string]any{
		"version": 3, "routes": []any{route("slow", "/slow/", 1), route("quick", "/quick/", 0)},
		"services": []any{map[string]any{"name": "main", "health_path": "/health", "max_connections": 64, "rejects_overload": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{tenant("team", "key-1", 8), tenant("other", "key-2", 32)},
	})
}

// tenant returns a tenant with a guarantee.
func tenant(name, key string, accelerators int) map[string]any {
	return map[string]any{"name": name, "api_keys": []string{key}, "priority": 1, "guaranteed": map[string]any{"gpu": accelerators}}
}

// host is an entry host as a process of its own.
type host struct {
	name     string
	front    string
	settings string
	log      string
	binary   string
	process  *exec.Cmd
	done     chan struct{}
}

// startHosts starts entry hosts with settings like those of DEPLOY.md.
func (p *platform) startHosts(count int) {
	root := os.Getenv("REVIEW_ROOT")
	for n := range count {
		ports := freePorts(4)
		h := &host{
			name: fmt.Sprintf("edge-%d", n+1), front: fmt.Sprintf("127.0.0.1:%d", ports),
			settings: filepath.Join(p.folder, fmt.Sprintf("boot-%d.json", n+1)), log: filepath.Join(p.folder, fmt.Sprintf("edge-%d.log", n+1)),
			binary: filepath.Join(root, "target", "monsoonchuted"),
		}
		cloudAddress := ""
		if p.cloud != nil {
			cloudAddress = p.cloud.address
		}
		text, err := json.Marshal(map[string]any{
			"node_name": h.name, "role": "entry", "machine_class": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1",
			"zone": fmt.Sprintf("zone-%c", 'a'+n%2), "region": "r", "zones": map[string]string{"zone-a": "r", "zone-b": "r"},
			"bind_addresses": map[string]string{"front": h.front, "ready": fmt.Sprintf("127.0.0.1:%d", ports+1)},
			"port_range":     []int{ports + 2, ports + 3}, "seeds": []string{}, "bootstrap": true, "counts_as_loss": false,
			"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
			"bounds": map[string]any{
				"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "evac_ms": 5000, "max_hold_ms": 6000,
				"stop_timeout_ms": 200, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120,
				"notice_ms": 4500, "maintenance_s": 2, "fencing_enforced": false, "lease_ms": 3000,
			},
			"orders": "request", "advice": "",
			"platform": map[string]any{
				"address": p.address, "form": "table", "writes_per_s": 600, "reads_per_s": 2000, "txn_ms": 8.0, "partition_writes_s": 150,
				"row_bytes": rowBytes, "across": false, "history_s": 20,
			},
			"cloud_api": map[string]any{"address": cloudAddress, "rate_per_s": 60.0, "duties": []string{}, "duty_per_s": 60.0},
		})
		if err != nil {
			panic(err)
		}
		if err := os.WriteFile(h.settings, text, 0o600); err != nil {
			panic(err)
		}
		p.hosts = append(p.hosts, h)
		h.start(root)
	}
	for _, h := range p.hosts {
		h.await()
	}
}

func (h *host) start(root string) {
	out, err := os.OpenFile(h.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	h.process = exec.Command(h.binary, "platform")
	h.process.Dir = root
	h.process.Env = append(os.Environ(), "MONSOONCHUTE_BOOT="+h.settings)
	h.process.Stdout, h.process.Stderr = out, out
	if err := h.process.Start(); err != nil {
		panic(fmt.Sprintf("the daemon cannot be started: %v", err))
	}
	h.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		_ = out.Close()
		close(done)
	}(h.process, h.done)
}

// await waits until the host accepts connections.
func (h *host) await() {
	for range 1000 {
		if c, err := net.Dial("tcp", h.front); err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	panic("a host does not accept connections")
}

func (h *host) kill() {
	if h.done == nil {
		return
	}
	_ = h.process.Process.Signal(syscall.SIGCONT)
	_ = h.process.Process.Kill()
	<-h.done
}

// running reports whether the process has not ended.
func (h *host) running() bool {
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

var lastPort = 12000 + (os.Getpid()*37)%16000

// freePorts returns the first of so many consecutive free ports.
func freePorts(count int) int {
	for {
		lastPort = 12000 + (lastPort-12000+count)%18000
		free := true
		for i := range count {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lastPort+i))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return lastPort
		}
	}
}
