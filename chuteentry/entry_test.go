package chuteentry_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

func oneTask(accelerators int) chutegraph.Step {
	return chutegraph.Step{Count: 1, Request: chutecapacity.Resources{Processor: 1000, Memory: 1000, Accelerators: accelerators}}
}

func gangOf(count, accelerators int) chutegraph.Step {
	s := oneTask(accelerators)
	s.Count = count
	s.Gang = true
	return s
}

func (w *world) phase(j *fakeJob) string {
	phase := "no answer"
	for range 5 {
		w.clients.show(j, func(p chutetask.Phase, ok bool) {
			if ok {
				phase = p.String()
			}
		})
		w.run(4 * time.Second)
		if phase != "no answer" {
			return phase
		}
	}
	return phase
}

func (w *world) check(t *testing.T) {
	t.Helper()
	for _, fault := range w.faults {
		t.Error(fault)
	}
	if t.Failed() {
		t.Log("\n" + strings.Join(w.trace, "\n"))
	}
}

func TestJobsRunToTheirEnd(t *testing.T) {
	cases := []struct {
		name  string
		steps []chutegraph.Step
	}{
		{"one task", []chutegraph.Step{oneTask(1)}},
		{"a gang over several workers", []chutegraph.Step{gangOf(4, 8)}},
		{"a step after another", []chutegraph.Step{oneTask(1), {Count: 3, Request: oneTask(2).Request, After: []int{0}}}},
		{"many small tasks", []chutegraph.Step{{Count: 60, Request: oneTask(1).Request}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, 3, 8)
			w.run(3 * time.Second)
			j := w.clients.submit("normal", time.Second, c.steps...)
			w.run(10 * time.Second)
			is.Equal(w.phase(j), "completed")
			w.check(t)
		})
	}
}

func TestJobStartsWhileTheStoreTellsOfNoChanges(t *testing.T) {
	w := newWorld(1, 3, 8)
	w.run(5 * time.Second)
	w.store.mute = true
	started := 0
	var jobs []*fakeJob
	for range 20 {
		jobs = append(jobs, w.clients.submit("urgent", 300*time.Millisecond, oneTask(1)))
	}
	w.run(time.Second)
	for _, j := range jobs {
		if len(j.done) > 0 {
			started++
		}
	}
	if started < 12 { // a notice may be lost
		t.Errorf("%d of 20 jobs have run", started)
	}
	w.store.mute = false
	w.run(5 * time.Second)
	for _, j := range jobs {
		if phase := w.phase(j); phase != "completed" {
			t.Errorf("%s is %s", j.id, phase)
		}
	}
	w.check(t)
}

func TestGangIsNotStoppedAtItsEnd(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 8)
	w.run(3 * time.Second)
	for range 20 {
		w.clients.submit("normal", time.Second, gangOf(4, 8))
		w.run(4 * time.Second)
	}
	is.Equal(w.story("run is stopped"), "")
	w.check(t)
}

func TestCancelledJobStopsOnItsWorkers(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 8)
	w.run(3 * time.Second)
	j := w.clients.submit("normal", 20*time.Second, gangOf(3, 4))
	w.run(time.Second)
	is.Equal(w.running(j), 3)
	w.clients.cancel(j)
	w.run(time.Second)
	is.True(!j.cancelled.IsZero())
	is.Equal(w.running(j), 0)
	is.Equal(w.phase(j), "cancelled")
	w.check(t)
}

// running counts the tasks of the job that are at work.
func (w *world) running(j *fakeJob) int {
	n := 0
	for _, k := range w.workers {
		for id := range k.runs {
			if id.Task.Job == j.id {
				n++
			}
		}
	}
	return n
}

// kill ends a process at once; a new one starts after a while.
func (w *world) kill(name string) {
	w.hosts[name].dead = true
	w.after(500*time.Millisecond, func() { w.startHost(name) })
}

