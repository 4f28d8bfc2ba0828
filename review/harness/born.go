package main

import "time"

func init() { cases["born"] = playBorn }

// Times of the case.
const (
	clockJump  = 2000 * time.Millisecond // clock_step, x in kinds
	firstDown  = 700 * time.Millisecond
	upBetween  = 1200 * time.Millisecond
	secondDown = 500 * time.Millisecond
)

// playBorn lets one worker go down and up twice within the time by which the clock of its machine jumps ahead and back.
func playBorn(p *platform) int {
	p.writeConfig()
	p.addWorkers(10, resources{CPU: 64000, MemMB: 131072, GPU: 8}, nil)
	p.startHosts(3)
	time.Sleep(4 * time.Second)
	w := p.workers[0]
	if trouble() {
		w.clockStep = clockJump
		w.crash()
		time.Sleep(firstDown)
		w.start()
		time.Sleep(upBetween)
		w.clockStep = 0
		w.crash()
		time.Sleep(secondDown)
		w.start()
		p.record.line("worker %s is up for good", w.id)
	}
	time.Sleep(2 * time.Second)
	j := job{Spec: "0=1000 1=300", Steps: []step{
		{Count: 10, resources: resources{CPU: 8000, MemMB: 4096, GPU: 8}, EstimateMS: 1000},
		{Count: 1, resources: resources{CPU: 8000, MemMB: 4096, GPU: 1}, EstimateMS: 300, After: []int{0}},
	}}
	var ids []string
	for range 5 {
		if id := newID(); p.submit("/slow/", id, j) {
			ids = append(ids, id)
		}
		time.Sleep(3 * time.Second)
	}
	time.Sleep(finishTime)
	return p.judgeIdle("/slow/", ids)
}
