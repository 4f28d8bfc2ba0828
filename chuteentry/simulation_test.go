package chuteentry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
)

// simulation runs entry hosts with a fake store, workers and clients in virtual time, without a network.
type simulation struct {
	now        time.Time
	queue      eventQueue
	lastNumber int
	random     *rand.Rand
	store      *fakeStore
	workers    map[string]*fakeWorker
	hosts      map[string]*fakeHost
	clients    *fakeClients
	violations []string // violated invariants
	logLines   []string // log lines of all hosts

	fleet           fleet
	calmFrom        time.Time // since when no fault is active; zero if the histories do not note their faults
	machineService  fakeMachineService
	maxOrderWait    time.Duration                               // longest time that a start order waits on its host
	workerReturn    workerReturn                                // how workers come back after their tasks crashed them
	onCrash         func(cause *fakeRun)                        // called after a task has crashed its worker; may be nil
	beforeStart     func(k *fakeWorker, o chuteaction.StartRun) // called as a start order leaves its host; may be nil
	fixedCrashDelay time.Duration                               // how long a task runs before it crashes its worker; random if 0
	quotas          []quotaPeriod                               // the quotas of the configurations so far; nil if none has any
	saved           map[chutegraph.TaskID]time.Duration         // work that tasks have saved; nil if work is not followed
	discarded       float64                                     // core-seconds of work that ends of runs have discarded
	unreachableRate float64                                     // fraction of orders to a worker that is cut off that find no connection
}

// workerReturn is the way in which a crashed worker comes back.
type workerReturn int

const (
	returnsListed      workerReturn = iota // under its id, before its listing expires
	returnsUnlisted                        // under its id, after its listing expired
	returnsAsNewWorker                     // under another id at another address
	workerReturns                          // number of ways
)

const (
	maxLease    = 6 * time.Second
	gangTimeout = 3 * time.Second
	stopTimeout = 200 * time.Millisecond
	// contactTime is the time without disturbances after which a host counts as in touch.
	contactTime = 3 * time.Second
	// heartbeat is the interval at which workers write their listings.
	heartbeat = 1500 * time.Millisecond
	// maxCrashDelay is the longest time, beyond 50 ms, that a task runs before it crashes its worker.
	maxCrashDelay = 1450 * time.Millisecond
	// maxCrashes is the number of crashes under a task after which its starts are limited.
	maxCrashes = 3
	// maxStartsBeyond is the number of starts allowed then.
	maxStartsBeyond = 2
)

// newSimulation returns a simulation of so many hosts and workers.
func newSimulation(seed uint64, hosts, workers int) *simulation {
	return newSimulationOf(seed, hosts, workers, fleet{rack: 4, zones: 3, capacity: fullCapacity(), lease: maxLease})
}

// newSimulationOf does so with workers of the fleet.
func newSimulationOf(seed uint64, hosts, workers int, fleet fleet) *simulation {
	sm := &simulation{
		fleet: fleet, now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		workers: make(map[string]*fakeWorker), hosts: make(map[string]*fakeHost),
	}
	sm.store = newFakeStore(sm)
	sm.clients = newFakeClients(sm)
	sm.store.put(chuteaction.RowKey{Table: chuteaction.TableOperator, Key: "config"}, chuteaction.CatalogRow{Catalog: testCatalog(1)})
	for i := range workers {
		sm.addWorker(fmt.Sprintf("worker-%02d", i), i)
	}
	for i := range hosts {
		sm.startHost(fmt.Sprintf("host-%d", i))
	}
	return sm
}

func testCatalog(version int64) chutecatalog.Catalog {
	return chutecatalog.Catalog{
		Version: version,
		Queues: []chutecatalog.Queue{
			{Name: "urgent", Host: "q.example", PathPrefix: "/urgent/", Service: "main", Priority: 0, Attempts: 3, Stretch: 1.5},
			{Name: "normal", Host: "q.example", PathPrefix: "/normal/", Service: "main", Priority: 1, Attempts: 4, Stretch: 3},
			{Name: "low", Host: "q.example", PathPrefix: "/low/", Service: "main", Priority: 2, Attempts: 4, Stretch: 3},
		},
		Services: []chutecatalog.Service{{Name: "main"}},
		Workspaces: []chutecatalog.Workspace{
			{Name: "team", Keys: []string{"key"}, GuaranteedAccelerators: 16}, {Name: "guests", Keys: []string{"guest"}},
		},
	}
}

func (sm *simulation) reportViolation(format string, arguments ...any) {
	sm.violations = append(sm.violations, fmt.Sprintf("%s: ", sm.elapsed())+fmt.Sprintf(format, arguments...))
}

func (sm *simulation) elapsed() time.Duration {
	return sm.now.Sub(time.Unix(1_800_000_000, 0))
}

// jittered returns a random duration between half and one and a half times d.
func (sm *simulation) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(sm.random.Int64N(int64(d)))
}

func (sm *simulation) chance(p float64) bool {
	return sm.random.Float64() < p
}

func (sm *simulation) leader() *fakeHost {
	for _, name := range sm.hostNames() {
		if sm.hosts[name].leads() {
			return sm.hosts[name]
		}
	}
	return nil
}

func (sm *simulation) hostNames() []string {
	names := make([]string, 0, len(sm.hosts))
	for name := range sm.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (sm *simulation) workerNames() []string {
	names := make([]string, 0, len(sm.workers))
	for name := range sm.workers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// sortedWorkers returns the workers in the order of their names.
func (sm *simulation) sortedWorkers() []*fakeWorker {
	var workers []*fakeWorker
	for _, name := range sm.workerNames() {
		workers = append(workers, sm.workers[name])
	}
	return workers
}

// logLinesWith returns the log lines that contain the text.
func (sm *simulation) logLinesWith(text string) string {
	return strings.Join(sm.logLinesOf(text), "\n")
}

func (sm *simulation) logLinesOf(text string) []string {
	var lines []string
	for _, line := range sm.logLines {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}
