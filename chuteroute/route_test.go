package chuteroute_test

import (
	"fmt"
	"math/rand/v2"
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

// bench is a router with what it asked for so far.
type bench struct {
	state      chuteroute.State
	now        time.Time
	up         bool
	boot       string
	dispatches []chuteevent.Dispatch
	commits    []chuteevent.CommitTable
	reads      []chuteevent.ReadTable
	answers    map[chuteevent.ExchangeID]chuteevent.AnswerRequest
	counts     map[string]int
}

func newBench(backends int) *bench {
	b := &bench{
		state: chuteroute.New(1), now: chutesimulation.StartTime(), up: true, boot: "boot",
		answers: make(map[chuteevent.ExchangeID]chuteevent.AnswerRequest), counts: make(map[string]int),
	}
	var hosts []chuteevent.PlatformHost
	for i := range backends {
		hosts = append(hosts, chuteevent.PlatformHost{ID: fmt.Sprintf("b%d", i), Role: chuteevent.RoleBackend, Service: "s", Address: "a"})
	}
	b.take(b.state.HandleMembershipListed(b.environment(), hosts))
	return b
}

func (b *bench) environment() chuteroute.Environment {
	return chuteroute.Environment{
		Now: b.now, Host: "h", Boot: b.boot, Policy: chutedocument.DefaultPolicy(), StoreUp: b.up, Hosts: 1,
	}
}

func (b *bench) take(state chuteroute.State, effects []chuteevent.Effect) {
	b.state = state
	for _, effect := range effects {
		switch e := effect.(type) {
		case chuteevent.Dispatch:
			b.dispatches = append(b.dispatches, e)
		case chuteevent.CommitTable:
			b.commits = append(b.commits, e)
		case chuteevent.ReadTable:
			b.reads = append(b.reads, e)
		case chuteevent.AnswerRequest:
			b.answers[e.Exchange] = e
		case chuteevent.Count:
			b.counts[e.Counter+"/"+e.Reason]++
		}
	}
}

func (b *bench) event(e chuteevent.RequestEvent) {
	b.take(b.state.Step(b.environment(), e))
}

func (b *bench) tick(after time.Duration) {
	b.now = b.now.Add(after)
	b.take(b.state.Tick(b.environment()))
}

func (b *bench) request(id int, change func(*chuteevent.Request)) {
	r := chuteevent.Request{
		Exchange: chuteevent.ExchangeID(id), ID: fmt.Sprint("r", id), Service: "s", Class: chuteevent.ClassNormal,
		Digest: 1, Deadline: b.now.Add(10 * time.Second),
	}
	if change != nil {
		change(&r)
	}
	b.event(chuteevent.RequestArrived{Request: r})
}

// end ends the latest dispatch with the code.
func (b *bench) end(code chuteresult.Code) {
	d := b.dispatches[len(b.dispatches)-1]
	b.event(chuteevent.AttemptEnded{
		Exchange: d.Exchange, Attempt: d.Attempt, Backend: d.Backend, Result: chuteresult.New(code, "test"), Elapsed: time.Millisecond,
		Answer: chutetable.Answer{Status: 200, Body: []byte("body")},
	})
}

// TestAttemptOutcomes states for each way in which an attempt can end what a request of each kind is told, and whether
// it may be sent again.
func TestAttemptOutcomes(t *testing.T) {
	cases := []struct {
		code             chuteresult.Code
		again, unsafeToo bool // a repeatable request is sent again; one that is not repeatable too
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
				b := newBench(3)
				b.request(1, func(r *chuteevent.Request) { r.Repeatable = repeatable })
				is.Equal(len(b.dispatches), 1)
				b.end(c.code)
				b.tick(time.Second)
				wantAgain := c.again && repeatable || c.unsafeToo
				is.Equal(len(b.dispatches) == 2, wantAgain)
				answer, answered := b.answers[1]
				is.Equal(answered, !wantAgain)
				if answered {
					is.Equal(answer.Result.Code, c.code)
				} else {
					is.True(b.dispatches[1].Backend != b.dispatches[0].Backend) // goes to another backend server
				}
			})
		}
	}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		bench  func() *bench
		change func(*chuteevent.Request)
		code   chuteresult.Code
	}{
		{"unknown service", func() *bench { return newBench(1) }, func(r *chuteevent.Request) { r.Service = "x" }, chuteresult.NoBackendServer},
		{"deadline passed", func() *bench { return newBench(1) }, func(r *chuteevent.Request) { r.Deadline = chutesimulation.StartTime() }, chuteresult.DeadlinePassed},
		{"stopping", func() *bench { b := newBench(1); b.state = b.state.WithStopping(); return b }, nil, chuteresult.Stopping},
		{"store down, not repeatable, named", func() *bench { b := newBench(1); b.up = false; return b }, func(r *chuteevent.Request) { r.HasClientID = true }, chuteresult.StoreUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := c.bench()
			b.request(1, c.change)
			is.Equal(len(b.dispatches), 0)
			is.Equal(b.answers[1].Result.Code, c.code)
			is.Equal(b.counts["request-refused/"+c.code.String()], 1)
		})
	}
}

