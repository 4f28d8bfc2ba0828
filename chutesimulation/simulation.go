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
	maxMessageDelay = 5 * time.Millisecond
	// listInterval is the time between two reads of the membership list.
	membershipInterval = time.Second
	// callLimit is how long an order or poll waits for its answer.
	callTimeout = 2 * time.Second
	// storeRetry is the time between two tries of a commit without an answer.
	storeRetryInterval = 300 * time.Millisecond
)

// Begin is the moment at which every rig begins.
func StartTime() time.Time {
	return time.Date(2026, 6, 1, 8, 0, 0, 0, time.UTC)
}

// delivery is something that happens at a moment.
type action struct {
	at       time.Time
	sequence int
	run      func()
}

type actionQueue []action

// Len returns the number of deliveries.
func (d actionQueue) Len() int { return len(d) }

// Less orders deliveries by their moment, then by their making.
func (d actionQueue) Less(i, j int) bool {
	if d[i].at.Equal(d[j].at) {
		return d[i].sequence < d[j].sequence
	}
	return d[i].at.Before(d[j].at)
}

// Swap exchanges two deliveries.
func (d actionQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push adds a delivery.
func (d *actionQueue) Push(x any) {
	if next, ok := x.(action); ok {
		*d = append(*d, next)
	}
}

// Pop removes the last delivery.
func (d *actionQueue) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// Host is one entry host of the rig.
type Host struct {
	ID              chutetable.HostID
	State           chutecore.State
	Stopped         bool // a planned stop is complete
	alive           bool
	paused          bool
	pendingEvents   []chuteevent.Event // arrived while paused
	boot            int
	storeCut        bool // from the store
	documentVersion int  // largest document version in force in this life
	commits         []chuteevent.CommitTable
	committing      bool
}

// Worker is one worker of the rig.
type Worker struct {
	Info        chutetopology.Worker
	Agent       *chutestandin.Agent
	Unreachable bool // unreachable
}

// Faults are what the store does wrong at present.
type StoreFaults struct {
	Down          bool
	Delay         time.Duration
	LoseResponses bool
}

// Reply is a reply that a call got.
type Reply struct {
	Reply chutecall.Reply
	At    time.Time
}

// Rig is several cores, a table and agents in virtual time.
type Simulation struct {
	Now         time.Time
	Table       *chutestandin.Table
	Workers     map[chutetopology.WorkerID]*Worker
	Hosts       []*Host
	StoreFaults StoreFaults
	Replies     map[chuteevent.CallID]Reply
	Counters    map[string]int
	LogLines    []string
	Violation   string // the first invariant found broken, empty for none

	tick        time.Duration
	random      *rand.Rand
	actions     actionQueue
	scheduled   int
	topology    chutetopology.Topology
	cutLinks    map[[2]chutetable.HostID]bool
	latestCall  chuteevent.CallID
	documents   []chutedocument.Document // by version, from 1
	acceptedAt  []time.Time              // when each was accepted
	shardOwners map[string]string        // owner of each shard and epoch
	check       func(*Simulation)
}

// Option changes a rig.
type Option func(*Simulation)

// WithTick sets the time between two ticks of each core.
func WithTick(tick time.Duration) Option {
	return func(s *Simulation) { s.tick = tick }
}

// WithCheck calls the function each second.
func WithCheck(check func(*Simulation)) Option {
	return func(s *Simulation) { s.check = check }
}

// New returns a rig of the number of entry hosts over the topology; the seed decides every delay.
func New(hosts int, topology chutetopology.Topology, seed uint64, options ...Option) *Simulation {
	s := &Simulation{
		Now: StartTime(), Table: chutestandin.NewTable(), Workers: make(map[chutetopology.WorkerID]*Worker),
		Replies: make(map[chuteevent.CallID]Reply), Counters: make(map[string]int), tick: 100 * time.Millisecond,
		random: rand.New(rand.NewPCG(seed, seed)), topology: topology, cutLinks: make(map[[2]chutetable.HostID]bool),
		shardOwners: make(map[string]string),
	}
	for _, option := range options {
		option(s)
	}
	for _, w := range topology.Workers() {
		s.Workers[w.ID] = &Worker{Info: w, Agent: chutestandin.NewAgent(s.Now)}
	}
	for i := range hosts {
		s.Hosts = append(s.Hosts, &Host{ID: chutetable.HostID(fmt.Sprintf("entry-%d", i))})
		s.Restart(i)
	}
	s.scheduleEvery(membershipInterval, s.listMembership)
	if s.check != nil {
		s.scheduleEvery(time.Second, func() { s.check(s) })
	}
	return s
}

// after makes something happen after the time.
func (s *Simulation) schedule(delay time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.actions, action{at: s.Now.Add(delay), sequence: s.scheduled, run: run})
}

func (s *Simulation) scheduleEvery(interval time.Duration, run func()) {
	run()
	s.schedule(interval, func() { s.scheduleEvery(interval, run) })
}

