package soak_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// shape is a kind of job that clients hand in.
type shape struct {
	queue string
	spec  string
	steps string
	tasks []int // by step
	gpu   int
}

var shapes = []shape{
	{"u", "150", `[{"count":2,"cpu":1000,"gpu":1,"estimate_ms":150}]`, []int{2}, 1},
	{"u", "300/3", `[{"count":3,"cpu":1000,"gpu":4,"estimate_ms":300,"gang":true}]`, []int{3}, 4},
	{"a", "900", `[{"count":6,"cpu":1000,"gpu":2,"estimate_ms":900}]`, []int{6}, 2},
	{"a", "600/4", `[{"count":4,"cpu":1000,"gpu":8,"estimate_ms":600,"gang":true}]`, []int{4}, 8},
	{"a", "200", `[{"count":2,"cpu":1000,"gpu":1},{"count":3,"cpu":1000,"gpu":1,"after":[0]}]`, []int{2, 3}, 1},
}

// job is what clients know of one that they handed in.
type job struct {
	shape
	id        string
	sentAt    time.Duration
	accepted  time.Duration // 0 before
	unknown   bool          // an attempt got no answer that tells whether it is accepted
	cancelled time.Duration // when the cancellation was acknowledged; 0 before
	wanted    bool          // a cancellation was sent
}

func (j *job) path() string {
	return "/" + j.queue + "/" + j.id
}

// ledger is what clients have seen.
type ledger struct {
	mutex  sync.Mutex
	jobs   map[string]*job
	order  []*job
	faults []string
	counts map[string]int
}

func (l *ledger) fault(format string, arguments ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, arguments...))
}

func (l *ledger) count(what string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts[what]++
}

// client hands in jobs, repeats what was not served, cancels some and asks for states, on connections that it keeps.
type client struct {
	*world
	random *rand.Rand
	http   *http.Client
	number int
	made   int
}

func (w *world) newClient(number int, seed uint64) *client {
	return &client{
		world: w, random: rand.New(rand.NewPCG(seed, uint64(number)+1)), number: number,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 4 * time.Second},
	}
}

// run hands in jobs until the context ends.
func (c *client) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		j := c.newJob()
		c.submit(ctx, j)
		if j.accepted > 0 && c.random.IntN(6) == 0 {
			c.cancel(j)
		}
		c.look(c.anyJob())
		wait(ctx, time.Duration(c.random.IntN(1000))*time.Millisecond)
	}
}

func (c *client) newJob() *job {
	c.made++
	j := &job{shape: shapes[c.random.IntN(len(shapes))], id: fmt.Sprintf("%08x%08x", c.number+1, c.made), sentAt: c.platform.Since()}
	c.ledger.mutex.Lock()
	c.ledger.jobs[j.id] = j
	c.ledger.order = append(c.ledger.order, j)
	c.ledger.mutex.Unlock()
	return j
}

func (c *client) anyJob() *job {
	c.ledger.mutex.Lock()
	defer c.ledger.mutex.Unlock()
	return c.ledger.order[c.random.IntN(len(c.ledger.order))]
}

// submit hands in a job, five times at most.
func (c *client) submit(ctx context.Context, j *job) {
	body := fmt.Sprintf(`{"spec":%q,"steps":%s}`, j.spec, j.steps)
	for range 5 {
		status, _ := c.call(c.anyHost(), http.MethodPost, j.path(), body)
		c.ledger.count(fmt.Sprintf("submit %d", status))
		switch status {
		case http.StatusOK, http.StatusAccepted:
			c.ledger.mutex.Lock()
			j.accepted = c.platform.Since()
			c.ledger.mutex.Unlock()
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, notSent:
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			c.ledger.mutex.Lock()
			j.unknown = true
			c.ledger.mutex.Unlock()
		default:
			c.ledger.fault("submission of %s got status %d", j.id, status)
		}
		wait(ctx, time.Duration(100+c.random.IntN(300))*time.Millisecond)
	}
}

func (c *client) cancel(j *job) {
	c.ledger.mutex.Lock()
	j.wanted = true
	c.ledger.mutex.Unlock()
	status, _ := c.call(c.anyHost(), http.MethodDelete, j.path(), "")
	if status == http.StatusGone {
		c.ledger.fault("cancellation of %s, which was accepted, got 410", j.id)
	}
	if status == http.StatusOK {
		c.ledger.mutex.Lock()
		j.cancelled = c.platform.Since()
		c.ledger.mutex.Unlock()
	}
}

// look asks for the state of a job and checks the answer. It returns the state, empty if there is none.
func (c *client) look(j *job) string {
	c.ledger.mutex.Lock()
	accepted := j.accepted > 0
	c.ledger.mutex.Unlock()
	status, body := c.call(c.anyHost(), http.MethodGet, j.path(), "")
	var form struct {
		State string `json:"state"`
	}
	switch {
	case status == http.StatusGone && accepted:
		c.ledger.fault("%s was accepted and is not known", j.id)
	case status == http.StatusOK && json.Unmarshal([]byte(body), &form) != nil:
		c.ledger.fault("state of %s cannot be read: %s", j.id, body)
	case form.State == "completed" && !c.allDone(j):
		c.ledger.fault("%s is shown as completed, and a task of it has not ended so", j.id)
	case form.State == "failed":
		c.ledger.fault("%s is shown as failed", j.id)
	}
	return form.State
}

// allDone reports whether each task of the job has ended well on a worker.
func (w *world) allDone(j *job) bool {
	done := make(map[string]bool)
	for _, r := range w.platform.Executions() {
		if r.Outcome == "done" && strings.HasPrefix(r.Task, j.id) {
			done[r.Task] = true
		}
	}
	total := 0
	for _, n := range j.tasks {
		total += n
	}
	return len(done) == total
}

// notSent stands for a call whose host took no connection.
const notSent = -1

// call makes a call and returns the status, 0 if there was no answer. It checks that planned stops cut nothing.
func (c *client) call(h *host, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		c.ledger.fault("request: %v", err)
		return 0, ""
	}
	request.Host = "a.example"
	request.Header.Set("X-Api-Key", "key-1")
	request.Header.Set("X-Request-Deadline-Ms", "3000")
	sent := c.platform.Since()
	number := h.number()
	response, err := c.http.Do(request)
	if err != nil {
		planned, now := h.planned(sent - quietBefore)
		if broken(err) && planned && now == number && c.platform.Since()-sent > surelyRead {
			c.ledger.fault("a planned stop of %s cut %s %s: %v", h.name, method, path, err)
		}
		if !broken(err) && strings.Contains(err.Error(), "refused") {
			return notSent, ""
		}
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

const (
	// quietBefore is how long before a request nothing unplanned may have happened to the process.
	quietBefore = 3 * time.Second
	// surelyRead is the time after which a process has read a request that is on its way on loopback.
	surelyRead = 200 * time.Millisecond
)