func (b *bench) committed(accepted bool) {
	e := b.commits[len(b.commits)-1]
	versions := map[chutetable.Key]chutetable.Version{e.Writes[0].Key: 5}
	b.take(b.state.HandleTableCommitted(b.environment(), chuteevent.TableCommitted{Token: e.Token, Accepted: accepted, Versions: versions}))
}

func named(r *chuteevent.Request) { r.HasClientID = true }

func TestIntentComesBeforeDispatchAndOutcomeAfter(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	b.request(1, named)
	is.Equal(len(b.dispatches), 0) // nothing is sent before the intent is durable
	b.committed(true)
	is.Equal(len(b.dispatches), 1)
	b.end(chuteresult.Done)
	is.Equal(b.answers[1].Result.Code, chuteresult.Done)
	row, ok := b.commits[1].Writes[0].Row.(chutetable.IntentRow)
	is.True(ok)
	is.True(row.Finished)
	is.Equal(string(row.Answer.Body), "body")
	is.True(!b.state.Idle()) // the outcome is still being written
	b.committed(true)
	is.True(b.state.Idle())
}

// TestSecondArrival states what a repeated id is told for each state of the first request's record.
func TestSecondArrival(t *testing.T) {
	done := chuteresult.New(chuteresult.Done, "")
	cases := []struct {
		name string
		rows []chutetable.IntentRow
		code chuteresult.Code
	}{
		{"finished", []chutetable.IntentRow{{Digest: 1, Finished: true, Result: done, Answer: chutetable.Answer{Status: 200}}}, chuteresult.Recorded},
		{"finished, unknown", []chutetable.IntentRow{{Digest: 1, Finished: true, Result: chuteresult.New(chuteresult.ConnectionBroken, "")}}, chuteresult.ConnectionBroken},
		{"in progress here", []chutetable.IntentRow{{Digest: 1, Boot: "boot"}}, chuteresult.InProgress},
		{"taken by another process", []chutetable.IntentRow{{Digest: 1, Boot: "other"}}, chuteresult.IntentUnresolved},
		{"other content", []chutetable.IntentRow{{Digest: 2, Finished: true, Result: done}}, chuteresult.Conflict},
		{"gone meanwhile", nil, chuteresult.Conflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(1)
			b.request(1, named)
			b.committed(false)
			read := chuteevent.TableRead{Token: b.reads[0].Token}
			for _, row := range c.rows {
				read.Rows = append(read.Rows, chutetable.StoredRow{Key: chutetable.IntentKey("r1"), Version: 3, Row: row})
			}
			b.take(b.state.HandleTableRead(b.environment(), read))
			is.Equal(b.answers[1].Result.Code, c.code)
			is.Equal(len(b.dispatches), 0)
		})
	}
}

