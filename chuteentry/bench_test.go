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
