package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// maintenanceTime is how long a machine is down for its upkeep.
const maintenanceTime = 2 * time.Second

// machineOrder is an order about a machine as the service has received it.
type machineOrder struct {
	at      time.Duration
	machine string
	wave    int
	holder  string
	token   int64
}

// cloud is a stand-in of the service that lists machines and takes them down for upkeep. It doesn't check fences.
type cloud struct {
	world  *world
	mutex  sync.Mutex
	orders []machineOrder
	down   map[string]bool // machines that are down for their upkeep
	done   map[string]bool // machines and waves whose upkeep has begun
	next   int             // number of the next worker
	listed func()          // told of each list that was answered; may be nil
}

// handler returns the service's interface.
func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /monsoonchute/machines", c.list)
	mux.HandleFunc("POST /monsoonchute/machine-upkeep", c.upkeep)
	return mux
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mutex.Lock()
	machines := []map[string]any{}
	for _, k := range c.world.workers {
		state := "up"
		if c.down[k.machine] {
			state = "upkeep"
		}
		machines = append(machines, map[string]any{
			"machine": k.machine, "pool": serviceName, "state": state, "zone": k.zone, "labels": k.labels,
			"capacity": map[string]int{"cpu": 64000, "mem_mb": 131072, "gpu": k.gpus}, "id": k.name(),
		})
	}
	c.mutex.Unlock()
	sort.Slice(machines, func(i, j int) bool { return fmt.Sprint(machines[i]["machine"]) < fmt.Sprint(machines[j]["machine"]) })
	respond(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
	if c.listed != nil {
		c.listed()
	}
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	token, _ := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	status, reason := c.begin(machineOrder{at: c.world.log.since(), machine: o.Machine, wave: o.Wave, holder: r.Header.Get("X-Lease-Holder"), token: token})
	c.world.log.write("machine-order", "machine", o.Machine, "wave", o.Wave, "holder", r.Header.Get("X-Lease-Holder"), "token", token, "status", status, "reason", reason)
	body := map[string]any{}
	if reason != "" {
		body["reason"] = reason
	}
	respond(w, status, body)
}

// begin takes note of an order and begins the upkeep, unless it is done or the machine is not up.
func (c *cloud) begin(o machineOrder) (int, string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.orders = append(c.orders, o)
	var target *worker
	for _, k := range c.world.workers {
		if k.machine == o.machine {
			target = k
		}
	}
	key := fmt.Sprintf("%s/%d", o.machine, o.wave)
	switch {
	case target == nil:
		return http.StatusBadRequest, ""
	case c.done[key]:
		return http.StatusOK, ""
	case c.down[o.machine]:
		return http.StatusConflict, "busy"
	}
	c.done[key], c.down[o.machine] = true, true
	c.world.log.write("upkeep-begins", "machine", o.machine, "wave", o.wave)
	target.crash()
	time.AfterFunc(maintenanceTime, func() { c.finish(target) })
	return http.StatusOK, ""
}

// finish brings a machine back with a new worker, at the address of the former one.
func (c *cloud) finish(k *worker) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.next++
	k.mutex.Lock()
	k.id = fmt.Sprintf("i-%04x", 0x9000+c.next)
	k.mutex.Unlock()
	if err := k.start(); err != nil {
		c.world.log.write("worker-not-back", "machine", k.machine, "error", err)
	}
	delete(c.down, k.machine)
	c.world.log.write("upkeep-ends", "machine", k.machine, "worker", k.name())
}

// ordersSoFar returns the orders that the service has received.
func (c *cloud) ordersSoFar() []machineOrder {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]machineOrder(nil), c.orders...)
}

// requestWave asks for the upkeep of machines.
func (w *world) requestWave(number int, machines []string, finishBy, atOnce int) error {
	text, err := json.Marshal(map[string]any{"wave": number, "machines": machines, "finish_by_s": finishBy, "max_count": atOnce})
	if err != nil {
		return err
	}
	w.store.put("op", fmt.Sprintf("wave/%d", number), text)
	w.log.write("wave-requested", "wave", number, "machines", machines, "max-count", atOnce)
	return nil
}
