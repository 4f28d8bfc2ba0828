package chuteentry_test

import (
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetask"
)

// fakeClients hand in jobs, repeat calls that were not served, cancel some jobs and ask for states.
type fakeClients struct {
	world *world
	jobs  map[chutegraph.JobID]*fakeJob
	order []chutegraph.JobID
	calls map[chuteaction.CallID]func(chuteaction.AnswerCall)
	last  chuteaction.CallID
}

type fakeJob struct {
	id        chutegraph.JobID
	queue     string
	spec      chutegraph.Spec
	duration  time.Duration
	accepted  time.Time
	cancelled time.Time // when the cancellation was acknowledged
	done      map[chutegraph.TaskID]time.Time
	noted     map[chutegraph.TaskID]bool // the scheduler has told the worker to forget the end
	started   map[chutegraph.TaskID]time.Time
}

func newFakeClients(w *world) *fakeClients {
	return &fakeClients{world: w, jobs: make(map[chutegraph.JobID]*fakeJob), calls: make(map[chuteaction.CallID]func(chuteaction.AnswerCall))}
}

func (c *fakeClients) answered(a chuteaction.AnswerCall) {
	then, ok := c.calls[a.ID]
	delete(c.calls, a.ID)
	if ok {
		then(a)
	}
}

// call sends a call to a random live host.
func (c *fakeClients) call(queue, rest string, what chuteaction.Call, then func(chuteaction.AnswerCall)) {
	w := c.world
	names := w.hostNames()
	h := w.hosts[names[w.random.IntN(len(names))]]
	c.last++
	id := c.last
	c.calls[id] = then
	w.after(w.delay(3*time.Millisecond), func() {
		h.deliver(chuteaction.CallArrived{
			ID: id, Deadline: w.now.Add(3 * time.Second), Host: "q.example", Path: "/" + queue + "/" + rest, Key: "key", Call: what,
		})
	})
	w.after(3*time.Second, func() {
		c.answered(chuteaction.AnswerCall{ID: id, Result: chuteresult.New(chuteresult.AnswerLost, "no answer")})
	})
}

func (c *fakeClients) submit(queue string, duration time.Duration, steps ...chutegraph.Step) *fakeJob {
	j := &fakeJob{
		id: chutegraph.JobID(fmt.Sprintf("%016x", len(c.jobs)+1)), queue: queue, duration: duration,
		spec: chutegraph.Spec{Payload: "work", Steps: steps}, done: make(map[chutegraph.TaskID]time.Time),
		noted: make(map[chutegraph.TaskID]bool), started: make(map[chutegraph.TaskID]time.Time),
	}
	c.jobs[j.id] = j
	c.order = append(c.order, j.id)
	c.trySubmit(j, 0)
	return j
}

func (c *fakeClients) trySubmit(j *fakeJob, tries int) {
	c.call(j.queue, string(j.id), chuteaction.SubmitJob{Spec: j.spec}, func(a chuteaction.AnswerCall) {
		if a.Result.Code.Class() == chuteresult.ClassRan {
			j.accepted = c.world.now
			return
		}
		if tries < 40 {
			c.world.after(300*time.Millisecond, func() { c.trySubmit(j, tries+1) })
		}
	})
}

func (c *fakeClients) cancel(j *fakeJob) {
	c.call(j.queue, string(j.id), chuteaction.CancelJob{}, func(a chuteaction.AnswerCall) {
		if a.Result.Code.Class() == chuteresult.ClassRan {
			j.cancelled = c.world.now
			return
		}
		if a.Result.Code != chuteresult.UnknownJob {
			c.world.after(300*time.Millisecond, func() { c.cancel(j) })
		}
	})
}

// show asks for the state of a job until it is told.
func (c *fakeClients) show(j *fakeJob, told func(chutetask.Phase, bool)) {
	c.call(j.queue, string(j.id), chuteaction.ShowJob{}, func(a chuteaction.AnswerCall) {
		if body, ok := a.Body.(chuteaction.JobState); ok {
			told(body.Phase, true)
			return
		}
		told(0, false)
	})
}

// randomStep returns a step like those of the users.
func (w *world) randomStep() chutegraph.Step {
	accelerators := []int{1, 1, 1, 2, 4, 8}[w.random.IntN(6)]
	step := chutegraph.Step{
		Count:   1 + w.random.IntN(6),
		Request: chutecapacity.Resources{Processor: 4000, Memory: 8000, Accelerators: accelerators},
		Gang:    w.chance(0.5), SameRack: w.chance(0.3), Checkpointing: w.chance(0.4), Estimate: 2 * time.Second,
	}
	if accelerators == 8 {
		step.Count = min(step.Count, 3)
	}
	return step
}

// traffic hands in jobs at random moments.
func (w *world) traffic(jobs int, over time.Duration) {
	for range jobs {
		w.after(time.Duration(w.random.Int64N(int64(over))), func() {
			queue := []string{"urgent", "normal", "low"}[w.random.IntN(3)]
			steps := []chutegraph.Step{w.randomStep()}
			if w.chance(0.3) {
				second := w.randomStep()
				second.After = []int{0}
				steps = append(steps, second)
			}
			j := w.clients.submit(queue, 500*time.Millisecond+time.Duration(w.random.Int64N(int64(4*time.Second))), steps...)
			if w.chance(0.1) {
				w.after(w.delay(2*time.Second), func() { w.clients.cancel(j) })
			}
		})
	}
}
