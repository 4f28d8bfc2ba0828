package chutesimulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutecore"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutestandin"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// linkDelay is the longest time that a message between two parts takes.
	linkDelay = 5 * time.Millisecond
	// listInterval is the time between two reads of the membership list.
	listInterval = time.Second
	// callLimit is how long an order or poll waits for its answer.
	callLimit = 2 * time.Second
	// storeRetry is the time between two tries of a commit without an answer.
	storeRetry = 300 * time.Millisecond
)

// Begin is the moment at which every rig begins.
func StartTime() time.Time {
	return time.Date(2026, 6, 1, 8, 0, 0, 0, time.UTC)
}

// delivery is something that happens at a moment.
type delivery struct {
	at    time.Time
	order int
	run   func()
}

type deliveries []delivery

// Len returns the number of deliveries.
func (d deliveries) Len() int { return len(d) }

// Less orders deliveries by their moment, then by their making.
func (d deliveries) Less(i, j int) bool {
	if d[i].at.Equal(d[j].at) {
		return d[i].order < d[j].order
	}
	return d[i].at.Before(d[j].at)
}

// Swap exchanges two deliveries.
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push adds a delivery.
func (d *deliveries) Push(x any) {
	if next, ok := x.(delivery); ok {
		*d = append(*d, next)
	}
}

// Pop removes the last delivery.
func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// Host is one entry host of the rig.
type Host struct {
	ID      chutetable.HostID
	State   chutecore.State
	Stopped bool // a planned stop is complete
	alive   bool
	paused  bool
	held    []chuteevent.Event // arrived while paused
	boot    int
	cutOff  bool // from the store
	version int  // largest document version in force in this life
	commits []chuteevent.CommitTable
	sending bool
}

// Worker is one worker of the rig.
type Worker struct {
	Info        chutetopology.Worker
	Agent       *chutestandin.Agent
	Unreachable bool // unreachable
}

// Faults are what the store does wrong at present.
type Faults struct {
	Down        bool
	Delay       time.Duration
	LoseAnswers bool
}

// Reply is a reply that a call got.
type Reply struct {
	Reply chutecall.Reply
	At    time.Time
}

// Rig is several cores, a table and agents in virtual time.
type Simulation struct {
	Now     time.Time
	Table   *chutestandin.Table
	Workers map[chutetopology.WorkerID]*Worker
	Hosts   []*Host
	Faults  Faults
	Replies map[chuteevent.CallID]Reply
	Counts  map[string]int
	Lines   []string
	Faulty  string // the first invariant found broken, empty for none

	tick     time.Duration
	random   *rand.Rand
	queue    deliveries
	made     int
	topology chutetopology.Topology
	cuts     map[[2]chutetable.HostID]bool
	calls    chuteevent.CallID
	accepted []chutedocument.Document // by version, from 1
	times    []time.Time              // when each was accepted
	epochs   map[string]string        // owner of each shard and epoch
	check    func(*Simulation)
}

// Option changes a rig.
type Option func(*Simulation)

// WithTick sets the time between two ticks of each core.
func WithTick(tick time.Duration) Option {
	return func(r *Simulation) { r.tick = tick }
}

// WithCheck calls the function each second.
func WithCheck(check func(*Simulation)) Option {
	return func(r *Simulation) { r.check = check }
}

// New returns a rig of the number of entry hosts over the topology; the seed decides every delay.
func New(hosts int, topology chutetopology.Topology, seed uint64, options ...Option) *Simulation {
	r := &Simulation{
		Now: StartTime(), Table: chutestandin.NewTable(), Workers: make(map[chutetopology.WorkerID]*Worker),
		Replies: make(map[chuteevent.CallID]Reply), Counts: make(map[string]int), tick: 100 * time.Millisecond,
		random: rand.New(rand.NewPCG(seed, seed)), topology: topology, cuts: make(map[[2]chutetable.HostID]bool),
		epochs: make(map[string]string),
	}
	for _, option := range options {
		option(r)
	}
	for _, w := range topology.Workers() {
		r.Workers[w.ID] = &Worker{Info: w, Agent: chutestandin.NewAgent(r.Now)}
	}
	for i := range hosts {
		r.Hosts = append(r.Hosts, &Host{ID: chutetable.HostID(fmt.Sprintf("entry-%d", i))})
		r.Restart(i)
	}
	r.every(listInterval, r.list)
	if r.check != nil {
		r.every(time.Second, func() { r.check(r) })
	}
	return r
}

// after makes something happen after the time.
func (r *Simulation) after(wait time.Duration, run func()) {
	r.made++
	heap.Push(&r.queue, delivery{at: r.Now.Add(wait), order: r.made, run: run})
}

