package main

import (
	"fmt"
	"time"
)

func init() { cases["guarantee-not-reclaimed"] = guaranteeNotReclaimed }

const (
	// reclaimTime is the time in which a job that a guarantee covers must have begun, `reclaim_ms`.
	reclaimTime = 2700 * time.Millisecond
	// watchTime is how long the case looks on.
	watchTime = 40 * time.Second
)

// guaranteeNotReclaimed lets a lasting job of another tenant fill all workers, and hands in a job of priority 0 that needs no more than
// what is guaranteed to its tenant. One task of the lasting job may be missing, which is enough.
func guaranteeNotReclaimed(w *world, trouble bool) (verdict, error) {
	const count = 4
	if err := w.addWorkers(count, func(int) string { return "a" }); err != nil {
		return verdict{}, err
	}
	w.configure()
	if err := w.startHosts(3, false); err != nil {
		return verdict{}, err
	}
	const lasting, urgent = "5c0e7a21d94b36f8", "5c0e7a21d94b3700"
	others := newClient(w)
	others.key = otherKey
	if trouble {
		steps := []step{{lasts: true, fields: map[string]any{
			"count": count, "cpu": 4000, "mem_mb": 4096, "gpu": 8, "estimate_ms": 600000, "long_running": true, "image": "shop", "may_miss": 1,
		}}}
		if err := others.submitTo(lowQueue, lasting, "serve the counters", steps); err != nil {
			return verdict{}, err
		}
		err := waitFor("the lasting job fills all workers", 15*time.Second, func() bool { return w.freeAccelerators() == 0 })
		if err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(8 * time.Second)
	team := newClient(w)
	steps := []step{{work: time.Second, fields: map[string]any{"count": 1, "cpu": 4000, "mem_mb": 4096, "gpu": 8, "estimate_ms": 1000}}}
	if err := team.submitTo(urgentQueue, urgent, "is the chest free", steps); err != nil {
		return verdict{}, err
	}
	accepted := time.Now()
	begun := func() bool {
		k, _ := w.find(urgent + ".0.0.0")
		return k != nil
	}
	var v verdict
	for time.Since(accepted) < watchTime {
		if begun() {
			w.log.write("urgent-job-begins", "after", time.Since(accepted))
			return v, nil
		}
		if time.Since(accepted) > reclaimTime && len(v.violations) == 0 {
			v.violations = append(v.violations, fmt.Sprintf("RECLAIM: job %s, which the guarantee of its tenant covers, has not begun %v after its acceptance", urgent, reclaimTime))
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.log.write("end", "urgent-job-waits", time.Since(accepted), "state", team.stateIn(urgentQueue, urgent))
	return v, nil
}
