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

// defaultRunTime is the run time of a task whose command states none.
const defaultRunTime = 2 * time.Second

// taskRecord is the state of one task on the agent.
type taskRecord struct {
	fence         chuteorder.Fence
	mask          chutetopology.Mask
	state         chuteorder.TaskState
	startedAt     time.Time
	resumeFrom    time.Duration
	runTime       time.Duration // of the whole task, including the part before resumeFrom
	fails         bool
	savedProgress time.Duration
}

// progress returns the progress of the task at the given time.
func (r taskRecord) progress(now time.Time) time.Duration {
	return min(r.runTime, r.resumeFrom+now.Sub(r.startedAt))
}

// Agent simulates the tasks of a worker under leases. The command of a task determines its run time and its end:
// "run 30s" succeeds after 30 seconds, "fail 1s" fails after one second.
type Agent struct {
	mutex    sync.Mutex
	bootedAt time.Time
	epochs   map[int]int64
	leases   map[int]time.Time // by shard: expiry of the lease of its tasks
	tasks    map[chuteorder.TaskID]taskRecord
	faulty   bool
	starts   map[chuteorder.TaskID]int // number of starts of each task; Crash keeps them
}

// NewAgent returns an agent without tasks whose clock starts at bootedAt.
func NewAgent(bootedAt time.Time) *Agent {
	return &Agent{
		bootedAt: bootedAt, epochs: make(map[int]int64), leases: make(map[int]time.Time),
		tasks: make(map[chuteorder.TaskID]taskRecord), starts: make(map[chuteorder.TaskID]int),
	}
}

// SetFaulty sets whether tasks that start from now on fail immediately.
func (a *Agent) SetFaulty(faulty bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.faulty = faulty
}

// Starts returns the number of starts of each task.
func (a *Agent) Starts() map[chuteorder.TaskID]int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	starts := make(map[chuteorder.TaskID]int, len(a.starts))
	for id, n := range a.starts {
		starts[id] = n
	}
	return starts
}

// Running returns the accelerators of each task that runs at the given time.
func (a *Agent) Running(now time.Time) map[chuteorder.TaskID]chutetopology.Mask {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.endFinishedTasks(now)
	running := make(map[chuteorder.TaskID]chutetopology.Mask)
	for id, r := range a.tasks {
		if r.state == chuteorder.TaskRunning {
			running[id] = r.mask
		}
	}
	return running
}

// Crash discards all tasks, leases and epochs, as a restart of the worker does.
func (a *Agent) Crash(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.bootedAt = now
	a.epochs = make(map[int]int64)
	a.tasks = make(map[chuteorder.TaskID]taskRecord)
	a.leases = make(map[int]time.Time)
}

// endFinishedTasks ends the running tasks that have completed, have failed or have lost their lease by the given time.
func (a *Agent) endFinishedTasks(now time.Time) {
	for id, r := range a.tasks {
		if r.state != chuteorder.TaskRunning {
			continue
		}
		end := r.startedAt.Add(r.runTime - r.resumeFrom)
		expiry := a.leases[r.fence.Shard]
		switch {
		case expiry.Before(end) && now.After(expiry):
			r.state = chuteorder.TaskStopped
		case !now.Before(end) && r.fails:
			r.state = chuteorder.TaskFailed
		case !now.Before(end):
			r.state = chuteorder.TaskDone
			r.savedProgress = r.runTime
		}
		a.tasks[id] = r
	}
}

// acceptFence records the epoch of the fence and reports true, unless it has seen a later epoch of the shard.
func (a *Agent) acceptFence(fence chuteorder.Fence) bool {
	if fence.Epoch < a.epochs[fence.Shard] {
		return false
	}
	a.epochs[fence.Shard] = fence.Epoch
	return true
}

// HandlePoll renews the lease of the shard's tasks, deletes the acknowledged tasks that have ended, and reports the
// rest. A poll with an outdated epoch renews and deletes nothing and gets an empty response.
func (a *Agent) HandlePoll(now time.Time, poll chuteorder.Poll) chuteworker.PollResponse {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.endFinishedTasks(now)
	if !a.acceptFence(poll.Fence) {
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
	report := chuteorder.Report{BootID: strconv.FormatInt(a.bootedAt.UnixNano(), 10), Clock: now.Sub(a.bootedAt)}
	for id, r := range a.tasks {
		if r.fence.Shard == shard {
			report.Tasks = append(report.Tasks, taskReport(id, r))
		}
	}
	slices.SortFunc(report.Tasks, func(a, b chuteorder.TaskReport) int {
		return strings.Compare(a.Task.String(), b.Task.String())
	})
	return report
}

func taskReport(id chuteorder.TaskID, r taskRecord) chuteorder.TaskReport {
	return chuteorder.TaskReport{Task: id, Mask: r.mask, State: r.state, SavedProgress: r.savedProgress}
}

// HandleOrder carries out an order, or returns the reason for which it refuses the order.
func (a *Agent) HandleOrder(now time.Time, request chuteworker.OrderRequest) chuteworker.OrderResponse {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.endFinishedTasks(now)
	if !a.acceptFence(request.Fence) {
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
		return chuteworker.OrderResponse{Accepted: r.state == chuteorder.TaskRunning, Cause: "known already", Task: taskReport(o.Task, r)}
	}
	if now.Sub(a.bootedAt) > o.ValidUntil {
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
	r := taskRecord{fence: fence, mask: o.Mask, state: chuteorder.TaskRunning, startedAt: now, resumeFrom: o.ResumeFrom, savedProgress: o.ResumeFrom}
	r.runTime, r.fails = parseCommand(o.Command)
	if a.faulty {
		r.runTime, r.fails = o.ResumeFrom, true
	}
	a.tasks[o.Task] = r
	a.starts[o.Task]++
	return chuteworker.OrderResponse{Accepted: true, Task: taskReport(o.Task, r)}
}

// parseCommand returns the run time that the command states and whether the task fails at its end.
func parseCommand(command string) (time.Duration, bool) {
	verb, duration, _ := strings.Cut(command, " ")
	runTime, err := time.ParseDuration(duration)
	if err != nil {
		runTime = defaultRunTime
	}
	return runTime, verb == "fail"
}

func (a *Agent) checkpoint(now time.Time, id chuteorder.TaskID) chuteworker.OrderResponse {
	r, known := a.tasks[id]
	if !known {
		return chuteworker.OrderResponse{Cause: "unknown task"}
	}
	if r.state == chuteorder.TaskRunning {
		r.savedProgress = r.progress(now)
		a.tasks[id] = r
	}
	return chuteworker.OrderResponse{Accepted: true, Task: taskReport(id, r)}
}

// stop ends the task. It records an unknown task as void, so that a late start order for it is refused.
func (a *Agent) stop(fence chuteorder.Fence, id chuteorder.TaskID) chuteworker.OrderResponse {
	r, known := a.tasks[id]
	switch {
	case !known:
		r = taskRecord{fence: fence, state: chuteorder.TaskVoid}
	case r.state == chuteorder.TaskRunning:
		r.state = chuteorder.TaskStopped
	}
	a.tasks[id] = r
	return chuteworker.OrderResponse{Accepted: true, Task: taskReport(id, r)}
}
