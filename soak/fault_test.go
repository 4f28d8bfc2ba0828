package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"monsoonchute.example/monsoonchute/platform/standin"
)

// fault is a disturbance that lasts until its function returns.
type fault struct {
	name string
	play func(w *world, ctx context.Context, t *testing.T, random *rand.Rand)
}

var faults = []fault{
	{"kill", func(w *world, ctx context.Context, t *testing.T, random *rand.Rand) {
		w.withProcess(random, func(h *host) {
			h.signal(syscall.SIGKILL)
			<-h.exited
			wait(ctx, spell(random, 2*time.Second))
			h.start(t)
		})
	}},
	{"pause", func(w *world, ctx context.Context, _ *testing.T, random *rand.Rand) {
		w.withProcess(random, func(h *host) {
			h.signal(syscall.SIGSTOP)
			wait(ctx, spell(random, 4*time.Second))
			h.signal(syscall.SIGCONT)
		})
	}},
	{"planned stop", func(w *world, ctx context.Context, t *testing.T, random *rand.Rand) {
		w.withProcess(random, func(h *host) { w.stopAsPlanned(ctx, t, h) })
	}},
	{"settings", func(w *world, ctx context.Context, _ *testing.T, random *rand.Rand) {
		h := w.hosts[random.IntN(len(w.hosts))]
		for range 3 {
			h.reload()
			wait(ctx, spell(random, 300*time.Millisecond))
		}
	}},
	{"link to the store", func(w *world, ctx context.Context, _ *testing.T, random *rand.Rand) {
		disturb(ctx, w.hosts[random.IntN(len(w.hosts))].store, random)
	}},
	{"link to a worker", func(w *world, ctx context.Context, _ *testing.T, random *rand.Rand) {
		disturb(ctx, w.links[random.IntN(len(w.links))], random)
	}},
	{"store", func(w *world, ctx context.Context, _ *testing.T, random *rand.Rand) {
		kinds := standin.StoreFaults()
		w.platform.SetStoreFault(kinds[random.IntN(len(kinds))])
		wait(ctx, spell(random, 3*time.Second))
		w.platform.SetStoreFault(standin.StoreHealthy)
	}},
	{"worker", func(w *world, ctx context.Context, _ *testing.T, random *rand.Rand) {
		worker := w.platform.Workers()[random.IntN(len(w.links))]
		switch random.IntN(3) {
		case 0:
			worker.Crash()
		case 1:
			worker.DropStartResponses(1 + random.IntN(4))
		case 2:
			worker.WriteRow("draining")
			wait(ctx, spell(random, 2*time.Second))
			w.platform.Delete("servers", worker.ID())
			wait(ctx, spell(random, 2*time.Second))
			worker.Crash()
		}
	}},
	{"configuration", func(w *world, ctx context.Context, _ *testing.T, random *rand.Rand) {
		for range 1 + random.IntN(3) {
			w.changeConfiguration()
			wait(ctx, spell(random, 400*time.Millisecond))
		}
	}},
}

// spell returns a random time, the longest at most.
func spell(random *rand.Rand, longest time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(longest)))
}

// disturb plays a fault of a link.
func disturb(ctx context.Context, p *proxy, random *rand.Rand) {
	switch kind := linkFault(random.IntN(int(lastLinkFault) + 2)); kind {
	case lastLinkFault:
		p.silence()
	case lastLinkFault + 1, linkSound:
		p.reset()
	default:
		p.set(kind)
		wait(ctx, spell(random, 4*time.Second))
		p.set(linkSound)
	}
}

// withProcess plays a fault of the process of a host, unless another is being played there.
func (w *world) withProcess(random *rand.Rand, play func(*host)) {
	h := w.hosts[random.IntN(len(w.hosts))]
	if !h.take() {
		return
	}
	play(h)
	h.release(w.platform.Since())
}

// stopAsPlanned stops a host, which must end by itself in its grace, and starts it again.
func (w *world) stopAsPlanned(ctx context.Context, t *testing.T, h *host) {
	h.mutex.Lock()
	h.stopping = true
	h.mutex.Unlock()
	h.signal(syscall.SIGTERM)
	timer := time.NewTimer(grace + graceMargin)
	defer timer.Stop()
	select {
	case end := <-h.exited:
		if end.err != nil {
			w.ledger.fault("a planned stop of %s ended with %v", h.name, end.err)
		}
	case <-timer.C:
		w.ledger.fault("a planned stop of %s was not over in its grace", h.name)
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	wait(ctx, 100*time.Millisecond)
	h.start(t)
}

// changeConfiguration puts a version with one more queue in force.
func (w *world) changeConfiguration() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.version++
	w.queues = append(w.queues, fmt.Sprintf("x%d", w.version))
	w.platform.Put("op", "config", standin.Config(w.version, w.queues...))
}

// playFaults starts faults at random moments, in series and overlapping, until the context ends, and waits for them.
func (w *world) playFaults(ctx context.Context, t *testing.T, random *rand.Rand) {
	group := conc.NewWaitGroup()
	for ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		own := rand.New(rand.NewPCG(random.Uint64(), 1))
		w.note(f.name)
		group.Go(func() { f.play(w, ctx, t, own) })
		wait(ctx, spell(random, 700*time.Millisecond))
	}
	group.Wait()
}
