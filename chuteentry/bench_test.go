package chuteentry_test

import (
	"testing"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// BenchmarkBusyScheduler plays ten seconds of 350 workers under ten jobs of 13 tasks a second.
func BenchmarkBusyScheduler(b *testing.B) {
	for range b.N {
		w := newWorld(1, 2, 350)
		w.run(3 * time.Second)
		for n := range 100 {
			w.after(time.Duration(n)*100*time.Millisecond, func() {
				step := chutegraph.Step{Count: 13, Request: oneTask(1 + n%4).Request, Gang: n%2 == 0, Estimate: 3 * time.Second}
				w.clients.submit([]string{"urgent", "normal", "low"}[n%3], 3*time.Second, step)
			})
		}
		w.run(13 * time.Second)
		if len(w.faults) > 0 {
			b.Fatal(w.faults[0])
		}
	}
}

// BenchmarkOverloadedScheduler fills 350 workers with work that may yield, and plays six seconds of 25 urgent gangs a
// second beside it.
func BenchmarkOverloadedScheduler(b *testing.B) {
	for range b.N {
		w := newWorld(2, 2, 350)
		w.run(3 * time.Second)
		for n := range 60 {
			step := chutegraph.Step{Count: 40, Request: oneTask(1).Request, Estimate: 20 * time.Second}
			w.after(time.Duration(n)*20*time.Millisecond, func() { w.clients.submit("low", 20*time.Second, step) })
		}
		w.run(3 * time.Second)
		for n := range 150 {
			w.after(time.Duration(n)*40*time.Millisecond, func() {
				step := chutegraph.Step{
					Count: 5, Request: oneTask([]int{1, 2, 4, 8, 8}[n%5]).Request, Gang: true, SameRack: n%3 > 0, Estimate: 3 * time.Second,
				}
				w.clients.submit("urgent", 3*time.Second, step)
			})
		}
		w.run(8 * time.Second)
		if len(w.faults) > 0 {
			b.Fatal(w.faults[0])
		}
	}
}
