package chuteentry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chuteresult"
)

const (
	// applyLimit is the time within which a change of the configuration must be in force on hosts in touch.
	applyLimit = 2 * time.Second
	// evacuationLimit is the time after which nothing starts any more in a zone that is taken out.
	evacuationLimit = 5 * time.Second
)

// putCatalog writes a version of the configuration with other queues and keys.
func (sm *simulation) putCatalog(c chutecatalog.Catalog) {
	sm.store.put(chuteaction.RowKey{Table: chuteaction.TableOperator, Key: "config"}, chuteaction.CatalogRow{Catalog: c})
}

// pendingAt returns the number of pending jobs that the host gives, and false if it gives none.
func (sm *simulation) pendingAt(h *fakeHost, queue string) (int, bool) {
	pending, ok := 0, false
	sm.clients.callAt(h, queue, "", chuteaction.ShowJob{}, func(a chuteaction.AnswerCall) {
		if depth, shown := a.Body.(chuteaction.QueueDepth); shown {
			pending, ok = depth.Pending, true
		}
	})
	sm.run(20 * time.Millisecond)
	return pending, ok
}

// answerAt returns the code that the host answers to a call for the number of pending jobs.
func (sm *simulation) answerAt(h *fakeHost, queue, key string) chuteresult.Code {
	var code chuteresult.Code
	former := sm.clients.key
	sm.clients.key = key
	sm.clients.callAt(h, queue, "", chuteaction.ShowJob{}, func(a chuteaction.AnswerCall) { code = a.Result.Code })
	sm.run(100 * time.Millisecond)
	sm.clients.key = former
	return code
}

// TestNoCallIsDecidedByAnOldConfiguration guards against final answers of a host whose watch of the configuration stands still while
// other answers of the store arrive.
func TestNoCallIsDecidedByAnOldConfiguration(t *testing.T) {
	cases := []struct {
		name, queue, key string
		change           func(*chutecatalog.Catalog)
		want             chuteresult.Code // by the new configuration
	}{
		{"queue added", "added", "key", func(c *chutecatalog.Catalog) {
			c.Queues = append(c.Queues, chutecatalog.Queue{Name: "added", Host: "q.example", PathPrefix: "/added/", Service: "main"})
		}, chuteresult.Done},
		{"queue removed", "low", "key", func(c *chutecatalog.Catalog) { c.Queues = c.Queues[:2] }, chuteresult.UnknownQueue},
		{"key added", "low", "added", func(c *chutecatalog.Catalog) { c.Workspaces[0].Keys = []string{"key", "added"} }, chuteresult.Done},
		{"key removed", "low", "guest", func(c *chutecatalog.Catalog) { c.Workspaces = c.Workspaces[:1] }, chuteresult.UnknownKey},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sm := newSimulation(1, 3, 4)
			sm.run(5 * time.Second)
			h := sm.hosts["host-1"]
			h.silentTable = chuteaction.TableOperator
			catalog := testCatalog(2)
			c.change(&catalog)
			sm.putCatalog(catalog)
			sm.run(applyLimit)
			for range 50 {
				is.Equal(sm.answerAt(h, c.queue, c.key), chuteresult.NotReady)
			}
			is.Equal(h.state.Serving(sm.now), false) // the platform sends new connections elsewhere
			h.silentTable = 0
			sm.run(time.Second)
			is.Equal(sm.answerAt(h, c.queue, c.key), c.want)
			is.True(h.state.Serving(sm.now))
		})
	}
}