func (r *Simulation) every(interval time.Duration, run func()) {
	run()
	r.after(interval, func() { r.every(interval, run) })
}

// After makes something happen after the time.
func (r *Simulation) Schedule(wait time.Duration, run func()) {
	r.after(wait, run)
}

// Run lets the time pass.
func (r *Simulation) Run(length time.Duration) {
	end := r.Now.Add(length)
	for len(r.queue) > 0 && !r.queue[0].at.After(end) {
		next, ok := heap.Pop(&r.queue).(delivery)
		if !ok {
			return
		}
		r.Now = next.at
		next.run()
	}
	r.Now = end
}

// delay returns how long the next message takes.
func (r *Simulation) delay() time.Duration {
	return time.Duration(1 + r.random.Int64N(int64(linkDelay)))
}

// Fail notes the first broken invariant.
func (r *Simulation) Fail(format string, values ...any) {
	if r.Faulty == "" {
		r.Faulty = fmt.Sprintf("at %s: ", r.Now.Sub(StartTime())) + fmt.Sprintf(format, values...)
	}
}

// Restart starts the host anew, with nothing kept; it also ends a crash.
func (r *Simulation) Restart(number int) {
	h := r.Hosts[number]
	h.boot++
	boot := h.boot
	h.alive, h.paused, h.held, h.Stopped, h.version = true, false, nil, false, 0
	h.commits, h.sending = nil, false
	h.State = chutecore.New(chutetable.HostRow{
		Host: h.ID, PeerAddress: string(h.ID), Boot: fmt.Sprintf("%s-%d", h.ID, boot),
	}, r.random.Uint64())
	r.ticking(h, boot)
}

func (r *Simulation) ticking(h *Host, boot int) {
	if h.boot != boot || !h.alive {
		return
	}
	r.deliver(h, boot, chuteevent.Tick{})
	r.after(r.tick, func() { r.ticking(h, boot) })
}

// Crash ends the host at once.
func (r *Simulation) Crash(number int) {
	r.Hosts[number].alive = false
	r.Hosts[number].boot++
}

// Alive reports whether the host runs.
func (r *Simulation) Alive(number int) bool {
	return r.Hosts[number].alive
}

// Pause stops the host's core; what arrives waits until it resumes.
func (r *Simulation) Pause(number int) {
	r.Hosts[number].paused = true
}

// Resume lets the host go on.
func (r *Simulation) Resume(number int) {
	h := r.Hosts[number]
	h.paused = false
	held := h.held
	h.held = nil
	for _, e := range held {
		r.deliver(h, h.boot, e)
	}
}

// Stop asks the host for a planned stop.
func (r *Simulation) Stop(number int) {
	h := r.Hosts[number]
	r.deliver(h, h.boot, chuteevent.StopRequested{})
}

// CutStore cuts the host off from the store, or links it again.
func (r *Simulation) CutStore(number int, cut bool) {
	r.Hosts[number].cutOff = cut
}

// CutLink cuts the messages from one host to the other, or links them again.
func (r *Simulation) CutLink(from, to int, cut bool) {
	r.cuts[[2]chutetable.HostID{r.Hosts[from].ID, r.Hosts[to].ID}] = cut
}

// Call makes a call at the host and returns its number; the reply appears in Replies.
func (r *Simulation) Call(number int, call chutecall.Call) chuteevent.CallID {
	r.calls++
	h := r.Hosts[number]
	r.deliver(h, h.boot, chuteevent.CallArrived{ID: r.calls, RequestID: fmt.Sprint(r.calls), Call: call})
	return r.calls
}

// deliver steps the host's core, unless this life of it is over.
func (r *Simulation) deliver(h *Host, boot int, event chuteevent.Event) {
	if !h.alive || h.boot != boot {
		return
	}
	if h.paused {
		if _, isTick := event.(chuteevent.Tick); !isTick {
			h.held = append(h.held, event)
		}
		return
	}
	state, effects := chutecore.Step(h.State, chuteevent.TimedEvent{At: r.Now, Event: event})
	h.State = state
	if v := state.Document().Version; v < h.version {
		r.Fail("%s went back from document %d to %d", h.ID, h.version, v)
	} else {
		h.version = v
	}
	for _, e := range effects {
		r.carry(h, e)
	}
}

func (r *Simulation) list() {
	var hosts []chuteevent.PlatformHost
	for _, w := range r.topology.Workers() {
		hosts = append(hosts, chuteevent.PlatformHost{
			ID: string(w.ID), Role: chuteevent.RoleWorker, Zone: string(w.Zone), Rack: string(w.Rack),
			Accelerators: w.Accelerators, Address: string(w.ID),
		})
	}
	for _, h := range r.Hosts {
		r.deliver(h, h.boot, chuteevent.MembershipListed{Hosts: hosts})
	}
}
