package chutestandin

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutetopology"
	"monsoonchute.example/monsoonchute/chuteworker"
)

// defaultRun is the run time of a task whose command names none.
const defaultRun = 2 * time.Second

// record is a task that the agent knows.
type record struct {
	fence   chuteorder.Fence
	mask    chutetopology.Mask
	state   chuteorder.TaskState
	started time.Time
	resume  time.Duration
	run     time.Duration // of the whole task
	fails   bool
	saved   time.Duration
}

// progress returns the work done by the moment.
func (r record) progress(now time.Time) time.Duration {
	return min(r.run, r.resume+now.Sub(r.started))
}

// Agent runs tasks under leases as a worker does. Its run times come from the commands: "run 30s" ends well after
// that time, "fail 1s" fails after it.
type Agent struct {
	mutex  sync.Mutex
	begin  time.Time
	epochs map[int]int64
	leases map[int]time.Time // end of the leases of a shard's tasks
	tasks  map[chuteorder.TaskID]record
	faulty bool
	starts map[chuteorder.TaskID]int // executions, never forgotten
}

// NewAgent returns an agent without tasks whose clock begins at the moment.
func NewAgent(begin time.Time) *Agent {
	return &Agent{
		begin: begin, epochs: make(map[int]int64), leases: make(map[int]time.Time),
		tasks: make(map[chuteorder.TaskID]record), starts: make(map[chuteorder.TaskID]int),
	}
}

// SetFaulty makes every task that starts from now on fail at once, or no longer.
func (a *Agent) SetFaulty(faulty bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.faulty = faulty
}

// Starts returns how often each task was started.
func (a *Agent) Starts() map[chuteorder.TaskID]int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	starts := make(map[chuteorder.TaskID]int, len(a.starts))
	for id, n := range a.starts {
		starts[id] = n
	}
	return starts
}

// Running returns the accelerators that running tasks use at the moment.
func (a *Agent) Running(now time.Time) map[chuteorder.TaskID]chutetopology.Mask {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance(now)
	running := make(map[chuteorder.TaskID]chutetopology.Mask)
	for id, r := range a.tasks {
		if r.state == chuteorder.TaskRunning {
			running[id] = r.mask
		}
	}
	return running
}

// Crash forgets every task, as a restarted host does.
func (a *Agent) Crash(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.begin = now
	a.epochs = make(map[int]int64)
	a.tasks = make(map[chuteorder.TaskID]record)
	a.leases = make(map[int]time.Time)
}

// advance ends the tasks that are over by the moment: done, failed, or stopped by a lapsed lease.
func (a *Agent) advance(now time.Time) {
	for id, r := range a.tasks {
		if r.state != chuteorder.TaskRunning {
			continue
		}
		end := r.started.Add(r.run - r.resume)
		lapse := a.leases[r.fence.Shard]
		switch {
		case lapse.Before(end) && now.After(lapse):
			r.state = chuteorder.TaskStopped
		case !now.Before(end) && r.fails:
			r.state = chuteorder.TaskFailed
		case !now.Before(end):
			r.state = chuteorder.TaskDone
			r.saved = r.run
		}
		a.tasks[id] = r
	}
}

// admit reports whether the fence is not older than one seen before, and notes it.
func (a *Agent) admit(fence chuteorder.Fence) bool {
	if fence.Epoch < a.epochs[fence.Shard] {
		return false
	}
	a.epochs[fence.Shard] = fence.Epoch
	return true
}

// Poll renews the leases of the shard's tasks and reports them.
func (a *Agent) HandlePoll(now time.Time, poll chuteorder.Poll) chuteworker.PollResponse {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance(now)
	if !a.admit(poll.Fence) {
		return chuteworker.PollResponse{}
	}
	if poll.Lease > 0 {
		a.leases[poll.Fence.Shard] = now.Add(poll.Lease)
	}
	for _, id := range poll.Acknowledged {
		if a.tasks[id].state != chuteorder.TaskRunning {
			delete(a.tasks, id)
		}
	}
	return chuteworker.PollResponse{Accepted: true, Report: a.report(now, poll.Fence.Shard)}
}

