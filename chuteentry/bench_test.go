package chuteentry_test

import (
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// BenchmarkBusyScheduler simulates ten seconds of 350 workers that receive ten jobs of 13 tasks each second.
func BenchmarkBusyScheduler(b *testing.B) {
	for range b.N {
		sm := newSimulation(1, 2, 350)
		sm.run(3 * time.Second)
		for n := range 100 {
			sm.after(time.Duration(n)*100*time.Millisecond, func() {
				step := chutegraph.Step{Count: 13, Request: taskStep(1 + n%4).Request, Gang: n%2 == 0, Estimate: 3 * time.Second}
				sm.clients.submit([]string{"urgent", "normal", "low"}[n%3], 3*time.Second, step)
			})
		}
		sm.run(13 * time.Second)
		if len(sm.violations) > 0 {
			b.Fatal(sm.violations[0])
		}
	}
}

// BenchmarkOverloadedScheduler fills 350 workers with preemptible tasks and simulates six seconds in which 25 urgent
// gangs arrive each second.
func BenchmarkOverloadedScheduler(b *testing.B) {
	for range b.N {
		sm := newSimulation(2, 2, 350)
		sm.run(3 * time.Second)
		for n := range 60 {
			step := chutegraph.Step{Count: 40, Request: taskStep(1).Request, Estimate: 20 * time.Second}
			sm.after(time.Duration(n)*20*time.Millisecond, func() { sm.clients.submit("low", 20*time.Second, step) })
		}
		sm.run(3 * time.Second)
		for n := range 150 {
			sm.after(time.Duration(n)*40*time.Millisecond, func() {
				step := chutegraph.Step{
					Count: 5, Request: taskStep([]int{1, 2, 4, 8, 8}[n%5]).Request, Gang: true, SameRack: n%3 > 0, Estimate: 3 * time.Second,
				}
				sm.clients.submit("urgent", 3*time.Second, step)
			})
		}
		sm.run(8 * time.Second)
		if len(sm.violations) > 0 {
			b.Fatal(sm.violations[0])
		}
	}
}