func TestWorkOfAWorkerThatLeftStartsElsewhereSoon(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 8)
	w.run(5 * time.Second) // the store must have been steady for a while
	j := w.clients.submit("normal", 3*time.Second, oneTask(1))
	w.run(time.Second)
	k := w.workerOf(j)
	k.die(50 * time.Millisecond)
	w.run(6 * time.Second)
	is.Equal(w.phase(j), "completed") // sooner than its lease of 6 s would have run out
	w.check(t)
}

func (w *world) workerOf(j *fakeJob) *fakeWorker {
	for _, name := range w.workerNames() {
		for id := range w.workers[name].runs {
			if id.Task.Job == j.id {
				return w.workers[name]
			}
		}
	}
	return nil
}

func TestEntriesThatLapseWithTheStoreDoNotEndWork(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 8)
	w.run(12 * time.Second)
	j := w.clients.submit("normal", 8*time.Second, chutegraph.Step{Count: 4, Request: oneTask(4).Request})
	w.run(time.Second)
	w.store.down = true
	w.run(3 * time.Second)
	for _, k := range w.workers {
		w.store.drop(k.key(), nil)
	}
	w.store.down = false
	w.run(200 * time.Millisecond)
	k := w.workerOf(j)
	k.cut = true // for a moment, while it is not listed
	w.run(3500 * time.Millisecond)
	for _, k := range w.workers {
		k.list()
	}
	w.run(500 * time.Millisecond)
	k.cut = false
	w.run(12 * time.Second)
	is.Equal(w.phase(j), "completed")
	w.check(t)
}

func TestSameJobTwiceIsOneJob(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, 8)
	w.run(3 * time.Second)
	j := w.clients.submit("normal", time.Second, oneTask(1))
	w.run(time.Second)
	w.clients.trySubmit(j, 0)
	w.run(6 * time.Second)
	is.Equal(w.phase(j), "completed")
	is.Equal(len(j.done), 1)
	w.check(t)
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1, 2)
	w.run(3 * time.Second)
	valid := chutegraph.Spec{Steps: []chutegraph.Step{oneTask(1)}}
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
		{"cancel of an unknown job", "q.example", "/normal/0123456789abcdef", "key", chuteaction.CancelJob{}, "unknown-job"},
		{"count", "q.example", "/normal/", "key", chuteaction.ShowJob{}, "done"},
	}
	before := w.store.between(chuteaction.TableJobs, chuteaction.IntakePartition, "", "")
	for i, c := range cases {
		got := ""
		call := chuteaction.CallID(1000 + i)
		w.clients.calls[call] = func(a chuteaction.AnswerCall) { got = a.Result.Code.String() }
		w.hosts["host-0"].deliver(chuteaction.CallArrived{
			ID: call, Deadline: w.now.Add(3 * time.Second), Host: c.host, Path: c.path, Key: c.key, Call: c.call,
		})
		w.run(time.Second)
		is.Equal(got, c.want) // of the case by its name
	}
	is.Equal(w.store.between(chuteaction.TableJobs, chuteaction.IntakePartition, "", ""), before) // nothing is stored
	w.check(t)
}

// TestSeedsThatFailed plays the histories that once broke a promise.
func TestSeedsThatFailed(t *testing.T) {
	cases := []struct {
		seed  uint64
		cause string
	}{
		{137, "a start was taken by a worker's new incarnation, and counted as lost with its former incarnation"},
		{406, "the same, after a start without an answer"},
		{1308, "repeated renewals to a worker that was gone moved the end of its lease, so that its work never started elsewhere"},
		{1315, "the same, for an urgent job"},
		{1382, "the same, for a start without an answer"},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) { playHistory(t, c.seed) })
	}
}

// TestSeededHistories plays random traffic beside random faults. MONSOONCHUTE_SEEDS chooses the seeds, as first:count.
func TestSeededHistories(t *testing.T) {
	first, count := uint64(1), 12
	if text := os.Getenv("MONSOONCHUTE_SEEDS"); text != "" {
		a, b, _ := strings.Cut(text, ":")
		f, err := strconv.ParseUint(a, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		n, err := strconv.Atoi(b)
		if err != nil {
			t.Fatal(err)
		}
		first, count = f, n
	}
	for seed := first; seed < first+uint64(count); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playHistory(t, seed) })
	}
}

