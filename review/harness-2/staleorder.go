package main

import (
	"fmt"
	"time"
)

func init() { cases["stale-upkeep"] = staleUpkeep }

// cutTime is how long the leader's machine is cut off: `node_cut` lasts up to 12 s in the site file.
const cutTime = 10 * time.Second

// staleUpkeep asks for a wave and cuts the leader's machine off right after it has read the list of machines for it. The orders about
// a machine that the service gets must not have a lower fencing token after a higher one.
func staleUpkeep(w *world, trouble bool) (verdict, error) {
	if err := w.addWorkers(6, func(int) string { return "a" }); err != nil {
		return verdict{}, err
	}
	w.configure()
	if err := w.startHosts(5, true); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	leader := w.leader()
	if leader == nil {
		return verdict{}, fmt.Errorf("no host leads")
	}
	listed := make(chan struct{}, 100)
	w.cloud.listed = func() {
		select {
		case listed <- struct{}{}:
		default:
		}
	}
	if err := w.requestWave(1, []string{w.workers[1].machine, w.workers[2].machine, w.workers[3].machine}, 60, 1); err != nil {
		return verdict{}, err
	}
	select {
	case <-listed:
	case <-time.After(10 * time.Second):
		return verdict{}, fmt.Errorf("the leader did not read the list of machines")
	}
	if trouble {
		time.Sleep(10 * time.Millisecond) // the list is under way
		leader.links.cut()
		w.log.write("machine-cut-off", "host", leader.name)
		time.Sleep(cutTime)
		leader.links.heal()
		w.log.write("machine-back", "host", leader.name)
	}
	time.Sleep(12 * time.Second)
	var v verdict
	highest := make(map[string]machineOrder)
	for _, o := range w.cloud.ordersSoFar() {
		if h, ok := highest[o.machine]; ok && o.token < h.token {
			v.violations = append(v.violations, fmt.Sprintf("ONE: machine %s got an order of %s with token %d at %.3f s, after one of %s with token %d at %.3f s",
				o.machine, o.holder, o.token, o.at.Seconds(), h.holder, h.token, h.at.Seconds()))
			continue
		}
		highest[o.machine] = o
	}
	if len(w.cloud.ordersSoFar()) == 0 {
		return v, fmt.Errorf("the service got no order")
	}
	return v, nil
}
