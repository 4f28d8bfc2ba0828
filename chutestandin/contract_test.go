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

// fixture is a platform, a client of it and the events that the client emits.
type fixture struct {
	platform *chutestandin.Platform
	client   *chutestore.Client
	events   chutering.Events
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	platform, stopPlatform, err := chutestandin.NewPlatform(log)
	is.New(t).NoErr(err)
	t.Cleanup(stopPlatform)
	f := &fixture{platform: platform, events: chutering.NewEvents("test", 1024)}
	var closeClient func()
	f.client, closeClient = chutestore.New(platform.Address(), f.events, log)
	t.Cleanup(closeClient)
	return f
}

// awaitEvent returns the next event with the token.
func (f *fixture) awaitEvent(t *testing.T, token chuteevent.Token) chuteevent.Event {
	t.Helper()
	for {
		event, ok := f.events.Take(t.Context())
		if !ok {
			t.Fatalf("no event with token %s", token)
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

func commitHostRow(token string, version chutetable.Version, renewalCount int64) chuteevent.CommitTable {
	key := chutetable.HostKey("h")
	return chuteevent.CommitTable{
		Token: chuteevent.Token(token), Conditions: []chutetable.Condition{{Key: key, Version: version}},
		Writes: []chutetable.Write{{Key: key, Row: chutetable.HostRow{Host: "h", RenewalCount: renewalCount}}},
	}
}

func TestCommitConditions(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.client.Offer(commitHostRow("first", 0, 1))
	first, ok := f.awaitEvent(t, "first").(chuteevent.TableCommitted)
	is.True(ok && first.Accepted)
	f.client.Offer(commitHostRow("raced", 0, 2))
	raced, ok := f.awaitEvent(t, "raced").(chuteevent.TableCommitted)
	is.True(ok && !raced.Accepted) // the row exists by now
	f.client.Offer(commitHostRow("second", first.Versions[chutetable.HostKey("h")], 3))
	second, ok := f.awaitEvent(t, "second").(chuteevent.TableCommitted)
	is.True(ok && second.Accepted)
	f.client.Offer(chuteevent.ReadTable{Token: "read", Prefix: chutetable.HostPrefix})
	read, ok := f.awaitEvent(t, "read").(chuteevent.TableRead)
	is.True(ok)
	is.Equal(len(read.Rows), 1)
	is.Equal(read.Rows[0].Row, chutetable.HostRow{Host: "h", RenewalCount: 3})
}

// TestStoreFaults compares the outcome that the client reports under each fault with what the table has stored.
func TestStoreFaults(t *testing.T) {
	cases := []struct {
		name     string
		faults   chutestandin.PlatformFaults
		expired  bool
		reported string
	}{
		{"temporarily down", chutestandin.PlatformFaults{Down: true}, false, "accepted"},
		{"responses lost after the write", chutestandin.PlatformFaults{LoseResponses: true}, false, "accepted"},
		{"slow", chutestandin.PlatformFaults{Delay: 100 * time.Millisecond}, false, "accepted"},
		{"expired before it was sent", chutestandin.PlatformFaults{}, true, "failed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.platform.SetFaults(c.faults)
			e := commitHostRow("token", 0, 1)
			if c.expired {
				e.SendBefore = startTime
			}
			f.client.Offer(e)
			endFault := time.AfterFunc(300*time.Millisecond, func() { f.platform.SetFaults(chutestandin.PlatformFaults{}) })
			defer endFault.Stop()
			reported := "failed"
			if committed, ok := f.awaitEvent(t, "token").(chuteevent.TableCommitted); ok && committed.Accepted {
				reported = "accepted"
			}
			is.Equal(reported, c.reported)
			stored := len(f.platform.Table.Read(chutetable.HostPrefix, false))
			is.Equal(stored == 1, reported == "accepted") // the report agrees with the table
			commits, _ := f.platform.Table.RequestCounts()
			is.True(commits <= 1) // the table counts a repeated transaction once
		})
	}
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestAgentRefusals checks which orders the agent of a worker refuses.
func TestAgentRefusals(t *testing.T) {
	fence := chuteorder.Fence{Shard: 0, Epoch: 5}
	start := chuteworker.OrderRequest{
		Kind: chuteworker.KindStart, Fence: fence, Task: chuteorder.TaskID{Job: "j", Attempt: 1}, Mask: 3,
		Command: "run 10s", ValidUntil: time.Minute,
	}
	cases := []struct {
		name     string
		change   func(*chuteworker.OrderRequest)
		after    time.Duration
		accepted bool
	}{
		{"valid", func(*chuteworker.OrderRequest) {}, 0, true},
		{"older epoch", func(o *chuteworker.OrderRequest) { o.Fence.Epoch = 4 }, 0, false},
		{"expired", func(o *chuteworker.OrderRequest) { o.ValidUntil = time.Second }, 2 * time.Second, false},
		{"lease expired", func(*chuteworker.OrderRequest) {}, 30 * time.Second, false},
		{"shard without a lease", func(o *chuteworker.OrderRequest) { o.Fence.Shard = 1 }, 0, false},
		{"accelerator in use", func(o *chuteworker.OrderRequest) { o.Task.Part = 1; o.Mask = 12 }, 0, false},
		{"stopped before its start", func(o *chuteworker.OrderRequest) { o.Task.Part = 2 }, 0, false},
		{"unknown kind", func(o *chuteworker.OrderRequest) { o.Kind = "dance" }, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			agent := chutestandin.NewAgent(startTime)
			agent.HandlePoll(startTime, chuteorder.Poll{Fence: fence, Lease: 20 * time.Second})
			busy := start
			busy.Task.Part, busy.Mask = 9, 12
			agent.HandleOrder(startTime, busy)
			agent.HandleOrder(startTime, chuteworker.OrderRequest{Kind: chuteworker.KindStop, Fence: fence, Task: chuteorder.TaskID{Job: "j", Attempt: 1, Part: 2}})
			order := start
			c.change(&order)
			response := agent.HandleOrder(startTime.Add(c.after), order)
			is.Equal(response.Accepted, c.accepted)
			is.Equal(agent.Starts()[order.Task] == 1, c.accepted)
		})
	}
}

func TestLeasesStopTasks(t *testing.T) {
	is := is.New(t)
	agent := chutestandin.NewAgent(startTime)
	fence := chuteorder.Fence{Epoch: 1}
	agent.HandlePoll(startTime, chuteorder.Poll{Fence: fence, Lease: 20 * time.Second})
	for part := range 3 {
		agent.HandleOrder(startTime, chuteworker.OrderRequest{
			Kind: chuteworker.KindStart, Fence: fence, Task: chuteorder.TaskID{Job: "j", Attempt: 1, Part: part},
			Mask: 1 << part, Command: fmt.Sprintf("run %ds", 10*(part+1)), ValidUntil: time.Minute,
		})
	}
	response := agent.HandlePoll(startTime.Add(25*time.Second), chuteorder.Poll{Fence: fence})
	states := []chuteorder.TaskState{}
	for _, task := range response.Report.Tasks {
		states = append(states, task.State)
	}
	is.Equal(states, []chuteorder.TaskState{chuteorder.TaskDone, chuteorder.TaskDone, chuteorder.TaskStopped})
}
