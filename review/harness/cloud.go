package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// maintenanceTime is how long a machine's upkeep takes (maintenance_s).
const maintenanceTime = 2 * time.Second

// cloud is a stand-in of the service that lists machines and takes them down.
type cloud struct {
	p       *platform
	address string

	mutex   sync.Mutex
	upkeeps map[string]map[int]bool // waves in which a machine has had its upkeep begun
	down    map[string]bool
}

func (p *platform) startCloud() {
	c := &cloud{p: p, upkeeps: make(map[string]map[int]bool), down: make(map[string]bool)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /monsoonchute/machines", c.list)
	mux.HandleFunc("POST /monsoonchute/machine-upkeep", c.upkeep)
	c.address = serve(mux)
	p.cloud = c
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	machines := []any{}
	for _, k := range c.p.workers {
		state := "up"
		if c.down[k.machine] {
			state = "upkeep"
		}
		machines = append(machines, map[string]any{
			"machine": k.machine, "pool": "main", "state": state, "zone": k.zone, "labels": k.labels, "capacity": k.capacity, "id": k.id,
		})
	}
	answer(w, http.StatusOK, map[string]any{"machines": machines, "next_token": ""})
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, k := range c.p.workers {
		if k.machine != o.Machine {
			continue
		}
		switch {
		case c.upkeeps[o.Machine][o.Wave]:
			answer(w, http.StatusOK, nil)
		case c.down[o.Machine]:
			answer(w, http.StatusConflict, map[string]any{"reason": "busy"})
		default:
			c.begin(k, o.Wave, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token"))
			answer(w, http.StatusOK, nil)
		}
		return
	}
	answer(w, http.StatusBadRequest, nil)
}

// begin takes a machine down. The caller holds the lock.
func (c *cloud) begin(k *worker, wave int, holder, token string) {
	if c.upkeeps[k.machine] == nil {
		c.upkeeps[k.machine] = make(map[int]bool)
	}
	c.upkeeps[k.machine][wave], c.down[k.machine] = true, true
	c.p.record.line("cloud: upkeep of %s (worker %s) for wave %d begins, ordered by %s with token %s", k.machine, k.id, wave, holder, token)
	k.mutex.Lock()
	k.endLife("ended by the upkeep")
	k.mutex.Unlock()
	c.p.store.remove("servers", k.id)
	time.AfterFunc(maintenanceTime, func() {
		c.mutex.Lock()
		c.down[k.machine] = false
		k.mutex.Lock()
		k.id += "n" // another worker joins the pool
		k.mutex.Unlock()
		c.mutex.Unlock()
		k.start()
	})
}
