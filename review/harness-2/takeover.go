package main

import (
	"fmt"
	"time"
)

func init() { cases["pending-after-takeover"] = pendingAfterTakeover }

// pendingAfterTakeover kills the leader's process while many jobs wait, and lets a client cancel one of them before another host leads.
// No host may give under half of the jobs as pending that have waited for long.
func pendingAfterTakeover(w *world, trouble bool) (verdict, error) {
	const workers, waiting = 4, 30
	if err := w.addWorkers(workers, func(int) string { return "a" }); err != nil {
		return verdict{}, err
	}
	w.configure()
	if err := w.startHosts(5, false); err != nil {
		return verdict{}, err
	}
	c := newClient(w)
	whole := []step{{work: 100 * time.Second, fields: map[string]any{"count": 1, "cpu": 16000, "mem_mb": 16384, "gpu": 8, "estimate_ms": 100000}}}
	for i := range workers + waiting {
		if err := c.submit(jobName(i), "rank the lot", whole); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(countedAge + 3*time.Second)
	p := &poll{world: w}
	stop := p.start()
	leader := w.leader()
	if leader == nil {
		return verdict{}, fmt.Errorf("no host leads")
	}
	if trouble {
		leader.kill()
	}
	time.Sleep(300 * time.Millisecond)
	if err := c.cancel(jobName(workers + waiting - 1)); err != nil {
		return verdict{}, err
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if err := leader.start(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(8 * time.Second)
	stop()
	return verdict{violations: p.violations()}, nil
}

func jobName(i int) string {
	return fmt.Sprintf("2222000000000%03x", i)
}
