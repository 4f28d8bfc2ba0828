package main

import (
	"fmt"
	"time"
)

func init() { cases["overlap"] = playOverlap }

// Times of the case.
const (
	trafficTime   = 64 * time.Second
	finishTime    = 14 * time.Second // finish_s
	idleTime      = 3 * time.Second  // of LOST
	ordinaryEvery = 2 * time.Second
)

// playOverlap hands in one scheduled job of 80 occurrences, one each second, beside small urgent jobs. With the trouble, the last
// task of each occurrence works for 60 s, so that occurrences overlap; without it, for 0.3 s.
func playOverlap(p *platform) int {
	p.writeConfig()
	p.addWorkers(8, resources{CPU: 64000, MemMB: 131072, GPU: 8}, nil)
	p.startHosts(3)
	time.Sleep(4 * time.Second)
	last := "300"
	if trouble() {
		last = "60000"
	}
	large := job{
		Spec: "0=200 1=" + last, Repeat: 80, IntervalMS: 1000, StartAtMS: time.Now().Add(2 * time.Second).UnixMilli(),
		Steps: []step{
			{Count: 71, resources: resources{CPU: 50, MemMB: 16}, EstimateMS: 200},
			{Count: 1, resources: resources{CPU: 50, MemMB: 16}, EstimateMS: 60000, After: []int{0}},
		},
	}
	largeID := newID()
	if !p.submit("/slow/", largeID, large) {
		p.record.say("the scheduled job was refused")
		return exitCannotRun
	}
	p.record.say("scheduled job %s accepted: 80 occurrences, one each second, of 71 tasks of 0.2 s and then one of %s ms", largeID, last)
	small := job{Spec: "0=500", Steps: []step{{Count: 3, resources: resources{CPU: 1000, MemMB: 512, GPU: 1}, EstimateMS: 500}}}
	var ids []string
	for begun := time.Now(); time.Since(begun) < trafficTime; time.Sleep(ordinaryEvery) {
		if id := newID(); p.submit("/quick/", id, small) {
			ids = append(ids, id)
		}
	}
	p.record.line("end of the traffic; %d small jobs were accepted", len(ids))
	time.Sleep(finishTime)
	return p.judgeIdle("/quick/", ids)
}

// judgeIdle checks LOST at finish_s after the traffic: that no accepted job has nothing running for 3 s although a task's turn has
// come and there is capacity.
func (p *platform) judgeIdle(queue string, ids []string) int {
	waiting := p.unfinished(queue, ids)
	before := make(map[string]int)
	for _, id := range waiting {
		before[id] = p.activeRuns(id)
	}
	time.Sleep(idleTime)
	var idle []string
	for _, id := range p.unfinished(queue, waiting) {
		if before[id] == 0 && p.activeRuns(id) == 0 && !p.startedSince(id, idleTime) {
			idle = append(idle, id)
		}
	}
	p.record.say("%d s after the end of the traffic %d of %d accepted jobs are not completed, %d of them had nothing running for 3 s",
		int((finishTime + idleTime).Seconds()), len(waiting), len(ids), len(idle))
	p.record.say("in use: %s; transactions refused for a row over %d bytes: %d", p.usage(), rowBytes, p.store.refusedLarge)
	if len(idle) > 0 {
		p.record.say("LOST is broken: %v", idle[:min(3, len(idle))])
		return exitBroken
	}
	p.record.say("LOST holds")
	return exitHeld
}

// unfinished returns the jobs that are not shown as completed.
func (p *platform) unfinished(queue string, ids []string) []string {
	var left []string
	for _, id := range ids {
		if _, state := p.state(queue, id); state != "completed" {
			left = append(left, id)
		}
	}
	return left
}

func (p *platform) activeRuns(id string) int {
	n := 0
	for _, r := range p.runsOf(id) {
		if r.endedAt == 0 {
			n++
		}
	}
	return n
}

func (p *platform) startedSince(id string, span time.Duration) bool {
	for _, r := range p.runsOf(id) {
		if p.since()-r.startedAt < span {
			return true
		}
	}
	return false
}

// usage tells how many runs the workers have.
func (p *platform) usage() string {
	runs := 0
	for _, w := range p.workers {
		w.mutex.Lock()
		runs += len(w.running)
		w.mutex.Unlock()
	}
	return fmt.Sprintf("%d runs on %d workers", runs, len(p.workers))
}
