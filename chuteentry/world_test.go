package chuteentry_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chuteentry"
	"monsoonchute.example/monsoonchute/chuterunner"
)

// world plays entry hosts against a store, workers and clients in virtual time. Nothing in it uses a network.
type world struct {
	now     time.Time
	queue   agenda
	count   int
	random  *rand.Rand
	store   *fakeStore
	workers map[string]*fakeWorker
	hosts   map[string]*fakeHost
	clients *fakeClients
	faults  []string // broken promises
	trace   []string // lines of the hosts' logs
}

const (
	maxLease    = 6 * time.Second
	gangTimeout = 3 * time.Second
	stopTimeout = 200 * time.Millisecond
)

func newWorld(seed uint64, hosts, workers int) *world {
	w := &world{
		now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		workers: make(map[string]*fakeWorker), hosts: make(map[string]*fakeHost),
	}
	w.store = newFakeStore(w)
	w.clients = newFakeClients(w)
	w.store.put(chuteaction.RowKey{Table: chuteaction.TableOperator, Key: "config"}, chuteaction.CatalogRow{Catalog: testCatalog(1)})
	for i := range workers {
		w.addWorker(fmt.Sprintf("worker-%02d", i), i)
	}
	for i := range hosts {
		w.startHost(fmt.Sprintf("host-%d", i))
	}
	return w
}

func testCatalog(version int64) chutecatalog.Catalog {
	return chutecatalog.Catalog{
		Version: version,
		Queues: []chutecatalog.Queue{
			{Name: "urgent", Host: "q.example", PathPrefix: "/urgent/", Service: "main", Priority: 0, Attempts: 3, Stretch: 1.5},
			{Name: "normal", Host: "q.example", PathPrefix: "/normal/", Service: "main", Priority: 1, Attempts: 4, Stretch: 3},
			{Name: "low", Host: "q.example", PathPrefix: "/low/", Service: "main", Priority: 2, Attempts: 4, Stretch: 3},
		},
		Services:   []chutecatalog.Service{{Name: "main"}},
		Workspaces: []chutecatalog.Workspace{{Name: "team", Keys: []string{"key"}, GuaranteedAccelerators: 16}},
	}
}

// entry is something that happens at a moment.
type entry struct {
	at     time.Time
	number int
	action func()
}

type agenda []entry

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].number < a[j].number
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(entry)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (w *world) after(d time.Duration, action func()) {
	w.count++
	heap.Push(&w.queue, entry{at: w.now.Add(d), number: w.count, action: action})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(entry)
		w.now = next.at
		next.action()
	}
	w.now = end
}

func (w *world) broken(format string, arguments ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%s: ", w.since())+fmt.Sprintf(format, arguments...))
}

func (w *world) since() time.Duration {
	return w.now.Sub(time.Unix(1_800_000_000, 0))
}

// delay returns a random time around the one given.
func (w *world) delay(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.random.Int64N(int64(d)))
}

func (w *world) chance(p float64) bool {
	return w.random.Float64() < p
}

// fakeHost is one process of an entry host.
type fakeHost struct {
	world   *world
	name    string
	process string
	state   chuteentry.State
	dead    bool
	paused  bool
	held    []chuteaction.Event // while paused
	cut     bool                // from the store
	follows map[chuteaction.Table]int
	last    int
}

func (w *world) startHost(name string) *fakeHost {
	return w.startHostOf(name, 0)
}

// startHostOf starts a host that may use the share of a core.
func (w *world) startHostOf(name string, share float64) *fakeHost {
	w.count++
	h := &fakeHost{world: w, name: name, process: fmt.Sprintf("%s-%d", name, w.count), follows: make(map[chuteaction.Table]int)}
	h.state = chuteentry.New(chuteentry.Settings{
		Host: name, Process: h.process, RelayAddress: name, CPUShare: share, Jitter: time.Duration(w.random.Int64N(int64(200 * time.Millisecond))),
		Bounds: chuterunner.Bounds{MaxLease: maxLease, GangTimeout: gangTimeout, StopTimeout: stopTimeout},
	})
	w.hosts[name] = h
	h.tick()
	return h
}

