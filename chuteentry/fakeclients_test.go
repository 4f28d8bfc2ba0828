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

// fakeClients submits and cancels jobs, retries calls that failed, and queries the states of jobs.
type fakeClients struct {
	sim       *simulation
	jobs      map[chutegraph.JobID]*fakeJob
	jobIDs    []chutegraph.JobID
	callbacks map[chuteaction.CallID]func(chuteaction.AnswerCall)
	lastCall  chuteaction.CallID
	key       string // API key of the calls
}

type fakeJob struct {
	id           chutegraph.JobID
	key          string // API key of its submission
	queue        string
	spec         chutegraph.Spec
	duration     time.Duration
	firstStep    time.Duration // duration of the tasks of the first step, if it is another; 0 if not
	submittedAt  time.Time     // when its client first handed it in
	acceptedAt   time.Time
	cancelledAt  time.Time // zero until the cancellation is acknowledged
	doneAt       map[chutegraph.TaskID]time.Time
	acknowledged map[chutegraph.TaskID]bool // tasks whose end the scheduler has acknowledged to the worker
	startedAt    map[chutegraph.TaskID]time.Time

	crashesWorker func(*fakeWorker, chutegraph.TaskID) bool // nil if no task crashes the worker that starts it
	starts        map[chutegraph.TaskID]int
	crashes       map[chutegraph.TaskID]int // workers that crashed while the task ran there
	startsBeyond  map[chutegraph.TaskID]int // starts by hosts in touch after maxCrashes crashes
	hasFailedRuns bool

	startsBeyondByAny map[chutegraph.TaskID]int // starts by any host after maxCrashes crashes
}

// durationOf returns how long a task of the step works.
func (j *fakeJob) durationOf(step int) time.Duration {
	if step == 0 && j.firstStep > 0 {
		return j.firstStep
	}
	return j.duration
}

// isDeadly reports whether the task crashes the worker if that starts it.
func (j *fakeJob) isDeadly(k *fakeWorker, id chutegraph.TaskID) bool {
	return j.crashesWorker != nil && j.crashesWorker(k, id)
}

// failedWithoutCause reports whether a job is failed although no run of it failed, and at most one worker crashed under
// each of its tasks.
func (j *fakeJob) failedWithoutCause(phase string) bool {
	for _, crashes := range j.crashes {
		if crashes > 1 {
			return false
		}
	}
	return phase == "failed" && !j.hasFailedRuns
}

func newFakeClients(sm *simulation) *fakeClients {
	return &fakeClients{
		sim: sm, key: "key", jobs: make(map[chutegraph.JobID]*fakeJob),
		callbacks: make(map[chuteaction.CallID]func(chuteaction.AnswerCall)),
	}
}

func (c *fakeClients) deliverAnswer(a chuteaction.AnswerCall) {
	callback, ok := c.callbacks[a.ID]
	delete(c.callbacks, a.ID)
	if ok {
		callback(a)
	}
}

// call sends a call to a random host and runs the callback once, with the answer or after a timeout of 3 s.
func (c *fakeClients) call(queue, path string, request chuteaction.Call, callback func(chuteaction.AnswerCall)) {
	names := c.sim.hostNames()
	c.callAt(c.sim.hosts[names[c.sim.random.IntN(len(names))]], queue, path, request, callback)
}

// callAt does so with the host.
func (c *fakeClients) callAt(h *fakeHost, queue, path string, request chuteaction.Call, callback func(chuteaction.AnswerCall)) {
	sm := c.sim
	c.lastCall++
	id := c.lastCall
	c.callbacks[id] = callback
	key := c.key
	sm.after(sm.jittered(3*time.Millisecond), func() {
		h.deliver(chuteaction.CallArrived{
			ID: id, Deadline: sm.now.Add(3 * time.Second), Host: "q.example", Path: "/" + queue + "/" + path, Key: key, Call: request,
		})
	})
	sm.after(3*time.Second, func() {
		c.deliverAnswer(chuteaction.AnswerCall{ID: id, Result: chuteresult.New(chuteresult.AnswerLost, "no answer")})
	})
}

func (c *fakeClients) submit(queue string, duration time.Duration, steps ...chutegraph.Step) *fakeJob {
	j := c.newJob(queue, duration, steps...)
	c.trySubmit(j, 0)
	return j
}

