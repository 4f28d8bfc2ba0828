package chuteentry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
)

func TestRepeatedSubmissionCreatesOneJob(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 3, 8)
	sm.run(3 * time.Second)
	j := sm.clients.submit("normal", time.Second, taskStep(1))
	sm.run(time.Second)
	sm.clients.trySubmit(j, 0)
	sm.run(6 * time.Second)
	is.Equal(sm.phase(j), "completed")
	is.Equal(len(j.doneAt), 1)
	sm.failOnViolations(t)
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 1, 2)
	sm.run(3 * time.Second)
	valid := chutegraph.Spec{Steps: []chutegraph.Step{taskStep(1)}}
	cases := []struct {
		name, host, path, key string
		call                  chuteaction.Call
		want                  string
	}{
		{"unknown key", "q.example", "/normal/0123456789abcdef", "other", chuteaction.SubmitJob{Spec: valid}, "unknown-key"},
		{"no key", "q.example", "/normal/0123456789abcdef", "", chuteaction.SubmitJob{Spec: valid}, "unknown-key"},
		{"unknown queue", "q.example", "/other/0123456789abcdef", "key", chuteaction.SubmitJob{Spec: valid}, "unknown-queue"},
		{"unknown host", "x.example", "/normal/0123456789abcdef", "key", chuteaction.SubmitJob{Spec: valid}, "unknown-queue"},
		{"bad id", "q.example", "/normal/xyz", "key", chuteaction.SubmitJob{Spec: valid}, "malformed"},
		{"bad body", "q.example", "/normal/0123456789abcdef", "key", chuteaction.SubmitJob{ParseError: "no JSON"}, "malformed"},
		{"no steps", "q.example", "/normal/0123456789abcdef", "key", chuteaction.SubmitJob{}, "malformed"},
		{
			"step after a later one", "q.example", "/normal/0123456789abcdef", "key",
			chuteaction.SubmitJob{Spec: chutegraph.Spec{Steps: []chutegraph.Step{{Count: 1, After: []int{0}}}}},
			"malformed",
		},
		{
			"no tasks", "q.example", "/normal/0123456789abcdef", "key",
			chuteaction.SubmitJob{Spec: chutegraph.Spec{Steps: []chutegraph.Step{{Count: 0}}}},
			"malformed",
		},
		{
			"negative request", "q.example", "/normal/0123456789abcdef", "key",
			chuteaction.SubmitJob{Spec: chutegraph.Spec{Steps: []chutegraph.Step{{Count: 1, Request: chutecapacity.Resources{Memory: -1}}}}},
			"malformed",
		},
		{"unknown job", "q.example", "/normal/0123456789abcdef", "key", chuteaction.ShowJob{}, "unknown-job"},
		{"count", "q.example", "/normal/", "key", chuteaction.ShowJob{}, "done"},
	}
	recorded := func() []chuteaction.Row {
		return sm.store.rowsBetween(chuteaction.TableJobs, chuteaction.IntakePartition, "", "")
	}
	before := recorded()
	for i, c := range cases {
		got := ""
		call := chuteaction.CallID(1000 + i)
		sm.clients.callbacks[call] = func(a chuteaction.AnswerCall) { got = a.Result.Code.String() }
		sm.hosts["host-0"].deliver(chuteaction.CallArrived{
			ID: call, Deadline: sm.now.Add(3 * time.Second), Host: c.host, Path: c.path, Key: c.key, Call: c.call,
		})
		sm.run(time.Second)
		is.Equal(got, c.want) // the case is identified by its name
	}
	is.Equal(recorded(), before) // refused calls store nothing
	sm.failOnViolations(t)
}

// TestTheCancellationOfAnUnknownJobStoresItAlone guards against a job that is recorded after its cancelling was answered.
func TestTheCancellationOfAnUnknownJobStoresItAlone(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 1, 2)
	sm.run(3 * time.Second)
	j := sm.clients.newJob("normal", time.Second, taskStep(1))
	sm.clients.cancel(j)
	sm.run(time.Second)
	is.True(!j.cancelledAt.IsZero())
	sm.clients.trySubmit(j, 0)
	sm.run(time.Second)
	is.True(j.acceptedAt.IsZero())
	rows := sm.store.rowsBetween(chuteaction.TableJobs, chuteaction.IntakePartition, "", "")
	is.Equal(len(rows), 1)
	is.Equal(rows[0].RowKey, chuteaction.CancelKey(j.id))
	sm.failOnViolations(t)
}
