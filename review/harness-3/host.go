package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// listen starts an HTTP server on a free loopback port.
func listen(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// Host is an entry host: a process of the project's program.
type Host struct {
	record   *Record
	Name     string
	Zone     string
	Front    string
	binary   string
	settings string
	log      string
	process  *exec.Cmd
	exited   chan struct{}
}

// nextPort is where the search for free ports goes on.
var nextPort = 16000 + os.Getpid()%997*16

// freePorts returns the first of four consecutive free ports.
func freePorts() int {
	for ; nextPort < 32000; nextPort += 4 {
		free := true
		for p := nextPort; p < nextPort+4; p++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			nextPort += 4
			return nextPort - 4
		}
	}
	panic("no free ports")
}

// NewHost writes the settings of a host. The addresses are those of the platform's services.
func NewHost(record *Record, folder string, number int, zone, store, cloud, advice string) *Host {
	port := freePorts()
	h := &Host{
		record: record, Zone: zone, Name: fmt.Sprintf("edge-%d", number), Front: fmt.Sprintf("127.0.0.1:%d", port), binary: "target/monsoonchuted",
		settings: filepath.Join(folder, fmt.Sprintf("boot-%d.json", number)), log: filepath.Join(folder, fmt.Sprintf("edge-%d.log", number)),
	}
	text, _ := json.Marshal(map[string]any{
		"node_name": h.Name, "role": "entry", "machine_class": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1",
		"zone": zone, "region": "r", "zones": map[string]string{"z-0": "r", "z-1": "r", "z-2": "r"},
		"bind_addresses": map[string]string{"front": h.Front, "ready": fmt.Sprintf("127.0.0.1:%d", port+1)},
		"port_range":     []int{port + 2, port + 3}, "seeds": []string{}, "bootstrap": true,
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery":    "platform",
		"entry":        "vip",
		"heartbeat_ms": heartbeatInterval.Milliseconds(), "orders": "request", "advice": advice,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "tenants", "places", "platform", "advice", "upkeep", "sharing"},
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "evac_ms": 5000, "max_hold_ms": maxLease.Milliseconds(),
			"stop_timeout_ms": 200, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "notice_ms": 4500, "maintenance_s": 2,
			"fencing_enforced": false, "lease_ms": 3000, "pace_ms": 100, "interference_ms": 4000, "reclaim_ms": 2700,
		},
		"platform":  map[string]any{"address": store, "form": "table", "writes_per_s": 600, "reads_per_s": 2000, "txn_ms": 8.0, "partition_writes_s": 150, "row_bytes": 65536, "history_s": 20},
		"cloud_api": map[string]any{"address": cloud, "rate_per_s": 60.0, "duties": []string{}, "duty_per_s": 60.0},
	})
	if err := os.WriteFile(h.settings, text, 0o600); err != nil {
		panic(err)
	}
	return h
}

// Start starts the process with the command of the deploy file.
func (h *Host) Start() {
	out, err := os.OpenFile(h.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	h.process = exec.Command(h.binary, "platform")
	h.process.Env = append(os.Environ(), "MONSOONCHUTE_BOOT="+h.settings)
	h.process.Stdout, h.process.Stderr = out, out
	if err := h.process.Start(); err != nil {
		panic(err)
	}
	exited := make(chan struct{})
	h.exited = exited
	process := h.process
	h.record.Printf("host %s starts, process %d", h.Name, process.Process.Pid)
	go func() {
		err := process.Wait()
		h.record.Printf("host %s: process %d ended: %v", h.Name, process.Process.Pid, err)
		close(exited)
		_ = out.Close()
	}()
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.record.Printf("host %s gets signal %s", h.Name, s)
	_ = h.process.Process.Signal(s)
}

// Kill ends the process and waits for that.
func (h *Host) Kill() {
	if h.process == nil {
		return
	}
	_ = h.process.Process.Signal(syscall.SIGKILL)
	<-h.exited
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Call sends a client's call to a host and returns the status and the body; status 0 means no answer.
func (h *Host) Call(method, path string, body any, timeout time.Duration) (int, string) {
	var reader io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		reader = bytes.NewReader(text)
	}
	request, _ := http.NewRequest(method, "http://"+h.Front+path, reader)
	request.Host = "jobs.example"
	request.Header.Set("X-Api-Key", "key-1")
	request.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	c := *client
	c.Timeout = timeout + 500*time.Millisecond
	response, err := c.Do(request)
	if err != nil {
		h.record.Printf("client: %s %s at %s -> no answer (%v)", method, path, h.Name, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	h.record.Printf("client: %s %s at %s -> %d %s", method, path, h.Name, response.StatusCode, text)
	return response.StatusCode, string(text)
}
