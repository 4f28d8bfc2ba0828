package main

import "time"

func init() { cases["flap"] = playFlap }

// Times of the case.
const (
	flapPeriod = 1400 * time.Millisecond // srv_flap, gap_s
	flapTime   = 6500 * time.Millisecond // srv_flap, for_s
	flapPause  = 6 * time.Second
	flaps      = 3
)

// playFlap hands in a job that only one worker of ten can run, as it needs its kind. With the trouble, that worker goes down and
// up by turns, and is sound for good afterwards.
func playFlap(p *platform) int {
	p.writeConfig()
	p.addWorkers(10, resources{CPU: 64000, MemMB: 131072, GPU: 8}, func(n int) []string {
		if n == 0 {
			return []string{"b"}
		}
		return []string{"a"}
	})
	p.startHosts(3)
	time.Sleep(4 * time.Second)
	id := newID()
	j := job{Spec: "0=8000", Steps: []step{{Count: 1, resources: resources{CPU: 8000, MemMB: 4096, GPU: 1}, EstimateMS: 8000, Label: "b"}}}
	if !p.submit("/slow/", id, j) {
		return exitCannotRun
	}
	p.record.say("job %s accepted: one task of 8 s on a worker of kind b", id)
	time.Sleep(time.Second)
	if trouble() {
		for n := range flaps {
			if n > 0 {
				time.Sleep(flapPause)
			}
			p.flap(p.workers[0])
		}
	}
	p.record.line("end of the disruption")
	state := p.awaitState("/slow/", id, "completed", 45*time.Second)
	failed, ends := 0, map[string]int{}
	for _, r := range p.runsOf(id) {
		ends[r.how]++
		if r.how == "failed" {
			failed++
		}
	}
	p.record.say("the job is shown as %q; its runs ended as %v; ends failed: %d of 3 attempts", state, ends, failed)
	if state == "failed" && failed == 0 {
		p.record.say("LOST is broken: shown as failed without cause")
		return exitBroken
	}
	if state != "completed" {
		p.record.say("the job is not completed")
		return exitCannotRun
	}
	p.record.say("LOST holds")
	return exitHeld
}

// flap lets a worker go down and up by turns.
func (p *platform) flap(w *worker) {
	for begun := time.Now(); time.Since(begun) < flapTime; {
		p.record.line("worker %s goes down", w.id)
		w.crash()
		time.Sleep(flapPeriod / 2)
		w.start()
		p.record.line("worker %s is up again", w.id)
		time.Sleep(flapPeriod / 2)
	}
}