// newJob returns a job that has not been handed in.
func (c *fakeClients) newJob(queue string, duration time.Duration, steps ...chutegraph.Step) *fakeJob {
	j := &fakeJob{
		id: chutegraph.JobID(fmt.Sprintf("%016x", len(c.jobs)+1)), key: c.key, queue: queue, duration: duration, submittedAt: c.sim.now,
		spec: chutegraph.Spec{Payload: "work", Steps: steps}, doneAt: make(map[chutegraph.TaskID]time.Time),
		acknowledged: make(map[chutegraph.TaskID]bool), startedAt: make(map[chutegraph.TaskID]time.Time),
		starts: make(map[chutegraph.TaskID]int), crashes: make(map[chutegraph.TaskID]int), startsBeyond: make(map[chutegraph.TaskID]int),
		startsBeyondByAny: make(map[chutegraph.TaskID]int),
	}
	c.jobs[j.id] = j
	c.jobIDs = append(c.jobIDs, j.id)
	return j
}

func (c *fakeClients) trySubmit(j *fakeJob, attempts int) {
	defer func(former string) { c.key = former }(c.key)
	c.key = j.key
	c.call(j.queue, string(j.id), chuteaction.SubmitJob{Spec: j.spec}, func(a chuteaction.AnswerCall) {
		if a.Result.Code.Class() == chuteresult.ClassRan {
			j.acceptedAt = c.sim.now
			return
		}
		if attempts < 40 {
			c.sim.after(300*time.Millisecond, func() { c.trySubmit(j, attempts+1) })
		}
	})
}

// cancel cancels the job at a random host, until a host answers.
func (c *fakeClients) cancel(j *fakeJob) {
	names := c.sim.hostNames()
	c.cancelAt(c.sim.hosts[names[c.sim.random.IntN(len(names))]], j)
}

// cancelAt does so, first at the host.
func (c *fakeClients) cancelAt(h *fakeHost, j *fakeJob) {
	c.callAt(h, j.queue, string(j.id), chuteaction.CancelJob{}, func(a chuteaction.AnswerCall) {
		if cancelAnswered(a) {
			j.cancelledAt = c.sim.now
			return
		}
		c.sim.after(300*time.Millisecond, func() { c.cancel(j) })
	})
}

// cancelAnswered reports whether the answer is final: the job is cancelled, or does not exist.
func cancelAnswered(a chuteaction.AnswerCall) bool {
	return a.Result.Code.Class() == chuteresult.ClassRan || a.Result.Code == chuteresult.UnknownJob
}

// show queries the phase of a job once; the callback gets false if the answer holds none.
func (c *fakeClients) show(j *fakeJob, callback func(chutetask.Phase, bool)) {
	c.call(j.queue, string(j.id), chuteaction.ShowJob{}, func(a chuteaction.AnswerCall) {
		if body, ok := a.Body.(chuteaction.JobState); ok {
			callback(body.Phase, true)
			return
		}
		callback(0, false)
	})
}

// randomStep returns a step with a random size, request and constraints.
func (sm *simulation) randomStep() chutegraph.Step {
	accelerators := []int{1, 1, 1, 2, 4, 8}[sm.random.IntN(6)]
	step := chutegraph.Step{
		Count:   1 + sm.random.IntN(6),
		Request: chutecapacity.Resources{Processor: 4000, Memory: 8000, Accelerators: accelerators},
		Gang:    sm.chance(0.5), SameRack: sm.chance(0.3), Checkpointing: sm.chance(0.4), Estimate: 2 * time.Second,
	}
	if accelerators == 8 {
		step.Count = min(step.Count, 3)
	}
	return step
}

// submitRandomJobs submits jobs at random times within the period and cancels some of them.
func (sm *simulation) submitRandomJobs(count int, period time.Duration) {
	for range count {
		sm.after(time.Duration(sm.random.Int64N(int64(period))), func() {
			queue := []string{"urgent", "normal", "low"}[sm.random.IntN(3)]
			steps := []chutegraph.Step{sm.randomStep()}
			if sm.chance(0.3) {
				second := sm.randomStep()
				second.After = []int{0}
				steps = append(steps, second)
			}
			j := sm.clients.submit(queue, 500*time.Millisecond+time.Duration(sm.random.Int64N(int64(4*time.Second))), steps...)
			if sm.chance(0.1) {
				sm.after(sm.jittered(2*time.Second), func() { sm.clients.cancel(j) })
			}
		})
	}
}
