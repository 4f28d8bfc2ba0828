package chuteroute_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chuteroute"
	"monsoonchute.example/monsoonchute/chutesimulation"
	"monsoonchute.example/monsoonchute/chutetable"
)

// harness runs a router and collects its effects.
type harness struct {
	state      chuteroute.State
	now        time.Time
	storeUp    bool
	boot       string
	dispatches []chuteevent.Dispatch
	commits    []chuteevent.CommitTable
	reads      []chuteevent.ReadTable
	answers    map[chuteevent.ExchangeID]chuteevent.AnswerRequest
	counts     map[string]int
}

func newHarness(backends int) *harness {
	h := &harness{
		state: chuteroute.New(1), now: chutesimulation.StartTime(), storeUp: true, boot: "boot",
		answers: make(map[chuteevent.ExchangeID]chuteevent.AnswerRequest), counts: make(map[string]int),
	}
	var hosts []chuteevent.PlatformHost
	for i := range backends {
		hosts = append(hosts, chuteevent.PlatformHost{ID: fmt.Sprintf("b%d", i), Role: chuteevent.RoleBackend, Service: "s", Address: "a"})
	}
	h.apply(h.state.HandleMembershipListed(h.environment(), hosts))
	return h
}

func (h *harness) environment() chuteroute.Environment {
	return chuteroute.Environment{
		Now: h.now, Host: "h", BootID: h.boot, Policy: chutedocument.DefaultPolicy(), StoreUp: h.storeUp, Hosts: 1,
	}
}

func (h *harness) apply(state chuteroute.State, effects []chuteevent.Effect) {
	h.state = state
	for _, effect := range effects {
		switch e := effect.(type) {
		case chuteevent.Dispatch:
			h.dispatches = append(h.dispatches, e)
		case chuteevent.CommitTable:
			h.commits = append(h.commits, e)
		case chuteevent.ReadTable:
			h.reads = append(h.reads, e)
		case chuteevent.AnswerRequest:
			h.answers[e.Exchange] = e
		case chuteevent.Count:
			h.counts[e.Counter+"/"+e.Reason]++
		}
	}
}

func (h *harness) step(e chuteevent.RequestEvent) {
	h.apply(h.state.Step(h.environment(), e))
}

func (h *harness) tick(after time.Duration) {
	h.now = h.now.Add(after)
	h.apply(h.state.Tick(h.environment()))
}

func (h *harness) request(id int, change func(*chuteevent.Request)) {
	r := chuteevent.Request{
		Exchange: chuteevent.ExchangeID(id), ID: fmt.Sprint("r", id), Service: "s", Class: chuteevent.ClassNormal,
		Digest: 1, Deadline: h.now.Add(10 * time.Second),
	}
	if change != nil {
		change(&r)
	}
	h.step(chuteevent.RequestArrived{Request: r})
}

// endAttempt ends the latest attempt with the code.
func (h *harness) endAttempt(code chuteresult.Code) {
	d := h.dispatches[len(h.dispatches)-1]
	h.step(chuteevent.AttemptEnded{
		Exchange: d.Exchange, Attempt: d.Attempt, Backend: d.Backend, Result: chuteresult.New(code, "test"), Elapsed: time.Millisecond,
		Answer: chutetable.Answer{Status: 200, Body: []byte("body")},
	})
}

// TestAttemptOutcomes checks, for each result of an attempt, whether the router retries a repeatable request and one
// that is not, and which result it answers otherwise.
func TestAttemptOutcomes(t *testing.T) {
	cases := []struct {
		code                      chuteresult.Code
		retryRepeatable, retryAny bool // whether the router retries a repeatable request, or any request
	}{
		{chuteresult.Done, false, false},
		{chuteresult.AnswerTooLarge, false, false},
		{chuteresult.BackendUnreachable, true, true},
		{chuteresult.BackendRefused, true, true},
		{chuteresult.Overloaded, true, true},
		{chuteresult.ConnectionBroken, true, false},
		{chuteresult.ConnectionSilent, true, false},
		{chuteresult.AnswerTruncated, true, false},
		{chuteresult.AnswerCrossed, true, false},
	}
	for _, c := range cases {
		for _, repeatable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s repeatable %t", c.code, repeatable), func(t *testing.T) {
				is := is.New(t)
				h := newHarness(3)
				h.request(1, func(r *chuteevent.Request) { r.Repeatable = repeatable })
				is.Equal(len(h.dispatches), 1)
				h.endAttempt(c.code)
				h.tick(time.Second)
				wantRetry := c.retryRepeatable && repeatable || c.retryAny
				is.Equal(len(h.dispatches) == 2, wantRetry)
				answer, answered := h.answers[1]
				is.Equal(answered, !wantRetry)
				if answered {
					is.Equal(answer.Result.Code, c.code)
				} else {
					is.True(h.dispatches[1].Backend != h.dispatches[0].Backend) // the retry goes to another backend server
				}
			})
		}
	}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		harness func() *harness
		change  func(*chuteevent.Request)
		code    chuteresult.Code
	}{
		{"unknown service", func() *harness { return newHarness(1) }, func(r *chuteevent.Request) { r.Service = "x" }, chuteresult.NoBackendServer},
		{"deadline passed", func() *harness { return newHarness(1) }, func(r *chuteevent.Request) { r.Deadline = chutesimulation.StartTime() }, chuteresult.DeadlinePassed},
		{"stopping", func() *harness { h := newHarness(1); h.state = h.state.WithStopping(); return h }, nil, chuteresult.Stopping},
		{"store down, not repeatable, named", func() *harness { h := newHarness(1); h.storeUp = false; return h }, func(r *chuteevent.Request) { r.HasClientID = true }, chuteresult.StoreUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := c.harness()
			h.request(1, c.change)
			is.Equal(len(h.dispatches), 0)
			is.Equal(h.answers[1].Result.Code, c.code)
			is.Equal(h.counts["request-refused/"+c.code.String()], 1)
		})
	}
}

