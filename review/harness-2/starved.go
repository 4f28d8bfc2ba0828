package main

import (
	"fmt"
	"time"
)

func init() { cases["lasting-task-starves"] = lastingTaskStarves }

const (
	// standTime is how long a task that lasts may stand beside room for it, from graceAfterRun after its last run.
	standTime     = 3 * time.Second
	graceAfterRun = 6 * time.Second
)

// lastingTaskStarves lets one of two tasks that last fail while a large gang of a higher priority waits for the workers on which they
// run. The task must run again, since nearly all accelerators are free.
func lastingTaskStarves(w *world, trouble bool) (verdict, error) {
	if err := w.addWorkers(6, func(int) string { return "a" }); err != nil {
		return verdict{}, err
	}
	w.configure()
	if err := w.startHosts(3, false); err != nil {
		return verdict{}, err
	}
	c := newClient(w)
	const lasting, large = "5c0e7a21d94b36f8", "5c0e7a21d94b3700"
	steps := []step{{lasts: true, fields: map[string]any{
		"count": 2, "cpu": 4000, "mem_mb": 4096, "gpu": 1, "estimate_ms": 600000, "long_running": true, "image": "shop", "anti_affinity": 1,
	}}}
	if err := c.submitTo(lowQueue, lasting, "serve the counters", steps); err != nil {
		return verdict{}, err
	}
	task := func(i int) string { return fmt.Sprintf("%s.0.0.%d", lasting, i) }
	if err := waitFor("both tasks are at work", 15*time.Second, func() bool { return w.atWork(task(0)) && w.atWork(task(1)) }); err != nil {
		return verdict{}, err
	}
	if trouble {
		gang := []step{{work: 5 * time.Second, fields: map[string]any{"count": 6, "cpu": 16000, "mem_mb": 16384, "gpu": 8, "estimate_ms": 5000, "gang": true}}}
		if err := c.submit(large, "render the catalogue", gang); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(10 * time.Second)
	if err := w.fail(task(1)); err != nil {
		return verdict{}, err
	}
	failedAt := time.Now()
	time.Sleep(graceAfterRun)
	var v verdict
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if w.atWork(task(1)) {
			w.log.write("task-runs-again", "task", task(1), "after", time.Since(failedAt))
			return v, nil
		}
		if stood := time.Since(failedAt) - graceAfterRun; stood > standTime && len(v.violations) == 0 {
			v.violations = append(v.violations, fmt.Sprintf("LOST: task %s, which lasts, has stood for %v beside %d free accelerators of %d, in calm", task(1), standTime, w.freeAccelerators(), 48))
		}
	}
	w.log.write("end", "stood", time.Since(failedAt), "free", w.freeAccelerators(), "state", c.stateIn(lowQueue, lasting))
	return v, nil
}
