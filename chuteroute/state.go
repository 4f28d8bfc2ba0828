package chuteroute

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteload"
	"monsoonchute.example/monsoonchute/chutequeue"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutetable"
)

const (
	// MaxAttempts is the number of times that one request is sent at most.
	MaxAttempts = 3
)

// Environment is what the router is told with each event.
type Environment struct {
	Now     time.Time
	Host    chutetable.HostID
	Boot    string
	Policy  chutedocument.Policy
	StoreUp bool
	Hosts   int // live entry hosts, this one included
}

// stage is how far a request has come.
type stage int

const (
	stageIntent     stage = iota + 1 // its intent is being recorded
	stageLookup                      // an earlier intent of its id is being read
	stageQueued                      // it waits for a backend server
	stageBackoff                     // it waits before a retry
	stageDispatched                  // an attempt is out
	stageAbandoned                   // answered as not run while its intent was being recorded
	stageRecording                   // answered; its outcome is being recorded
)

// exchange is one request on its way.
type exchange struct {
	request   chuteevent.Request
	stage     stage
	attempts  int
	mayRun    bool   // an attempt ended with an unknown outcome
	backend   string // of the latest attempt
	notBefore time.Time
	arrived   time.Time
	intent    chutetable.Version // of the recorded intent, 0 without one
	row       chutetable.IntentRow
}

func (x exchange) withStage(s stage) exchange {
	x.stage = s
	return x
}

func (x exchange) withDispatch(backend string) exchange {
	x.attempts++
	x.backend = backend
	return x.withStage(stageDispatched)
}

func (x exchange) withUnknown() exchange {
	x.mayRun = true
	return x
}

func (x exchange) withBackoff(until time.Time) exchange {
	x.notBefore = until
	return x.withStage(stageBackoff)
}

func (x exchange) withIntent(version chutetable.Version) exchange {
	x.intent = version
	return x
}

// atMostOnce reports whether the request has an intent that must be recorded before it is sent.
func (x exchange) atMostOnce() bool {
	return x.request.HasClientID && !x.request.Repeatable
}

// State is the immutable state of the router.
type State struct {
	sequence  int64
	random    rand.PCG
	services  *immutable.Map[string, []string] // ids of each service's backend servers
	backends  *immutable.SortedMap[string, chuteload.Server]
	lanes     *immutable.SortedMap[string, chutequeue.Queue]
	exchanges *immutable.SortedMap[chuteevent.ExchangeID, exchange]
	pending   *immutable.Map[chuteevent.Token, chuteevent.ExchangeID]
	cleaning  chuteevent.Token // of the read or delete of expired intents in flight
	cleanedAt time.Time
	stopping  bool
}

// New returns the state of a router without backend servers; the seed decides its choices among equals.
func New(seed uint64) State {
	return State{
		random:    *rand.NewPCG(seed, seed^0x9e3779b97f4a7c15),
		services:  immutable.NewMap[string, []string](nil),
		backends:  immutable.NewSortedMap[string, chuteload.Server](nil),
		lanes:     immutable.NewSortedMap[string, chutequeue.Queue](nil),
		exchanges: immutable.NewSortedMap[chuteevent.ExchangeID, exchange](nil),
		pending:   immutable.NewMap[chuteevent.Token, chuteevent.ExchangeID](nil),
	}
}

// Idle reports whether no request is on its way.
func (s State) Idle() bool {
	return s.exchanges.Len() == 0
}

// WithStopping returns the state of a router that refuses new requests and finishes the others.
func (s State) WithStopping() State {
	s.stopping = true
	return s
}

// Owns reports whether the token belongs to a store operation of the router.
func (s State) Owns(token chuteevent.Token) bool {
	_, ok := s.pending.Get(token)
	return ok || token == s.cleaning && token != ""
}

// Status returns what an operator sees of the backend servers.
func (s State) Status() []chutecall.BackendStatus {
	var all []chutecall.BackendStatus
	for i := s.backends.Iterator(); !i.Done(); {
		_, b, _ := i.Next()
		all = append(all, chutecall.BackendStatus{
			Backend: b.ID, Service: b.Service, State: b.State.String(), Running: b.Running, Limit: int(b.Limit),
		})
	}
	return all
}

// maxLoads bounds the loads that peers are told.
const maxLoads = 16

// Loads returns the requests that run on the backend servers with the most of them, for the peers.
func (s State) Loads() []chuteevent.BackendLoad {
	var loads []chuteevent.BackendLoad
	for i := s.backends.Iterator(); !i.Done(); {
		_, b, _ := i.Next()
		if b.Running > 0 {
			loads = append(loads, chuteevent.BackendLoad{Backend: b.ID, Running: b.Running})
		}
	}
	slices.SortStableFunc(loads, func(a, b chuteevent.BackendLoad) int { return cmp.Compare(b.Running, a.Running) })
	return loads[:min(len(loads), maxLoads)]
}

// Leaving returns the backend servers known to be leaving, for the peers.
func (s State) Leaving() []string {
	var leaving []string
	for i := s.backends.Iterator(); !i.Done(); {
		_, b, _ := i.Next()
		if b.State == chuteload.Leaving {
			leaving = append(leaving, b.ID)
		}
	}
	return leaving
}

// turn is the handling of one event.
type turn struct {
	state       State
	environment Environment
	effects     []chuteevent.Effect
}

func (t *turn) emit(effect chuteevent.Effect) {
	t.effects = append(t.effects, effect)
}

func (t *turn) count(counter, reason string) {
	t.emit(chuteevent.Count{Counter: counter, Reason: reason})
}

func (t *turn) now() time.Time {
	return t.environment.Now
}

// token returns a new token of the router.
func (t *turn) token() chuteevent.Token {
	t.state.sequence++
	return chuteevent.Token(fmt.Sprintf("route-%s-%d", t.environment.Boot, t.state.sequence))
}

// remember returns a new token and keeps the exchange that it is for.
func (t *turn) remember(id chuteevent.ExchangeID) chuteevent.Token {
	token := t.token()
	t.state.pending = t.state.pending.Set(token, id)
	return token
}

func (t *turn) put(x exchange) {
	t.state.exchanges = t.state.exchanges.Set(x.request.Exchange, x)
}

// draw returns a pseudo-random number below n.
func (t *turn) draw(n int) int {
	random := t.state.random
	drawn := int(random.Uint64() % uint64(n))
	t.state.random = random
	return drawn
}
