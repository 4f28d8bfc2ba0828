package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// clientDeadline is how long a client waits for a response.
const clientDeadline = 3 * time.Second

// step is a step of a job as a client submits it.
type step struct {
	Count int `json:"count"`
	resources
	EstimateMS  int    `json:"estimate_ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	MayMiss     int    `json:"may_miss,omitempty"`
	Anti        int    `json:"anti_affinity,omitempty"`
	Label       string `json:"required_label,omitempty"`
}

// job is a job as a client submits it.
type job struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Repeat     int    `json:"repeat_count,omitempty"`
	StartAtMS  int64  `json:"start_at_ms,omitempty"`
	IntervalMS int64  `json:"interval_ms,omitempty"`
}

var jobCount int

// newID returns a job's id.
func newID() string {
	jobCount++
	return fmt.Sprintf("%016x", 0x5c0e7a2100000000+uint64(jobCount)*0x9e3779b1)
}

// call sends one call of the first tenant to a host and returns the status, 0 without an answer, and the state in the body.
func (p *platform) call(h *host, method, path string, body any, wait time.Duration) (int, string) {
	return p.callAs("key-1", h, method, path, body, wait)
}

func (p *platform) callAs(key string, h *host, method, path string, body any, wait time.Duration) (int, string) {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, reader)
	if err != nil {
		panic(err)
	}
	request.Host = "jobs.example"
	request.Close = true
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		p.record.line("client: %s %s to %s: no answer", method, path, h.name)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		p.record.line("client: %s %s to %s: broken answer", method, path, h.name)
		return 0, ""
	}
	p.record.line("client: %s %s to %s: %d %s", method, path, h.name, response.StatusCode, short(string(text)))
	var decoded struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(text, &decoded)
	return response.StatusCode, decoded.State
}

// submit hands a job in until a host accepts it, and reports whether one did.
func (p *platform) submit(queue, id string, j job) bool {
	for attempt := range 20 {
		h := p.hosts[attempt%len(p.hosts)]
		status, _ := p.call(h, http.MethodPost, queue+id, j, clientDeadline)
		if status >= 200 && status < 300 {
			return true
		}
		if status == http.StatusBadRequest {
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks the hosts in turn for a job's state until one answers.
func (p *platform) state(queue, id string) (int, string) {
	status, state := 0, ""
	for _, h := range p.hosts {
		if !h.running() {
			continue
		}
		status, state = p.call(h, http.MethodGet, queue+id, nil, clientDeadline)
		if status == http.StatusOK || status == http.StatusGone {
			return status, state
		}
	}
	return status, state
}

// awaitState asks for a job's state until it is the given one or the time is up, and returns the last one.
func (p *platform) awaitState(queue, id, want string, limit time.Duration) string {
	last := ""
	for until := time.Now().Add(limit); time.Now().Before(until); {
		status, state := p.state(queue, id)
		last = state
		if status == http.StatusGone {
			last = "unknown (410)"
		}
		if state == want {
			return state
		}
		time.Sleep(300 * time.Millisecond)
	}
	return last
}