// TestNothingStartsInAZoneThatWasTakenOutUnseen guards against starts by a leader whose watch of the operators' table stands still.
func TestNothingStartsInAZoneThatWasTakenOutUnseen(t *testing.T) {
	for seed := range uint64(4) {
		sm := newSimulation(seed, 3, 6)
		sm.run(5 * time.Second)
		leader := sm.leader()
		leader.silentTable = chuteaction.TableOperator
		sm.store.put(chuteaction.RowKey{Table: chuteaction.TableOperator, Key: "evacuate/zone-1"}, chuteaction.EvacuationRow{Zone: "zone-1"})
		outSince, startsAfter := sm.now, 0
		sm.beforeStart = func(k *fakeWorker, o chuteaction.StartRun) {
			if k.listing.Zone == "zone-1" && sm.now.Sub(outSince) > evacuationLimit {
				t.Errorf("seed %d: %v starts in the zone %s after it was taken out", seed, o.Run, sm.now.Sub(outSince))
			}
			if leader.silentTable == 0 {
				startsAfter++
			}
		}
		sm.submitRandomJobs(40, 20*time.Second)
		sm.run(25 * time.Second)
		leader.silentTable = 0
		sm.run(2 * time.Second)
		if startsAfter == 0 {
			t.Errorf("seed %d: nothing starts although the leader knows the zones again", seed)
		}
	}
}

// TestNoOldNumberOfPendingJobsIsShown guards against the number that an earlier leader's row gave, on a host whose watch of the
// leaders' table stands still.
func TestNoOldNumberOfPendingJobsIsShown(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 3, 1)
	sm.run(5 * time.Second)
	follower := sm.hosts["host-0"]
	if follower.leads() {
		follower = sm.hosts["host-1"]
	}
	is.Equal(sm.answerAt(follower, "normal", "key"), chuteresult.Done)
	follower.silentTable = chuteaction.TableLeaders
	sm.run(4 * time.Second)
	is.Equal(sm.answerAt(follower, "normal", "key"), chuteresult.NotReady)
	is.True(follower.state.Serving(sm.now)) // it serves all other calls
	follower.silentTable = 0
	sm.run(time.Second)
	is.Equal(sm.answerAt(follower, "normal", "key"), chuteresult.Done)
}

// TestTheNumberOfPendingJobsIsKnownThroughATakeover guards against a new leader that tells a count before its first one.
func TestTheNumberOfPendingJobsIsKnownThroughATakeover(t *testing.T) {
	for seed := range uint64(6) {
		sm := newSimulation(seed, 3, 1)
		sm.run(3 * time.Second)
		const waiting = 20
		var jobs []*fakeJob
		for range waiting + 1 {
			jobs = append(jobs, sm.clients.submit("normal", time.Hour, gangStep(1, 8)))
		}
		sm.run(6 * time.Second)
		sm.crashLeader()
		sm.clients.cancel(jobs[waiting])
		for range 300 {
			for _, name := range sm.hostNames() {
				h := sm.hosts[name]
				if pending, ok := sm.pendingAt(h, "normal"); ok && pending < waiting/2 {
					t.Fatalf("seed %d: %s gives %d of %d jobs as pending", seed, name, pending, waiting)
				}
			}
		}
	}
}

// TestJobsWhoseStartsAreRefusedArePending guards against jobs that are neither pending nor running.
func TestJobsWhoseStartsAreRefusedArePending(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 3, 2)
	sm.run(3 * time.Second)
	for _, name := range sm.workerNames() {
		sm.workers[name].unhealthy = true
	}
	const waiting = 8
	var jobs []*fakeJob
	for i := range waiting {
		jobs = append(jobs, sm.clients.submit("normal", time.Hour, gangStep(1+i%2, 4)))
	}
	sm.run(4 * time.Second)
	for range 200 {
		pending, ok := sm.pendingAt(sm.hosts["host-0"], "normal")
		is.True(ok)
		is.Equal(pending, waiting)
	}
	is.Equal(sm.phase(jobs[0]), "queued")
	for _, name := range sm.workerNames() {
		sm.workers[name].unhealthy = false
	}
	sm.run(5 * time.Second)
	pending, _ := sm.pendingAt(sm.hosts["host-0"], "normal")
	is.True(pending < waiting) // those that run
	sm.failOnViolations(t)
}