// After makes something happen after the time.
func (s *Simulation) Schedule(delay time.Duration, run func()) {
	s.schedule(delay, run)
}

// Run lets the time pass.
func (s *Simulation) Run(duration time.Duration) {
	end := s.Now.Add(duration)
	for len(s.actions) > 0 && !s.actions[0].at.After(end) {
		next, ok := heap.Pop(&s.actions).(action)
		if !ok {
			return
		}
		s.Now = next.at
		next.run()
	}
	s.Now = end
}

// delay returns how long the next message takes.
func (s *Simulation) messageDelay() time.Duration {
	return time.Duration(1 + s.random.Int64N(int64(maxMessageDelay)))
}

// Fail notes the first broken invariant.
func (s *Simulation) ReportViolation(format string, values ...any) {
	if s.Violation == "" {
		s.Violation = fmt.Sprintf("at %s: ", s.Now.Sub(StartTime())) + fmt.Sprintf(format, values...)
	}
}

// Restart starts the host anew, with nothing kept; it also ends a crash.
func (s *Simulation) Restart(index int) {
	h := s.Hosts[index]
	h.boot++
	boot := h.boot
	h.alive, h.paused, h.pendingEvents, h.Stopped, h.documentVersion = true, false, nil, false, 0
	h.commits, h.committing = nil, false
	h.State = chutecore.New(chutetable.HostRow{
		Host: h.ID, Address: string(h.ID), Boot: fmt.Sprintf("%s-%d", h.ID, boot),
	}, s.random.Uint64())
	s.runTicks(h, boot)
}

func (s *Simulation) runTicks(h *Host, boot int) {
	if h.boot != boot || !h.alive {
		return
	}
	s.deliver(h, boot, chuteevent.Tick{})
	s.schedule(s.tick, func() { s.runTicks(h, boot) })
}

// Crash ends the host at once.
func (s *Simulation) Crash(index int) {
	s.Hosts[index].alive = false
	s.Hosts[index].boot++
}

// Alive reports whether the host runs.
func (s *Simulation) Alive(index int) bool {
	return s.Hosts[index].alive
}

// Pause stops the host's core; what arrives waits until it resumes.
func (s *Simulation) Pause(index int) {
	s.Hosts[index].paused = true
}

// Resume lets the host go on.
func (s *Simulation) Resume(index int) {
	h := s.Hosts[index]
	h.paused = false
	held := h.pendingEvents
	h.pendingEvents = nil
	for _, e := range held {
		s.deliver(h, h.boot, e)
	}
}

// Stop asks the host for a planned stop.
func (s *Simulation) Stop(index int) {
	h := s.Hosts[index]
	s.deliver(h, h.boot, chuteevent.StopWanted{})
}

// CutStore cuts the host off from the store, or links it again.
func (s *Simulation) SetStoreCut(index int, cut bool) {
	s.Hosts[index].storeCut = cut
}

// CutLink cuts the messages from one host to the other, or links them again.
func (s *Simulation) SetLinkCut(from, to int, cut bool) {
	s.cutLinks[[2]chutetable.HostID{s.Hosts[from].ID, s.Hosts[to].ID}] = cut
}

// Call makes a call at the host and returns its number; the reply appears in Replies.
func (s *Simulation) Call(index int, call chutecall.Call) chuteevent.CallID {
	s.latestCall++
	h := s.Hosts[index]
	s.deliver(h, h.boot, chuteevent.CallArrived{ID: s.latestCall, Request: fmt.Sprint(s.latestCall), Call: call})
	return s.latestCall
}

// deliver steps the host's core, unless this life of it is over.
func (s *Simulation) deliver(h *Host, boot int, event chuteevent.Event) {
	if !h.alive || h.boot != boot {
		return
	}
	if h.paused {
		if _, isTick := event.(chuteevent.Tick); !isTick {
			h.pendingEvents = append(h.pendingEvents, event)
		}
		return
	}
	state, effects := chutecore.Step(h.State, chuteevent.Timed{At: s.Now, Event: event})
	h.State = state
	if v := state.Document().Version; v < h.documentVersion {
		s.ReportViolation("%s went back from document %d to %d", h.ID, h.documentVersion, v)
	} else {
		h.documentVersion = v
	}
	for _, e := range effects {
		s.execute(h, e)
	}
}

func (s *Simulation) listMembership() {
	var hosts []chuteevent.PlatformHost
	for _, w := range s.topology.Workers() {
		hosts = append(hosts, chuteevent.PlatformHost{
			ID: string(w.ID), Role: chuteevent.RoleWorker, Zone: string(w.Zone), Rack: string(w.Rack),
			Accelerators: w.Accelerators, Address: string(w.ID),
		})
	}
	for _, h := range s.Hosts {
		s.deliver(h, h.boot, chuteevent.MembershipListed{Hosts: hosts})
	}
}
