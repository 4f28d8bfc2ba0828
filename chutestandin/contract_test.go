package chutestandin_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutering"
	"monsoonchute.example/monsoonchute/chutestandin"
	"monsoonchute.example/monsoonchute/chutestore"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chuteworker"
)

// bench is a client of a platform, with the events that it brought.
type bench struct {
	platform *chutestandin.Platform
	client   *chutestore.Client
	events   chutering.Events
}

func newBench(t *testing.T) *bench {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	platform, stop, err := chutestandin.NewPlatform(log)
	is.New(t).NoErr(err)
	t.Cleanup(stop)
	b := &bench{platform: platform, events: chutering.NewEvents("test", 1024)}
	var end func()
	b.client, end = chutestore.New(platform.Address(), b.events, log)
	t.Cleanup(end)
	return b
}

// await returns the next event about the token.
func (b *bench) await(t *testing.T, token chuteevent.Token) chuteevent.Event {
	t.Helper()
	for {
		event, ok := b.events.Take(t.Context())
		if !ok {
			t.Fatalf("no event about %s", token)
		}
		switch e := event.(type) {
		case chuteevent.TableCommitted:
			if e.Token == token {
				return e
			}
		case chuteevent.TableRead:
			if e.Token == token {
				return e
			}
		case chuteevent.TableFailed:
			if e.Token == token {
				return e
			}
		}
	}
}

func commit(token string, version chutetable.Version, beat int64) chuteevent.CommitTable {
	key := chutetable.HostKey("h")
	return chuteevent.CommitTable{
		Token: chuteevent.Token(token), Conditions: []chutetable.Condition{{Key: key, Version: version}},
		Writes: []chutetable.Write{{Key: key, Row: chutetable.HostRow{Host: "h", RenewalCount: beat}}},
	}
}

func TestConditionsDecide(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.client.Offer(commit("first", 0, 1))
	first, ok := b.await(t, "first").(chuteevent.TableCommitted)
	is.True(ok && first.Accepted)
	b.client.Offer(commit("raced", 0, 2))
	raced, ok := b.await(t, "raced").(chuteevent.TableCommitted)
	is.True(ok && !raced.Accepted) // the row is no longer absent
	b.client.Offer(commit("second", first.Versions[chutetable.HostKey("h")], 3))
	second, ok := b.await(t, "second").(chuteevent.TableCommitted)
	is.True(ok && second.Accepted)
	b.client.Offer(chuteevent.ReadTable{Token: "read", Prefix: chutetable.HostPrefix})
	read, ok := b.await(t, "read").(chuteevent.TableRead)
	is.True(ok)
	is.Equal(len(read.Rows), 1)
	is.Equal(read.Rows[0].Row, chutetable.HostRow{Host: "h", RenewalCount: 3})
}

// TestFaultsOfTheStore holds what the core is told under each fault against what the table did.
func TestFaultsOfTheStore(t *testing.T) {
	cases := []struct {
		name   string
		faults chutestandin.Faults
		giveUp bool
		told   string
	}{
		{"down for a while", chutestandin.Faults{Down: true}, false, "accepted"},
		{"answers lost after the write", chutestandin.Faults{LoseAnswers: true}, false, "accepted"},
		{"slow", chutestandin.Faults{Delay: 100 * time.Millisecond}, false, "accepted"},
		{"given up before it was sent", chutestandin.Faults{}, true, "failed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.platform.SetFaults(c.faults)
			e := commit("token", 0, 1)
			if c.giveUp {
				e.SendBefore = begin
			}
			b.client.Offer(e)
			healed := time.AfterFunc(300*time.Millisecond, func() { b.platform.SetFaults(chutestandin.Faults{}) })
			defer healed.Stop()
			told := "failed"
			if committed, ok := b.await(t, "token").(chuteevent.TableCommitted); ok && committed.Accepted {
				told = "accepted"
			}
			is.Equal(told, c.told)
			stored := len(b.platform.Table.Read(chutetable.HostPrefix, false))
			is.Equal(stored == 1, told == "accepted") // what was told is what happened
			commits, _ := b.platform.Table.Load()
			is.True(commits <= 1) // however often it was sent
		})
	}
}

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestAgentRefusals states which orders a worker's agent refuses.
func TestAgentRefusals(t *testing.T) {
	fence := chuteorder.Fence{Shard: 0, Epoch: 5}
	start := chuteworker.OrderRequest{
		Kind: chuteworker.KindStart, Fence: fence, Task: chuteorder.TaskID{Job: "j", Attempt: 1}, Mask: 3,
		Command: "run 10s", ValidUntil: time.Minute,
	}
	cases := []struct {
		name   string
		change func(*chuteworker.OrderRequest)
		after  time.Duration
		taken  bool
	}{
		{"valid", func(*chuteworker.OrderRequest) {}, 0, true},
		{"older epoch", func(o *chuteworker.OrderRequest) { o.Fence.Epoch = 4 }, 0, false},
		{"expired", func(o *chuteworker.OrderRequest) { o.ValidUntil = time.Second }, 2 * time.Second, false},
		{"lease lapsed", func(*chuteworker.OrderRequest) {}, 30 * time.Second, false},
		{"shard without a lease", func(o *chuteworker.OrderRequest) { o.Fence.Shard = 1 }, 0, false},
		{"accelerator in use", func(o *chuteworker.OrderRequest) { o.Task.Part = 1; o.Mask = 12 }, 0, false},
		{"stopped before its start", func(o *chuteworker.OrderRequest) { o.Task.Part = 2 }, 0, false},
		{"unknown kind", func(o *chuteworker.OrderRequest) { o.Kind = "dance" }, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			agent := chutestandin.NewAgent(begin)
			agent.HandlePoll(begin, chuteorder.Poll{Fence: fence, Lease: 20 * time.Second})
			busy := start
			busy.Task.Part, busy.Mask = 9, 12
			agent.HandleOrder(begin, busy)
			agent.HandleOrder(begin, chuteworker.OrderRequest{Kind: chuteworker.KindStop, Fence: fence, Task: chuteorder.TaskID{Job: "j", Attempt: 1, Part: 2}})
			order := start
			c.change(&order)
			answer := agent.HandleOrder(begin.Add(c.after), order)
			is.Equal(answer.Accepted, c.taken)
			is.Equal(agent.Starts()[order.Task] == 1, c.taken)
		})
	}
}

func TestLeasesStopTasks(t *testing.T) {
	is := is.New(t)
	agent := chutestandin.NewAgent(begin)
	fence := chuteorder.Fence{Epoch: 1}
	agent.HandlePoll(begin, chuteorder.Poll{Fence: fence, Lease: 20 * time.Second})
	for part := range 3 {
		agent.HandleOrder(begin, chuteworker.OrderRequest{
			Kind: chuteworker.KindStart, Fence: fence, Task: chuteorder.TaskID{Job: "j", Attempt: 1, Part: part},
			Mask: 1 << part, Command: fmt.Sprintf("run %ds", 10*(part+1)), ValidUntil: time.Minute,
		})
	}
	answer := agent.HandlePoll(begin.Add(25*time.Second), chuteorder.Poll{Fence: fence})
	states := []chuteorder.TaskState{}
	for _, task := range answer.Report.Tasks {
		states = append(states, task.State)
	}
	is.Equal(states, []chuteorder.TaskState{chuteorder.TaskDone, chuteorder.TaskDone, chuteorder.TaskStopped})
}