func TestLateIntentOfARefusedRequestIsDeleted(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	b.request(1, named)
	b.tick(11 * time.Second)
	is.Equal(b.answers[1].Result.Code, chuteresult.DeadlinePassed)
	b.committed(true)
	is.Equal(len(b.dispatches), 0)
	last := b.commits[len(b.commits)-1]
	is.True(last.Writes[0].Row == nil) // the id is free again
}

func TestLateAnswersAreDropped(t *testing.T) {
	is := is.New(t)
	b := newBench(2)
	b.request(1, func(r *chuteevent.Request) { r.Repeatable = true })
	first := b.dispatches[0]
	b.end(chuteresult.ConnectionSilent)
	b.tick(time.Second)
	b.event(chuteevent.AttemptEnded{Exchange: 1, Attempt: first.Attempt, Backend: first.Backend, Result: chuteresult.Result{Code: chuteresult.Done}})
	_, answered := b.answers[1]
	is.True(!answered)
	is.Equal(b.counts["answer-dropped/late"], 1)
}

func TestLeavingBackendServerGetsNoWork(t *testing.T) {
	is := is.New(t)
	b := newBench(2)
	b.state = b.state.HandlePeerLoads(b.environment(), nil, []string{"b0"}, 1)
	live := []chuteevent.PlatformHost{
		{ID: "b0", Role: chuteevent.RoleBackend, Service: "s"}, {ID: "b1", Role: chuteevent.RoleBackend, Service: "s"},
	}
	b.take(b.state.HandleMembershipListed(b.environment(), live)) // the lagging list still says that it is live
	for i := range 20 {
		b.request(i, func(r *chuteevent.Request) { r.Repeatable = true })
	}
	is.True(len(b.dispatches) > 0)
	for _, d := range b.dispatches {
		is.Equal(d.Backend, "b1")
	}
}

// TestHistories holds random courses of requests and faults against what must always hold: each request is answered
// once, not run is told only if every attempt certainly did not run, and what must not run twice is sent again only
// after attempts that certainly did not run.
func TestHistories(t *testing.T) {
	codes := []chuteresult.Code{
		chuteresult.Done, chuteresult.Done, chuteresult.Done, chuteresult.BackendRefused, chuteresult.BackendUnreachable,
		chuteresult.ConnectionBroken, chuteresult.ConnectionSilent, chuteresult.AnswerCrossed,
	}
	for _, seed := range chutesimulation.Seeds(1, 30) {
		random := rand.New(rand.NewPCG(seed, 3))
		b := newBench(1 + random.IntN(4))
		repeatable := make(map[chuteevent.ExchangeID]bool)
		mayHaveRun := make(map[chuteevent.ExchangeID]bool)
		open := 0
		for step := range 600 {
			switch {
			case random.IntN(2) == 0:
				safe := random.IntN(2) == 0
				repeatable[chuteevent.ExchangeID(step)] = safe
				b.request(step, func(r *chuteevent.Request) { r.Repeatable = safe; r.Class = chuteevent.Class(random.IntN(3)) })
			case open < len(b.dispatches):
				d := b.dispatches[open]
				open++
				code := codes[random.IntN(len(codes))]
				if mayHaveRun[d.Exchange] && !repeatable[d.Exchange] {
					t.Fatalf("seed %d: request %d must not run twice and is sent again", seed, d.Exchange)
				}
				if code.Class() != chuteresult.ClassNotRun {
					mayHaveRun[d.Exchange] = true
				}
				b.event(chuteevent.AttemptEnded{Exchange: d.Exchange, Attempt: d.Attempt, Backend: d.Backend, Result: chuteresult.New(code, "")})
			default:
				b.event(chuteevent.BackendProbed{Backend: fmt.Sprint("b", random.IntN(4)), Alive: true})
				b.tick(200 * time.Millisecond)
			}
		}
		for id := range repeatable {
			answer, answered := b.answers[id]
			if answered && answer.Result.NotRun() && mayHaveRun[id] {
				t.Fatalf("seed %d: request %d may have run and was told %v", seed, id, answer.Result)
			}
		}
	}
}
