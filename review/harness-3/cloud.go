package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is how long the upkeep of a machine takes (maintenance_s of the settings).
const upkeepTime = 2 * time.Second

// Upkeep is an order for the upkeep of a machine that was carried out.
type Upkeep struct {
	Machine, Holder string
	Wave            int
	Token           int64
	At              time.Duration
	Begun           bool // an upkeep began, rather than being there already
}

// Cloud is the platform's service of machines.
type Cloud struct {
	record *Record
	fleet  *Fleet
	// PageSize is the number of machines on a page of the list.
	PageSize int
	// Latency is how long each answer takes.
	Latency time.Duration

	mutex   sync.Mutex
	done    map[string]map[int]bool
	down    map[string]bool
	Upkeeps []Upkeep
	// OnUpkeep, if set, is called before the upkeep of a machine begins.
	OnUpkeep func(machine string, wave int)
}

// NewCloud returns the service for the machines of the fleet.
func NewCloud(record *Record, fleet *Fleet) *Cloud {
	return &Cloud{record: record, fleet: fleet, PageSize: 200, Latency: 4 * time.Millisecond, done: make(map[string]map[int]bool), down: make(map[string]bool)}
}

// Handler returns the HTTP handler of the service.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /monsoonchute/machines", c.list)
	mux.HandleFunc("POST /monsoonchute/machine-upkeep", c.upkeep)
	return mux
}

func (c *Cloud) latency() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.Latency
}

// SetLatency sets how long each answer takes from now on.
func (c *Cloud) SetLatency(d time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.Latency = d
}

// list returns a page of the list, as of the moment at which the request arrives.
func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	first, _ := strconv.Atoi(r.URL.Query().Get("page_token"))
	c.mutex.Lock()
	c.fleet.mutex.Lock()
	machines := []any{}
	last := min(len(c.fleet.workers), first+c.PageSize)
	for _, worker := range c.fleet.workers[first:last] {
		state, id := "up", worker.ID
		switch {
		case c.down[worker.Machine]:
			state, id = "upkeep", ""
		case worker.gone:
			state, id = "down", ""
		}
		machines = append(machines, map[string]any{
			"machine": worker.Machine, "pool": "main", "state": state, "zone": worker.Zone, "labels": []string{worker.Kind, worker.Rack},
			"capacity": map[string]int{"cpu": worker.CPU, "mem_mb": 524288, "gpu": worker.GPU}, "id": id,
		})
	}
	var next any
	if last < len(c.fleet.workers) {
		next = strconv.Itoa(last)
	}
	c.fleet.mutex.Unlock()
	c.mutex.Unlock()
	time.Sleep(c.latency())
	respond(w, http.StatusOK, map[string]any{"machines": machines, "next_token": next})
}

// upkeep takes a machine down for its upkeep as the order arrives.
func (c *Cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	status, reason := c.carryOut(o.Machine, o.Wave, r.Header.Get("X-Lease-Holder"), token)
	time.Sleep(c.latency())
	respond(w, status, map[string]any{"reason": reason})
}

func (c *Cloud) carryOut(machine string, wave int, holder string, token int64) (int, string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var worker *Worker
	for _, w := range c.fleet.workers {
		if w.Machine == machine {
			worker = w
		}
	}
	if worker == nil {
		return http.StatusBadRequest, ""
	}
	begun := false
	if !c.done[machine][wave] {
		if c.down[machine] {
			return http.StatusConflict, "busy"
		}
		if c.OnUpkeep != nil {
			c.OnUpkeep(machine, wave)
		}
		begun = true
		if c.done[machine] == nil {
			c.done[machine] = make(map[int]bool)
		}
		c.done[machine][wave], c.down[machine] = true, true
		c.fleet.mutex.Lock()
		worker.turnOff("upkeep")
		c.fleet.mutex.Unlock()
		go c.bringBack(worker)
	}
	c.Upkeeps = append(c.Upkeeps, Upkeep{Machine: machine, Holder: holder, Wave: wave, Token: token, At: c.record.Now(), Begun: begun})
	c.record.Printf("cloud: upkeep of %s (wave %d) by %s, token %d, begins: %t", machine, wave, holder, token, begun)
	return http.StatusOK, ""
}

func (c *Cloud) bringBack(w *Worker) {
	time.Sleep(upkeepTime)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fleet.mutex.Lock()
	defer c.fleet.mutex.Unlock()
	c.down[w.Machine] = false
	w.begin(w.ID + "n")
	w.heartbeat()
	c.record.Printf("cloud: %s is up again", w.Machine)
}

// downCount returns the number of machines that are down for their upkeep. The caller holds the lock.
func (c *Cloud) downCount() int {
	n := 0
	for _, down := range c.down {
		if down {
			n++
		}
	}
	return n
}