func (a *Agent) report(now time.Time, shard int) chuteorder.Report {
	report := chuteorder.Report{Boot: strconv.FormatInt(a.begin.UnixNano(), 10), Clock: now.Sub(a.begin)}
	for id, r := range a.tasks {
		if r.fence.Shard == shard {
			report.Tasks = append(report.Tasks, reportOf(id, r))
		}
	}
	slices.SortFunc(report.Tasks, func(a, b chuteorder.TaskReport) int {
		return strings.Compare(a.Task.String(), b.Task.String())
	})
	return report
}

func reportOf(id chuteorder.TaskID, r record) chuteorder.TaskReport {
	return chuteorder.TaskReport{Task: id, Mask: r.mask, State: r.state, SavedProgress: r.saved}
}

// Order carries out an order, or tells why not.
func (a *Agent) HandleOrder(now time.Time, request chuteworker.OrderRequest) chuteworker.OrderResponse {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advance(now)
	if !a.admit(request.Fence) {
		return chuteworker.OrderResponse{Cause: "an owner with a later epoch was seen"}
	}
	order, err := request.Order()
	if err != nil {
		return chuteworker.OrderResponse{Cause: err.Error()}
	}
	switch o := order.(type) {
	case chuteorder.StartTask:
		return a.start(now, request.Fence, o)
	case chuteorder.CheckpointTask:
		return a.checkpoint(now, o.Task)
	case chuteorder.StopTask:
		return a.stop(request.Fence, o.Task)
	}
	return chuteworker.OrderResponse{}
}

func (a *Agent) start(now time.Time, fence chuteorder.Fence, o chuteorder.StartTask) chuteworker.OrderResponse {
	if r, known := a.tasks[o.Task]; known {
		return chuteworker.OrderResponse{Accepted: r.state == chuteorder.TaskRunning, Cause: "known already", Task: reportOf(o.Task, r)}
	}
	if now.Sub(a.begin) > o.ValidUntil {
		return chuteworker.OrderResponse{Cause: "the order has expired"}
	}
	if !now.Before(a.leases[fence.Shard]) {
		return chuteworker.OrderResponse{Cause: "the shard has no lease here"}
	}
	for _, r := range a.tasks {
		if r.state == chuteorder.TaskRunning && r.mask&o.Mask != 0 {
			return chuteworker.OrderResponse{Cause: "an accelerator is in use"}
		}
	}
	r := record{fence: fence, mask: o.Mask, state: chuteorder.TaskRunning, started: now, resume: o.ResumeFrom, saved: o.ResumeFrom}
	r.run, r.fails = parseCommand(o.Command)
	if a.faulty {
		r.run, r.fails = o.ResumeFrom, true
	}
	a.tasks[o.Task] = r
	a.starts[o.Task]++
	return chuteworker.OrderResponse{Accepted: true, Task: reportOf(o.Task, r)}
}

// parseCommand returns the run time and whether the task fails at its end.
func parseCommand(command string) (time.Duration, bool) {
	verb, length, _ := strings.Cut(command, " ")
	run, err := time.ParseDuration(length)
	if err != nil {
		run = defaultRun
	}
	return run, verb == "fail"
}

func (a *Agent) checkpoint(now time.Time, id chuteorder.TaskID) chuteworker.OrderResponse {
	r, known := a.tasks[id]
	if !known {
		return chuteworker.OrderResponse{Cause: "unknown task"}
	}
	if r.state == chuteorder.TaskRunning {
		r.saved = r.progress(now)
		a.tasks[id] = r
	}
	return chuteworker.OrderResponse{Accepted: true, Task: reportOf(id, r)}
}

// stop ends the task. An unknown id is kept as stopped, so that a late start order finds it.
func (a *Agent) stop(fence chuteorder.Fence, id chuteorder.TaskID) chuteworker.OrderResponse {
	r, known := a.tasks[id]
	switch {
	case !known:
		r = record{fence: fence, state: chuteorder.TaskVoid}
	case r.state == chuteorder.TaskRunning:
		r.state = chuteorder.TaskStopped
	}
	a.tasks[id] = r
	return chuteworker.OrderResponse{Accepted: true, Task: reportOf(id, r)}
}
