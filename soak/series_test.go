package soak_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// takeoverLine is in the line that a host logs when it takes over.
	takeoverLine     = "leader: this host leads"
	watchInterval    = 4 * time.Millisecond
	standingInterval = 100 * time.Millisecond
	// maxTakeover is the longest time for which a series waits for the next leader.
	maxTakeover = 8 * time.Second
)

// TestSoakLeadersKilledInSeries guards against jobs that stand beside free workers after leaders were lost in a row.
func TestSoakLeadersKilledInSeries(t *testing.T) {
	runSeeds(t, seeds(t, 1), large, nil)
}

// watch starts to follow the leaders and to check that no job stands, and returns a function that ends both.
func (r *soakRun) watch() func() {
	ctx, cancel := context.WithCancel(r.ctx)
	group := conc.NewWaitGroup()
	for _, h := range r.hosts {
		group.Go(func() { r.followLog(ctx, h) })
	}
	group.Go(func() {
		for ctx.Err() == nil {
			r.checkStanding()
			wait(ctx, standingInterval)
		}
	})
	return func() {
		cancel()
		group.Wait()
	}
}

// followLog reads the log of a host and records its takeovers.
func (r *soakRun) followLog(ctx context.Context, h *host) {
	log, err := os.Open(h.logPath)
	if err != nil {
		r.ledger.reportViolation("cannot read a log: %v", err)
		return
	}
	defer func() { _ = log.Close() }()
	buffer := make([]byte, 64<<10)
	var rest []byte
	for ctx.Err() == nil {
		n, _ := log.Read(buffer)
		if n == 0 {
			wait(ctx, watchInterval)
			continue
		}
		rest = append(rest, buffer[:n]...)
		for {
			line, after, ok := bytes.Cut(rest, []byte("\n"))
			if !ok {
				break
			}
			if bytes.Contains(line, []byte(takeoverLine)) {
				r.recordTakeover(h)
			}
			rest = after
		}
	}
}

func (r *soakRun) recordTakeover(h *host) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.leader = h
	r.takeovers++
}

// latestTakeover returns the host that took over last, and the number of takeovers.
func (r *soakRun) latestTakeover() (*host, int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.leader, r.takeovers
}

// killLeadersInSeries plays series of killed leaders beside other faults, each followed by one more killed leader, until
// the context ends. A time without faults, in which the jobs must move, follows each.
func (r *soakRun) killLeadersInSeries(ctx context.Context, t *testing.T, random *rand.Rand) {
	group := conc.NewWaitGroup()
	defer group.Wait()
	wait(ctx, 4*time.Second+randomDuration(random, 2*time.Second))
	for ctx.Err() == nil {
		faulty, cancel := context.WithTimeout(ctx, time.Second+randomDuration(random, 4*time.Second))
		own := rand.New(rand.NewPCG(random.Uint64(), 1))
		beside := conc.NewWaitGroup()
		beside.Go(func() { r.injectFaults(faulty, t, own, faultsBesideSeries, 900*time.Millisecond) })
		wait(ctx, randomDuration(random, 2*time.Second))
		r.killLeaders(ctx, t, group, random, 2+random.IntN(5))
		beside.Wait()
		cancel()
		wait(ctx, 3*time.Second+randomDuration(random, 9*time.Second))
		r.killLeaders(ctx, t, group, random, 1)
		wait(ctx, 11*time.Second+randomDuration(random, 3*time.Second))
	}
}

// killLeaders kills the leader, and the following ones soon after their takeovers, and starts each again at once.
func (r *soakRun) killLeaders(ctx context.Context, t *testing.T, group *conc.WaitGroup, random *rand.Rand, count int) {
	r.beginFault("leaders")
	defer r.endFault()
	for i := range count {
		h, number := r.latestTakeover()
		wait(ctx, randomDuration(random, 100*time.Millisecond))
		if ctx.Err() != nil || h == nil || !h.reserve() {
			return
		}
		turns, room := r.turnsAndRoom()
		r.note("kill %d of %d: %s; %d jobs wait, in use %+v", i+1, count, h.name, len(turns), room.used)
		h.signal(syscall.SIGKILL)
		<-h.exited
		group.Go(func() {
			h.start(t)
			h.release(r.platform.Since())
		})
		until := r.platform.Since() + maxTakeover
		for ctx.Err() == nil && r.platform.Since() < until {
			if _, now := r.latestTakeover(); now > number {
				break
			}
			wait(ctx, watchInterval)
		}
	}
}

// faultsBesideSeries are the faults that are injected beside the killed leaders.
var faultsBesideSeries = []fault{
	{"links to a share of the workers", func(r *soakRun, ctx context.Context, _ *testing.T, random *rand.Rand) {
		kind := linkFault(1 + random.IntN(int(linkFaultCount)-1))
		share := 5 + random.IntN(25)
		var cut []*proxy
		for _, link := range r.workerLinks {
			if random.IntN(100) < share {
				cut = append(cut, link)
				link.setFault(kind)
			}
		}
		wait(ctx, randomDuration(random, longestLinkFault))
		for _, link := range cut {
			link.setFault(linkHealthy)
		}
	}},
	restartFault,
	{"a worker restarts", func(r *soakRun, _ context.Context, _ *testing.T, random *rand.Rand) {
		r.platform.Workers()[random.IntN(len(r.workerLinks))].Crash()
	}},
	{"lost answers", func(r *soakRun, ctx context.Context, _ *testing.T, random *rand.Rand) {
		for _, worker := range r.platform.Workers() {
			if random.IntN(4) == 0 {
				worker.DropStartResponses(1 + random.IntN(4))
				defer worker.DropStartResponses(0)
			}
		}
		wait(ctx, randomDuration(random, 2*time.Second))
	}},
	{"drain", func(r *soakRun, ctx context.Context, _ *testing.T, random *rand.Rand) {
		worker := r.platform.Workers()[random.IntN(len(r.workerLinks))]
		worker.WriteRow("draining")
		wait(ctx, randomDuration(random, 2*time.Second))
		r.platform.Delete("servers", worker.ID())
		wait(ctx, randomDuration(random, 2*time.Second))
		worker.Crash()
	}},
	storeFault,
	hostLinkFault,
}

// isCalm reports whether no fault is active and none has ended within the time before now, and whether the traffic has ended.
func (r *soakRun) isCalm(now, before time.Duration) (calm, ended bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.activeFaults == 0 && r.lastFaultEnd+before <= now, r.trafficEnded
}