func (h *fakeHost) tick() {
	if h.dead {
		return
	}
	h.deliver(chuteaction.Tick{})
	h.world.after(50*time.Millisecond, h.tick)
}

// deliver hands an event to the core, unless the process is dead; a paused one gets it when it goes on.
func (h *fakeHost) deliver(event chuteaction.Event) {
	if h.dead {
		return
	}
	if h.paused {
		h.held = append(h.held, event)
		return
	}
	var effects []chuteaction.Effect
	h.state, effects = chuteentry.Step(h.state, chuteaction.TimedEvent{At: h.world.now, Event: event})
	for _, effect := range effects {
		h.carry(effect)
	}
}

func (h *fakeHost) pause(d time.Duration) {
	h.paused = true
	h.world.after(d, func() {
		h.paused = false
		held := h.held
		h.held = nil
		for _, event := range held {
			h.deliver(event)
		}
	})
}

func (h *fakeHost) leads() bool {
	return !h.dead && h.state.Leads()
}

func (w *world) leader() *fakeHost {
	for _, name := range w.hostNames() {
		if w.hosts[name].leads() {
			return w.hosts[name]
		}
	}
	return nil
}

func (w *world) hostNames() []string {
	names := make([]string, 0, len(w.hosts))
	for name := range w.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (w *world) workerNames() []string {
	names := make([]string, 0, len(w.workers))
	for name := range w.workers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// carry plays the outside of one process.
func (h *fakeHost) carry(effect chuteaction.Effect) {
	w := h.world
	switch f := effect.(type) {
	case chuteaction.WriteRows:
		w.store.write(h, f)
	case chuteaction.ReadRows:
		w.store.read(h, f)
	case chuteaction.WatchTable:
		h.last++
		h.follows[f.Table] = h.last
		w.store.list(h, f, h.last)
	case chuteaction.UnwatchTable:
		delete(h.follows, f.Table)
	case chuteaction.StartRun:
		w.order(h, f.WorkerTarget, func(k *fakeWorker) chuteaction.Event { return k.start(f) },
			chuteaction.RunStarted{Epoch: f.Epoch, Worker: f.Worker, Run: f.Run, Outcome: chuteaction.OrderUnknown})
	case chuteaction.StopRun:
		w.order(h, f.WorkerTarget, func(k *fakeWorker) chuteaction.Event { return k.stop(f) },
			chuteaction.RunStopped{Epoch: f.Epoch, Worker: f.Worker, Run: f.Run, Outcome: chuteaction.OrderUnknown})
	case chuteaction.RenewLease:
		w.renew(h, f)
	case chuteaction.ForwardRows:
		w.after(w.delay(storeDelay), func() {
			if to := w.hosts[f.Address]; to != nil && !w.chance(0.2) {
				to.deliver(chuteaction.RowsForwarded{Rows: f.Rows})
			}
		})
	case chuteaction.AnswerCall:
		w.clients.answered(f)
	case chuteaction.LogLine:
		w.trace = append(w.trace, fmt.Sprintf("%9s %s %s: %s %s %v", w.since().Round(time.Millisecond), h.name, f.Component, f.Text, f.Job, f.Fields))
	case chuteaction.ListMachines:
		w.after(w.delay(storeDelay), func() { h.deliver(chuteaction.MachinesListed{Answered: true, Machines: w.machineList()}) })
	case chuteaction.MaintainMachine:
		w.after(w.delay(storeDelay), func() { h.deliver(w.maintain(f)) })
	case chuteaction.RequestApproval:
		w.after(100*time.Millisecond, func() { h.deliver(w.approve(f)) })
	case chuteaction.PaceRun:
		if k := w.workers[string(f.Worker)]; k != nil && k.runs[f.Run] != nil {
			k.runs[f.Run].pace = f.Percent
		}
	case chuteaction.SetPeers, chuteaction.DisconnectWorker, chuteaction.Count, chuteaction.Observe, chuteaction.Stopped:
	}
}

// story returns the lines of the log that name the text.
func (w *world) story(text string) string {
	var lines []string
	for _, line := range w.trace {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}
