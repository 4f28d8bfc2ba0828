package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// applyTime is the time within which a change of the configuration must be in force on a host in contact.
	applyTime = 2 * time.Second
	// contactTime is the time without disruption after which a host is in contact.
	contactTime = 3 * time.Second
	// changeInterval is the time between two versions of the configuration.
	changeInterval = 330 * time.Millisecond
	// manyQueues is the number of queues of a configuration that nearly fills a row.
	manyQueues = 250
)

// configurationRun publishes versions of the configuration, disrupts hosts, and checks what they answer.
type configurationRun struct {
	*soakRun
	mutex       sync.Mutex
	published   []publishedQueue
	disrupted   map[*host]int           // disruptions in progress
	disruptedAt map[*host]time.Duration // end of the latest disruption
}

type publishedQueue struct {
	path string
	at   time.Duration // when the version that added it had been written
}

// TestSoakConfigurationsApplyInTime guards against hosts that refuse calls by a configuration that is older than the bound.
func TestSoakConfigurationsApplyInTime(t *testing.T) {
	binary := buildDaemon(t)
	for _, seed := range seeds(t, 3) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			if os.Getenv("MONSOONCHUTE_SEEDS") != "" {
				t.Parallel()
			}
			logs, err := os.MkdirTemp("", "monsoonchute-soak-")
			if err != nil {
				t.Fatal(err)
			}
			r := &configurationRun{
				soakRun: newSoakRun(t, binary, logs, seed, small), disrupted: make(map[*host]int), disruptedAt: make(map[*host]time.Duration),
			}
			r.play(seed)
			r.report(t, logs, seed)
		})
	}
}

// play runs the publisher, the disruptions and a checker for each host.
func (r *configurationRun) play(seed uint64) {
	ctx, cancel := context.WithTimeout(r.ctx, faultDuration(30*time.Second))
	defer cancel()
	for i := range manyQueues {
		r.queues = append(r.queues, fmt.Sprintf("many%d", i))
	}
	group := conc.NewWaitGroup()
	group.Go(func() { r.publish(ctx) })
	for i, h := range r.hosts {
		c := r.newClient(i, seed)
		group.Go(func() { r.checkHost(ctx, c, h) })
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for ctx.Err() == nil {
		wait(ctx, 3*time.Second+randomDuration(random, 3*time.Second))
		r.disrupt(ctx, random)
	}
	group.Wait()
}

// publish writes versions of the configuration, each with one more queue.
func (r *configurationRun) publish(ctx context.Context) {
	for ctx.Err() == nil {
		r.addQueue()
		r.mutex.Lock()
		r.published = append(r.published, publishedQueue{path: "/" + r.queues[len(r.queues)-1] + "/", at: r.platform.Since()})
		r.mutex.Unlock()
		wait(ctx, changeInterval)
	}
}

// disrupt lets all open connections to the store go silent for good, or disrupts some of the hosts for a while.
func (r *configurationRun) disrupt(ctx context.Context, random *rand.Rand) {
	some := r.hosts[:1+random.IntN(2)]
	kind := random.IntN(4)
	names := []string{"silent connections", "cut", "resets", "pause"}
	r.beginFault(names[kind])
	defer r.endFault()
	switch kind {
	case 0:
		r.during(r.hosts, func() {
			for _, h := range r.hosts {
				h.storeLink.silenceConnections()
			}
		})
	case 1:
		r.during(some, func() {
			for _, h := range some {
				h.storeLink.setFault(linkCut)
			}
			wait(ctx, time.Second+randomDuration(random, 5*time.Second))
			for _, h := range some {
				h.storeLink.setFault(linkHealthy)
			}
		})
	case 2:
		r.during(some, func() {
			for _, h := range some {
				h.storeLink.resetConnections()
			}
		})
	case 3:
		r.during(some, func() {
			for _, h := range some {
				h.signal(syscall.SIGSTOP)
			}
			wait(ctx, time.Second+randomDuration(random, 3*time.Second))
			for _, h := range some {
				h.signal(syscall.SIGCONT)
			}
		})
	}
}

// during marks the hosts as disrupted while the action lasts.
func (r *configurationRun) during(hosts []*host, action func()) {
	r.mutex.Lock()
	for _, h := range hosts {
		r.disrupted[h]++
	}
	r.mutex.Unlock()
	action()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, h := range hosts {
		r.disrupted[h]--
		r.disruptedAt[h] = r.platform.Since()
	}
}

// calmFor returns for how long the host has not been disrupted; 0 while it is.
func (r *configurationRun) calmFor(h *host) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.disrupted[h] > 0 {
		return 0
	}
	return r.platform.Since() - r.disruptedAt[h]
}

// newestDue returns the path of the newest queue that must be in force by now.
func (r *configurationRun) newestDue() (string, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i := len(r.published) - 1; i >= 0; i-- {
		if r.platform.Since()-r.published[i].at > applyTime {
			return r.published[i].path, true
		}
	}
	return "", false
}

// checkHost asks the host for the newest queue that must be in force. A host in contact knows it, and serves soon again.
func (r *configurationRun) checkHost(ctx context.Context, c *client, h *host) {
	for ctx.Err() == nil {
		wait(ctx, 50*time.Millisecond)
		path, ok := r.newestDue()
		if !ok {
			continue
		}
		calm, sentAt := r.calmFor(h), r.platform.Since()
		status, _ := c.call(h, http.MethodGet, path, "")
		calmSince := r.calmFor(h) - (r.platform.Since() - sentAt) // less than calm if the host was disrupted meanwhile
		switch {
		case calm < contactTime || calmSince < contactTime-10*time.Millisecond:
		case status == http.StatusNotFound:
			r.ledger.reportViolation("%s refuses %s by an older configuration, %s after its latest disruption", h.name, path, calm)
		case status != http.StatusOK && calm > contactTime+applyTime:
			r.ledger.reportViolation("%s answers %d %s after its latest disruption", h.name, status, calm)
		}
	}
}
