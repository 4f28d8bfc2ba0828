package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cancel"] = playCancel }

// Times and shares of the case.
const (
	lostShare   = 0.35                    // of the writes (platform_lost, x)
	lostTime    = 4500 * time.Millisecond // platform_lost, for_s
	leaveAfter  = 125 * time.Millisecond  // half the objective of the quickest kind of request (give_up)
	leaveEvery  = 3                       // one client of so many leaves (give_up, share 0.35)
	submitEvery = 100 * time.Millisecond
	cancelTime  = 3 * time.Second // cancel_ms
	// unstableTime is how long after the disruption machines are not in touch: the latest late write (6 s) and contact_ms.
	unstableTime = 9 * time.Second
)

// cancelled is a job whose cancelling was answered.
type cancelled struct {
	id     string
	status int
	at     time.Duration
}

// playCancel hands in jobs of two steps. Every third client leaves after 125 ms without an answer or after it, and cancels its job
// at another host. With the trouble, answers of the store are lost meanwhile, and the writes done late.
func playCancel(p *platform) int {
	p.writeConfig()
	p.addWorkers(8, resources{CPU: 64000, MemMB: 131072, GPU: 8}, nil)
	p.startHosts(3)
	time.Sleep(4 * time.Second)
	j := job{Spec: "0=14000 1=300", Steps: []step{
		{Count: 1, resources: resources{CPU: 500, MemMB: 512}, EstimateMS: 14000},
		{Count: 1, resources: resources{CPU: 500, MemMB: 512}, EstimateMS: 300, After: []int{0}},
	}}
	if trouble() {
		p.store.setLost(func(transaction) bool { return rand.Float64() < lostShare })
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	var list []cancelled
	begun := time.Now()
	for n := 0; time.Since(begun) < lostTime; n++ {
		id, first := newID(), p.hosts[n%len(p.hosts)]
		second := p.hosts[(n+1)%len(p.hosts)]
		group.Go(func() {
			if n%leaveEvery != 0 {
				p.call(first, http.MethodPost, "/slow/"+id, j, clientDeadline)
				return
			}
			p.call(first, http.MethodPost, "/slow/"+id, j, leaveAfter)
			for range 20 {
				status, _ := p.call(second, http.MethodDelete, "/slow/"+id, nil, clientDeadline)
				if status == http.StatusOK || status == http.StatusGone {
					mutex.Lock()
					list = append(list, cancelled{id: id, status: status, at: p.since()})
					mutex.Unlock()
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
		time.Sleep(submitEvery)
	}
	p.store.setLost(nil)
	ended := p.since()
	p.record.line("end of the disruption")
	group.Wait()
	time.Sleep(24 * time.Second)
	return p.judgeCancelled(list, ended+unstableTime)
}

// judgeCancelled checks UNASKED: that nothing of a job starts later than cancel_ms after the answer to its cancelling, by machines
// that are in touch since the given time.
func (p *platform) judgeCancelled(list []cancelled, inTouch time.Duration) int {
	broken := 0
	for _, c := range list {
		for _, r := range p.runsOf(c.id) {
			if r.startedAt > c.at+cancelTime && r.startedAt > inTouch {
				p.record.say("job %s: DELETE was answered %d at %.3f s; %s run %d started at %.3f s", c.id, c.status, c.at.Seconds(), r.task, r.number, r.startedAt.Seconds())
				broken++
			}
		}
	}
	p.record.say("%d cancellations were answered with 200 or 410; %d tasks started later than %s after that, in touch (since %.3f s)",
		len(list), broken, cancelTime, inTouch.Seconds())
	if broken > 0 {
		p.record.say("UNASKED is broken")
		return exitBroken
	}
	p.record.say("UNASKED holds")
	return exitHeld
}