func playHistory(t *testing.T, seed uint64) {
	w := newWorld(seed, 4, 12)
	w.run(3 * time.Second)
	w.traffic(25, 20*time.Second)
	for range 4 + w.random.IntN(5) {
		w.after(time.Duration(w.random.Int64N(int64(22*time.Second))), w.randomFault)
	}
	w.run(25 * time.Second)
	w.heal()
	w.run(90 * time.Second)
	for _, id := range w.clients.order {
		j := w.clients.jobs[id]
		if j.accepted.IsZero() {
			continue
		}
		phase := w.phase(j)
		switch {
		case phase == "completed" || phase == "failed":
		case phase == "cancelled" && !j.cancelled.IsZero():
		default:
			w.broken("job %s (%s) is %s at the end\n%s", id, j.queue, phase, w.story(string(id)))
		}
	}
	w.check(t)
}

func (w *world) randomHost() *fakeHost {
	names := w.hostNames()
	if l := w.leader(); l != nil && w.chance(0.5) {
		return l
	}
	return w.hosts[names[w.random.IntN(len(names))]]
}

func (w *world) randomWorker() *fakeWorker {
	names := w.workerNames()
	return w.workers[names[w.random.IntN(len(names))]]
}

// randomFault begins one kind of trouble.
func (w *world) randomFault() {
	span := time.Second + w.delay(4*time.Second)
	switch w.random.IntN(12) {
	case 0:
		w.kill(w.randomHost().name)
	case 1:
		w.randomHost().pause(span)
	case 2:
		h := w.randomHost()
		h.cut = true
		w.after(span, func() { h.cut = false })
	case 3:
		w.store.down = true
		w.after(span, func() { w.store.down = false })
	case 4:
		w.store.lost, w.store.late = 0.3, 0.5
		w.after(span, func() { w.store.lost = 0 })
	case 5:
		k := w.randomWorker()
		k.unheard = 0.5
		w.after(span, func() { k.unheard = 0 })
	case 6:
		k := w.randomWorker()
		k.cut = true
		w.after(span*2, func() { k.cut = false })
	case 7:
		w.randomWorker().restart()
	case 8:
		w.randomWorker().drain(2 * time.Second)
	case 9:
		for _, name := range w.hostNames() {
			w.kill(name)
		}
	case 10:
		k := w.randomWorker()
		k.fails = true
		w.after(span, func() { k.fails = false })
	case 11:
		w.store.oldest = w.store.version
		zone := w.randomWorker().listing.Zone
		key := chuteaction.RowKey{Table: chuteaction.TableOperator, Key: "evacuate/" + zone}
		w.store.put(key, chuteaction.EvacuationRow{Zone: zone})
		w.after(span, func() { w.store.drop(key, chuteaction.EvacuationRow{Zone: zone, Ended: true}) })
	}
}

// heal ends all trouble.
func (w *world) heal() {
	w.store.down, w.store.lost = false, 0
	for _, h := range w.hosts {
		h.cut = false
	}
	for _, k := range w.workers {
		k.cut, k.fails, k.unheard = false, false, 0
	}
}

func TestLargeGangStartsAmongManySmallTasks(t *testing.T) {
	w := newWorld(1, 2, 4)
	w.run(4 * time.Second)
	for n := range 200 { // always more than fits, of unequal length
		step := chutegraph.Step{Count: 16, Request: oneTask(1).Request, Estimate: time.Second}
		w.after(time.Duration(n)*200*time.Millisecond, func() { w.clients.submit("low", time.Duration(500+n%7*100)*time.Millisecond, step) })
	}
	w.run(2 * time.Second)
	gang := w.clients.submit("normal", time.Second, gangOf(3, 8))
	w.run(15 * time.Second)
	if len(gang.done) < 3 {
		t.Errorf("%d of 3 members of the gang have run after 15 s", len(gang.done))
	}
	w.check(t)
}
