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
	// MaxAttempts is the highest number of times that the router sends one request.
	MaxAttempts = 3
)

// Environment describes the host and the settings in force at the time of an event.
type Environment struct {
	Now     time.Time
	Host    chutetable.HostID
	BootID  string
	Policy  chutedocument.Policy
	StoreUp bool
	Hosts   int // live entry hosts, this one included
}

// stage is the progress of a request through the router.
type stage int

const (
	stageIntent     stage = iota + 1 // the router is recording its intent
	stageLookup                      // the router is reading the earlier intent with its id
	stageQueued                      // the request waits for a backend server
	stageBackoff                     // the request waits before a retry
	stageDispatched                  // an attempt is running
	stageAbandoned                   // answered as not run before the end of the commit of its intent
	stageRecording                   // answered; the router is recording its outcome
)

// exchange is one request that the router is processing.
type exchange struct {
	request       chuteevent.Request
	stage         stage
	attempts      int
	mayHaveRun    bool   // an attempt ended with an unknown outcome
	backend       string // backend server of the latest attempt
	notBefore     time.Time
	arrivedAt     time.Time
	intentVersion chutetable.Version // row version of the recorded intent, 0 without one
	row           chutetable.IntentRow
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

func (x exchange) withUnknownOutcome() exchange {
	x.mayHaveRun = true
	return x
}

func (x exchange) withBackoff(until time.Time) exchange {
	x.notBefore = until
	return x.withStage(stageBackoff)
}

func (x exchange) withIntentVersion(version chutetable.Version) exchange {
	x.intentVersion = version
	return x
}

// atMostOnce reports whether the request must not run twice, so that its intent must be recorded before it is sent.
func (x exchange) atMostOnce() bool {
	return x.request.HasClientID && !x.request.Repeatable
}

// State is the immutable state of the router.
type State struct {
	sequence         int64
	random           rand.PCG
	services         *immutable.Map[string, []string] // ids of each service's backend servers
	backends         *immutable.SortedMap[string, chuteload.Server]
	queues           *immutable.SortedMap[string, chutequeue.Queue]
	exchanges        *immutable.SortedMap[chuteevent.ExchangeID, exchange]
	operations       *immutable.Map[chuteevent.Token, chuteevent.ExchangeID]
	cleanupToken     chuteevent.Token // of the running cleanup of expired intents, empty without one
	cleanupStartedAt time.Time
	stopping         bool
}

// New returns the state of a router without backend servers; the seed determines its random choices.
func New(seed uint64) State {
	return State{
		random:     *rand.NewPCG(seed, seed^0x9e3779b97f4a7c15),
		services:   immutable.NewMap[string, []string](nil),
		backends:   immutable.NewSortedMap[string, chuteload.Server](nil),
		queues:     immutable.NewSortedMap[string, chutequeue.Queue](nil),
		exchanges:  immutable.NewSortedMap[chuteevent.ExchangeID, exchange](nil),
		operations: immutable.NewMap[chuteevent.Token, chuteevent.ExchangeID](nil),
	}
}

// Idle reports whether the router has no request in progress.
func (s State) Idle() bool {
	return s.exchanges.Len() == 0
}

// WithStopping returns the state with new requests refused; requests in progress are finished.
func (s State) WithStopping() State {
	s.stopping = true
	return s
}

// Owns reports whether the token names a store operation of the router.
func (s State) Owns(token chuteevent.Token) bool {
	_, ok := s.operations.Get(token)
	return ok || token == s.cleanupToken && token != ""
}

// Status returns the state and load of each backend server, for operators.
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

// maxReportedLoads is the highest number of backend servers in a load report to peers.
const maxReportedLoads = 16

// Loads returns the number of this host's running requests on its most loaded backend servers, for the report to peers.
func (s State) Loads() []chuteevent.BackendLoad {
	var loads []chuteevent.BackendLoad
	for i := s.backends.Iterator(); !i.Done(); {
		_, b, _ := i.Next()
		if b.Running > 0 {
			loads = append(loads, chuteevent.BackendLoad{Backend: b.ID, Running: b.Running})
		}
	}
	slices.SortStableFunc(loads, func(a, b chuteevent.BackendLoad) int { return cmp.Compare(b.Running, a.Running) })
	return loads[:min(len(loads), maxReportedLoads)]
}

// Leaving returns the ids of the backend servers that are leaving, for the report to peers. What peers have reported is not
// repeated, as hosts would go on telling it to each other.
func (s State) Leaving() []string {
	var leaving []string
	for i := s.backends.Iterator(); !i.Done(); {
		_, b, _ := i.Next()
		if b.SaysLeaving() {
			leaving = append(leaving, b.ID)
		}
	}
	return leaving
}

// transition is the handling of one event: the state it changes and the effects it emits.
type transition struct {
	state       State
	environment Environment
	effects     []chuteevent.Effect
}

func (t *transition) emit(effect chuteevent.Effect) {
	t.effects = append(t.effects, effect)
}

func (t *transition) count(counter, reason string) {
	t.emit(chuteevent.Count{Counter: counter, Reason: reason})
}

func (t *transition) now() time.Time {
	return t.environment.Now
}

// newToken returns a token that no other store operation has.
func (t *transition) newToken() chuteevent.Token {
	t.state.sequence++
	return chuteevent.Token(fmt.Sprintf("route-%s-%d", t.environment.BootID, t.state.sequence))
}

// newOperation returns the token of a new store operation for the request.
func (t *transition) newOperation(id chuteevent.ExchangeID) chuteevent.Token {
	token := t.newToken()
	t.state.operations = t.state.operations.Set(token, id)
	return token
}

func (t *transition) putExchange(x exchange) {
	t.state.exchanges = t.state.exchanges.Set(x.request.Exchange, x)
}

// randomBelow returns a pseudo-random number from 0 to n-1.
func (t *transition) randomBelow(n int) int {
	random := t.state.random
	number := int(random.Uint64() % uint64(n))
	t.state.random = random
	return number
}
