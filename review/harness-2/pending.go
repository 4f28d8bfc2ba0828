package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["pending-forgets-jobs"] = pendingForgetsJobs }

const (
	// greyTime is how long the worker refuses starts: `srv_grey` lasts up to 6.5 s in the site file.
	greyTime = 6500 * time.Millisecond
	// countedAge is the age from which on a job must be counted: visible_ms and 2 s.
	countedAge = 5 * time.Second
)

// pendingForgetsJobs lets one of ten workers refuse its starts for some seconds while all others are taken and jobs wait. The hosts
// must go on to count the jobs of which no task has started.
func pendingForgetsJobs(w *world, trouble bool) (verdict, error) {
	const count, waiting = 10, 8
	if err := w.addWorkers(count, func(int) string { return "a" }); err != nil {
		return verdict{}, err
	}
	w.configure()
	if err := w.startHosts(3, false); err != nil {
		return verdict{}, err
	}
	c := newClient(w)
	for i := range count { // one job takes each worker, the first one for a shorter time
		work := 100 * time.Second
		if i == 0 {
			work = 10 * time.Second
		}
		whole := []step{{work: work, fields: map[string]any{"count": 1, "cpu": 16000, "mem_mb": 16384, "gpu": 8, "estimate_ms": work.Milliseconds()}}}
		if err := c.submit(fmt.Sprintf("1111000000000%03x", i), "rank the lot", whole); err != nil {
			return verdict{}, err
		}
	}
	if err := waitFor("all workers are taken", 10*time.Second, func() bool { return w.freeAccelerators() == 0 }); err != nil {
		return verdict{}, err
	}
	grey, _ := w.find("1111000000000000.0.0.0")
	if grey == nil {
		return verdict{}, fmt.Errorf("the first job does not run")
	}
	small := []step{{work: time.Second, fields: map[string]any{"count": 1, "cpu": 2000, "mem_mb": 2048, "gpu": 1, "estimate_ms": 1000}}}
	for i := range waiting {
		if err := c.submit(fmt.Sprintf("2222000000000%03x", i), "look up the piece", small); err != nil {
			return verdict{}, err
		}
	}
	p := &poll{world: w}
	stop := p.start()
	if trouble {
		time.Sleep(9 * time.Second)
		grey.setBusy(true)
		time.Sleep(greyTime)
		grey.setBusy(false)
	}
	time.Sleep(15 * time.Second)
	stop()
	return verdict{violations: p.violations()}, nil
}

// poll asks all hosts again and again how many jobs of the queue are pending.
type poll struct {
	world  *world
	mutex  sync.Mutex
	broken map[string]string // first violation by host
}

// start asks all hosts until the returned function is called.
func (p *poll) start() func() {
	p.broken = make(map[string]string)
	done := make(chan struct{})
	var all sync.WaitGroup
	for _, h := range p.world.hosts {
		all.Add(1)
		go func() {
			defer all.Done()
			p.ask(h, done)
		}()
	}
	return func() {
		close(done)
		all.Wait()
	}
}

// pollInterval is the time between two calls to a host.
const pollInterval = 50 * time.Millisecond

// ask asks one host.
func (p *poll) ask(h *host, done chan struct{}) {
	last := -1
	for {
		select {
		case <-done:
			return
		case <-time.After(pollInterval):
		}
		sent := time.Now()
		answer, ok := h.pending()
		if !ok {
			continue
		}
		waiting := p.world.waitingSince(sent.Add(-countedAge)) // those that have begun meanwhile are left out
		if answer != last {
			last = answer
			p.world.log.write("pending", "host", h.name, "answer", answer, "have-waited-for-long", waiting)
		}
		if 2*answer < waiting {
			p.note(h.name, fmt.Sprintf("MIXED: host %s gives %d as pending, while %d jobs that were accepted over %v before have not begun", h.name, answer, waiting, countedAge))
		}
	}
}

func (p *poll) note(host, text string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.broken[host] == "" {
		p.broken[host] = text
	}
}

func (p *poll) violations() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var all []string
	for _, text := range p.broken {
		all = append(all, text)
	}
	return all
}

// pending asks the host how many jobs of the queue are pending, and reports false if it doesn't tell.
func (h *host) pending() (int, bool) {
	request, err := http.NewRequest(http.MethodGet, "http://"+h.front+queuePath, nil)
	if err != nil {
		return 0, false
	}
	request.Host = clientHost
	request.Header.Set("X-Api-Key", apiKey)
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Pending *int `json:"pending"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	if err != nil || response.StatusCode != http.StatusOK || answer.Pending == nil {
		return 0, false
	}
	return *answer.Pending, true
}