func TestLateAnswersAreDropped(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.request(1, func(r *chuteevent.Request) { r.Repeatable = true })
	first := h.dispatches[0]
	h.endAttempt(chuteresult.ConnectionSilent)
	h.tick(time.Second)
	h.step(chuteevent.AttemptEnded{Exchange: 1, Attempt: first.Attempt, Backend: first.Backend, Result: chuteresult.Result{Code: chuteresult.Done}})
	_, answered := h.answers[1]
	is.True(!answered)
	is.Equal(h.counts["answer-dropped/late"], 1)
}

func TestLeavingBackendServerGetsNoWork(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.state = h.state.HandlePeerLoads(h.environment(), nil, []string{"b0"}, 1)
	live := []chuteevent.PlatformHost{
		{ID: "b0", Role: chuteevent.RoleBackend, Service: "s"}, {ID: "b1", Role: chuteevent.RoleBackend, Service: "s"},
	}
	h.apply(h.state.HandleMembershipListed(h.environment(), live)) // the platform's list lags and still has b0 as live
	for i := range 20 {
		h.request(i, func(r *chuteevent.Request) { r.Repeatable = true })
	}
	is.True(len(h.dispatches) > 0)
	for _, d := range h.dispatches {
		is.Equal(d.Backend, "b1")
	}
}

// TestLoadThatAPeerNoLongerReportsIsForgotten guards against a backend server that counts as busy for good after one
// report of load.
func TestLoadThatAPeerNoLongerReportsIsForgotten(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.state = h.state.HandlePeerLoads(h.environment(), []chuteevent.BackendLoad{{Backend: "b0", Running: 8}}, nil, 3)
	h.state = h.state.HandlePeerLoads(h.environment(), []chuteevent.BackendLoad{{Backend: "b1", Running: 8}}, nil, 3)
	for i := range 6 {
		h.request(i, func(r *chuteevent.Request) { r.Repeatable = true })
	}
	is.True(len(h.dispatches) > 1)
	for _, d := range h.dispatches {
		is.Equal(d.Backend, "b0") // b1 is busy with the peers' requests
	}
}

// TestAnUncertainOutcomeIsNotCountedAsARefusal checks the counter of refusals for a request whose earlier attempt may
// have run.
func TestAnUncertainOutcomeIsNotCountedAsARefusal(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.request(1, func(r *chuteevent.Request) { r.Repeatable = true })
	h.endAttempt(chuteresult.ConnectionBroken)
	h.tick(time.Minute)
	is.Equal(h.answers[1].Result.Code.Class(), chuteresult.ClassUnknown)
	for counter := range h.counts {
		is.True(!strings.HasPrefix(counter, "request-refused/"))
	}
}

// TestRandomHistories checks invariants of the router under random requests and faults: it answers that a request did
// not run only if every attempt certainly did not run, and it retries a request that must not run twice only after
// attempts that certainly did not run.
func TestRandomHistories(t *testing.T) {
	codes := []chuteresult.Code{
		chuteresult.Done, chuteresult.Done, chuteresult.Done, chuteresult.BackendRefused, chuteresult.BackendUnreachable,
		chuteresult.ConnectionBroken, chuteresult.ConnectionSilent, chuteresult.AnswerCrossed,
	}
	for _, seed := range chutesimulation.Seeds(1, 30) {
		random := rand.New(rand.NewPCG(seed, 3))
		h := newHarness(1 + random.IntN(4))
		repeatable := make(map[chuteevent.ExchangeID]bool)
		mayHaveRun := make(map[chuteevent.ExchangeID]bool)
		next := 0
		for i := range 600 {
			switch {
			case random.IntN(2) == 0:
				isRepeatable := random.IntN(2) == 0
				repeatable[chuteevent.ExchangeID(i)] = isRepeatable
				h.request(i, func(r *chuteevent.Request) { r.Repeatable = isRepeatable; r.Class = chuteevent.Class(random.IntN(3)) })
			case next < len(h.dispatches):
				d := h.dispatches[next]
				next++
				code := codes[random.IntN(len(codes))]
				if mayHaveRun[d.Exchange] && !repeatable[d.Exchange] {
					t.Fatalf("seed %d: request %d must not run twice and was sent again", seed, d.Exchange)
				}
				if code.Class() != chuteresult.ClassNotRun {
					mayHaveRun[d.Exchange] = true
				}
				h.step(chuteevent.AttemptEnded{Exchange: d.Exchange, Attempt: d.Attempt, Backend: d.Backend, Result: chuteresult.New(code, "")})
			default:
				h.step(chuteevent.BackendProbed{Backend: fmt.Sprint("b", random.IntN(4)), Alive: true})
				h.tick(200 * time.Millisecond)
			}
		}
		for id := range repeatable {
			answer, answered := h.answers[id]
			if answered && answer.Result.NotRun() && mayHaveRun[id] {
				t.Fatalf("seed %d: request %d may have run and was answered %v", seed, id, answer.Result)
			}
		}
	}
}
