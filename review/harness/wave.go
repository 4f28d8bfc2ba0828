package main

import (
	"fmt"
	"time"
)

func init() { cases["wave"] = playWave }

// playWave is a finding beside the cases. It hands in a job that lasts, of two tasks of which one may be missing, and then, with the trouble, requests the upkeep of
// all machines, two at a time.
func playWave(p *platform) int {
	p.startCloud()
	p.writeConfig()
	p.addWorkers(8, resources{CPU: 64000, MemMB: 131072, GPU: 8}, nil)
	p.startHosts(3)
	time.Sleep(4 * time.Second)
	id := newID()
	j := job{Spec: "serve", Steps: []step{{Count: 2, resources: resources{CPU: 8000, MemMB: 4096, GPU: 1}, LongRunning: true, MayMiss: 1, Anti: 1}}}
	if !p.submit("/slow/", id, j) {
		return exitCannotRun
	}
	time.Sleep(6 * time.Second)
	if trouble() {
		var machines []string
		for _, w := range p.workers {
			machines = append(machines, w.machine)
		}
		p.store.put("op", "wave/1", map[string]any{"wave": 1, "machines": machines, "finish_by_s": 60, "max_count": 2})
		p.record.say("wave 1 requested: upkeep of %d machines, 2 at a time", len(machines))
	}
	for begun := time.Now(); time.Since(begun) < 45*time.Second; time.Sleep(200 * time.Millisecond) {
		if string(p.store.value("status", "", "wave/1")) == `{"state":"completed"}` {
			p.record.line("wave 1 is said to be completed")
			break
		}
	}
	time.Sleep(3 * time.Second)
	broken := 0
	for _, r := range p.runsOf(id) {
		if r.how == "stopped" || r.how == "ended by the upkeep" {
			if other := p.awayAt(id, r); other != "" {
				p.record.say("%s run %d on %s was at work and ended (%s) at %.3f s, while %s", r.task, r.number, r.worker, r.how, r.endedAt.Seconds(), other)
				broken++
			}
		}
	}
	if broken > 0 {
		p.record.say("AVAIL is broken")
		return exitBroken
	}
	p.record.say("AVAIL holds")
	return exitHeld
}

// awayAt tells which other task of the step was away when the run ended, as such an order had ended it and it was not at work
// again. It is empty if there is none, or if the run was not at work itself.
func (p *platform) awayAt(id string, ended *run) string {
	if ended.endedAt-ended.startedAt < startupTime {
		return ""
	}
	latest := map[string]*run{}
	for _, r := range p.runsOf(id) {
		if r.task != ended.task && r.startedAt <= ended.endedAt && (latest[r.task] == nil || r.startedAt > latest[r.task].startedAt) {
			latest[r.task] = r
		}
	}
	for task, r := range latest {
		over := r.endedAt > 0 && r.endedAt <= ended.endedAt && (r.how == "stopped" || r.how == "ended by the upkeep")
		if over {
			return fmt.Sprintf("%s had ended (%s) at %.3f s and was not back", task, r.how, r.endedAt.Seconds())
		}
	}
	return ""
}
