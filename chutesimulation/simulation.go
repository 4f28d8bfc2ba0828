package chutesimulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutestandin"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// maxMessageDelay is the longest delivery time of a message between two simulated components.
	maxMessageDelay = 5 * time.Millisecond
	// membershipInterval is the time between two reads of the membership list.
	membershipInterval = time.Second
	// callTimeout is the time after which an order that gets no response ends.
	callTimeout = 2 * time.Second
	// storeRetryInterval is the time between two attempts of a commit that gets no response.
	storeRetryInterval = 300 * time.Millisecond
)

// StartTime returns the virtual time at which every simulation starts.
func StartTime() time.Time {
	return time.Date(2026, 6, 1, 8, 0, 0, 0, time.UTC)
}

// Worker is a simulated worker.
type Worker struct {
	Info        chutetopology.Worker
	Agent       *chutestandin.Agent
	Unreachable bool
}

// StoreFaults are the faults that the store simulates; Delay is added to each request.
type StoreFaults struct {
	Down          bool
	Delay         time.Duration
	LoseResponses bool
}

// Reply is the reply to a call and the virtual time at which it arrived.
type Reply struct {
	Reply chutecall.Reply
	At    time.Time
}

// Simulation runs several cores against one table and the agents of the workers in virtual time.
type Simulation struct {
	Now         time.Time
	Table       *chutestandin.Table
	Workers     map[chutetopology.WorkerID]*Worker
	Hosts       []*Host
	StoreFaults StoreFaults
	Replies     map[chuteevent.CallID]Reply
	Counters    map[string]int
	LogLines    []string
	Violation   string // the first violated invariant, empty if there is none

	tick        time.Duration
	random      *rand.Rand
	actions     actionQueue
	scheduled   int
	topology    chutetopology.Topology
	cutLinks    map[[2]chutetable.HostID]bool
	latestCall  chuteevent.CallID
	documents   []chutedocument.Document // accepted ones, by version from 1
	acceptedAt  []time.Time              // acceptance time of each document
	shardOwners map[string]string        // boot id of the owner by shard and epoch
	workspaces  map[chutejob.ID]string   // of the recorded jobs
	check       func(*Simulation)
}

// Option configures a new simulation.
type Option func(*Simulation)

// WithTick sets the interval between two ticks of each core.
func WithTick(tick time.Duration) Option {
	return func(s *Simulation) { s.tick = tick }
}

// WithCheck calls the function once per second of virtual time.
func WithCheck(check func(*Simulation)) Option {
	return func(s *Simulation) { s.check = check }
}

// New returns a simulation with the given number of entry hosts and the workers of the topology. The seed determines
// all message delays.
func New(hosts int, topology chutetopology.Topology, seed uint64, options ...Option) *Simulation {
	s := &Simulation{
		Now: StartTime(), Table: chutestandin.NewTable(), Workers: make(map[chutetopology.WorkerID]*Worker),
		Replies: make(map[chuteevent.CallID]Reply), Counters: make(map[string]int), tick: 100 * time.Millisecond,
		random: rand.New(rand.NewPCG(seed, seed)), topology: topology, cutLinks: make(map[[2]chutetable.HostID]bool),
		shardOwners: make(map[string]string), workspaces: make(map[chutejob.ID]string),
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

// schedule runs the function after the delay.
func (s *Simulation) schedule(delay time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.actions, action{at: s.Now.Add(delay), sequence: s.scheduled, run: run})
}

func (s *Simulation) scheduleEvery(interval time.Duration, run func()) {
	run()
	s.schedule(interval, func() { s.scheduleEvery(interval, run) })
}

// Schedule runs the function after the delay.
func (s *Simulation) Schedule(delay time.Duration, run func()) {
	s.schedule(delay, run)
}

// Run advances virtual time by the duration and runs the actions that are due.
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

// messageDelay returns a random delivery time for the next message.
func (s *Simulation) messageDelay() time.Duration {
	return time.Duration(1 + s.random.Int64N(int64(maxMessageDelay)))
}

// ReportViolation records the message as the violation unless an earlier one is recorded.
func (s *Simulation) ReportViolation(format string, values ...any) {
	if s.Violation == "" {
		s.Violation = fmt.Sprintf("at %s: ", s.Now.Sub(StartTime())) + fmt.Sprintf(format, values...)
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
