package main

import "time"

func init() { cases["lasting-job-failed"] = lastingJobFailed }

const (
	// flapTime and flapPeriod are those of one `srv_flap`, and flaps is how many come one after the other.
	flapTime   = 6500 * time.Millisecond
	flapPeriod = 4 * time.Second
	flaps      = 3
	// settleTime is how long the workers are up before the hosts start.
	settleTime = 12 * time.Second
)

// lastingJobFailed hands in a job whose one task lasts and needs a label that one of ten workers has, and lets that worker go down
// and up by turns. The job must not be shown as failed.
func lastingJobFailed(w *world, trouble bool) (verdict, error) {
	const flapping = 3
	w.grown = true
	err := w.addWorkers(10, func(i int) string {
		if i == flapping {
			return "b"
		}
		return "a"
	})
	if err != nil {
		return verdict{}, err
	}
	w.configure()
	time.Sleep(settleTime) // the workers have been up for long when the hosts start
	if err := w.startHosts(3, false); err != nil {
		return verdict{}, err
	}
	const id = "5c0e7a21d94b36f8"
	c := newClient(w)
	steps := []step{{lasts: true, fields: map[string]any{
		"count": 1, "cpu": 4000, "mem_mb": 4096, "gpu": 1, "estimate_ms": 600000, "long_running": true, "image": "shop", "required_label": "b",
	}}}
	if err := c.submit(id, "serve the counters", steps); err != nil {
		return verdict{}, err
	}
	k := w.workers[flapping]
	atWork := func() bool { return k.atWork(id + ".0.0.0") }
	if err := waitFor("the task is at work", 10*time.Second, atWork); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for range flaps {
			if err := k.flap(); err != nil {
				return verdict{}, err
			}
		}
	}
	w.log.write("calm")
	var v verdict
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if state := c.state(id); state == "failed" || state == "cancelled" {
			v.violations = append(v.violations, "LOST: the lasting job, which nobody has cancelled and none of whose runs has ended as failed, is shown as "+state)
			return v, nil
		}
	}
	w.log.write("end", "at-work", atWork())
	return v, nil
}

// flap lets the worker's process go down and up by turns.
func (k *worker) flap() error {
	for end := time.Now().Add(flapTime); time.Now().Before(end); {
		k.crash()
		time.Sleep(flapPeriod / 2)
		if err := k.start(); err != nil {
			return err
		}
		time.Sleep(flapPeriod / 2)
	}
	return nil
}
