package chuteentry_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
)

const (
	// maxIdleTime is how long a job may have nothing running although it could run.
	maxIdleTime = 3 * time.Second
	// lastingStartTime is how much longer that is for a task that runs without end.
	lastingStartTime = 6 * time.Second
)

// idleTasks keeps since when tasks have waited although there is free capacity for them twice over, and less than half of the
// capacity is in use or, where histories note their faults, there was none shortly before: a task of each job of which nothing runs,
// and each task that runs without end.
type idleTasks map[chutegraph.TaskID]time.Time

// watch samples the tasks from now on, and reports those that are idle for too long. Deadly jobs are left out.
func (i idleTasks) watch(sm *simulation) {
	idle := make(map[chutegraph.TaskID]bool)
	if free, halfUsed := sm.freeCapacity(); sm.calmFrom.IsZero() && !halfUsed || sm.calm() {
		for _, id := range sm.clients.jobIDs {
			i.add(idle, sm, sm.clients.jobs[id], free)
		}
	}
	maps.DeleteFunc(i, func(id chutegraph.TaskID, _ time.Time) bool { return !idle[id] })
	sm.after(100*time.Millisecond, func() { i.watch(sm) })
}

// calm reports whether there was no fault for calmTime, if the histories keep note of their faults.
func (sm *simulation) calm() bool {
	return !sm.calmFrom.IsZero() && sm.now.Sub(sm.calmFrom) >= calmTime
}

// disturb notes a fault that lasts for the time.
func (sm *simulation) disturb(d time.Duration) {
	if end := sm.now.Add(d); end.After(sm.calmFrom) {
		sm.calmFrom = end
	}
}

// add notes the tasks of the job that are idle now, and reports those that have been for too long.
func (i idleTasks) add(idle map[chutegraph.TaskID]bool, sm *simulation, j *fakeJob, free []freeWorker) {
	for _, id := range sm.tasksThatCouldRun(j, free) {
		idle[id] = true
		if _, known := i[id]; !known {
			i[id] = sm.now
		}
		limit := maxIdleTime
		if j.spec.Steps[id.Step].LongRunning {
			limit += lastingStartTime
		}
		if sm.now.Sub(i[id]) >= limit {
			sm.reportViolation("%s (%d tasks) could run and has waited for %s; larger or more urgent jobs with nothing running: %v",
				id, j.spec.Steps[id.Step].Count, sm.now.Sub(i[id]), sm.waitingBefore(j))
			i[id] = sm.now.Add(time.Hour) // once
		}
	}
}

// waitingBefore returns the jobs with nothing running that are more urgent or larger than the job, and how long ago they were accepted.
func (sm *simulation) waitingBefore(j *fakeJob) []string {
	priority := func(j *fakeJob) int {
		q, _ := testCatalog(1).Queue(j.queue)
		return q.Priority
	}
	var waiting []string
	for _, id := range sm.clients.jobIDs {
		other := sm.clients.jobs[id]
		larger := priority(other) == priority(j) && other.spec.Steps[0].Count > j.spec.Steps[0].Count
		if recorded, _ := sm.recorded(other); recorded.Phase.Ended() || other.acceptedAt.IsZero() || sm.runningTasks(other) > 0 {
			continue
		}
		if larger || priority(other) < priority(j) {
			waiting = append(waiting, fmt.Sprintf("%s (%s, %d tasks) for %s", id, other.queue, other.spec.Steps[0].Count, sm.now.Sub(other.acceptedAt)))
		}
	}
	return waiting
}

// freeCapacity returns the free capacity of each worker that can be reached, and whether half of all capacity is in use.
func (sm *simulation) freeCapacity() (free []freeWorker, halfUsed bool) {
	var used, whole chutecapacity.Resources
	for _, k := range sm.sortedWorkers() {
		if k.dead || k.disconnected || k.listing.Draining {
			continue
		}
		room := k.listing.Capacity
		for _, r := range k.runs {
			room = room.Minus(r.step.Reserved())
		}
		free = append(free, freeWorker{fakeWorker: k, room: room})
		whole = whole.Plus(k.listing.Capacity)
		used = used.Plus(k.listing.Capacity.Minus(room))
	}
	twice := used.Times(2)
	return free, twice.Processor >= whole.Processor || twice.Memory >= whole.Memory || twice.Accelerators >= whole.Accelerators
}

// tasksThatCouldRun returns the tasks of the job that do not run, although their turn has come and they, or the whole gang,
// would fit into the free capacity twice: each that runs without end, and one of a job of which nothing runs.
func (sm *simulation) tasksThatCouldRun(j *fakeJob, free []freeWorker) []chutegraph.TaskID {
	recorded, begun := sm.recorded(j)
	if !begun {
		recorded = recorded.WithOccurrenceBegun(0)
	}
	if j.acceptedAt.IsZero() || recorded.Phase.Ended() || !j.cancelledAt.IsZero() || j.crashesWorker != nil {
		return nil
	}
	running := sm.runningTaskIDs(j)
	var tasks []chutegraph.TaskID
	for s, step := range j.spec.Steps {
		id := chutegraph.StepID{Job: j.id, Step: s}
		if recorded.StepDone(id) || !recorded.StepReady(id) || !fitsTwice(step, free) {
			continue
		}
		for index := range step.Count {
			task := chutegraph.TaskID{StepID: id, Index: index}
			if step.LongRunning && !running[task] || len(running) == 0 && len(tasks) == 0 {
				tasks = append(tasks, task)
			}
		}
	}
	return tasks
}

// runningTaskIDs returns the job's tasks that run on workers.
func (sm *simulation) runningTaskIDs(j *fakeJob) map[chutegraph.TaskID]bool {
	running := make(map[chutegraph.TaskID]bool)
	for _, k := range sm.workers {
		for id := range k.runs {
			if id.Task.Job == j.id {
				running[id.Task] = true
			}
		}
	}
	return running
}

// freeWorker is a worker that can be reached, with its free capacity.
type freeWorker struct {
	*fakeWorker
	room chutecapacity.Resources
}

// fitsTwice reports whether two tasks of the step, or its gang twice, fit into the free capacity of the workers. A gang that a
// rack could hold must fit into racks.
func fitsTwice(step chutegraph.Step, free []freeWorker) bool {
	needed := 1
	if step.Gang {
		needed = step.Count
	}
	byRack := step.Gang && step.SameRack
	if byRack {
		largest := 0
		for _, copies := range copiesByRack(step, free, true, func(k freeWorker) chutecapacity.Resources { return k.listing.Capacity }) {
			largest = max(largest, copies)
		}
		byRack = largest >= needed
	}
	times := 0
	for _, copies := range copiesByRack(step, free, byRack, func(k freeWorker) chutecapacity.Resources { return k.room }) {
		times += copies / needed
	}
	return times >= 2
}

// copiesByRack returns how many tasks of two copies of the step fit into the capacity of the workers of each rack, or of all.
func copiesByRack(step chutegraph.Step, free []freeWorker, byRack bool, capacity func(freeWorker) chutecapacity.Resources) map[string]int {
	limit := 2 * step.Count
	if step.AntiAffinity > 0 {
		limit = 2 * step.AntiAffinity
	}
	copies := make(map[string]int)
	for _, k := range free {
		rack := ""
		if byRack {
			rack = k.listing.Rack
		}
		if step.Label == "" || slices.Contains(k.listing.Labels, step.Label) {
			copies[rack] += step.Reserved().Copies(capacity(k), limit)
		}
	}
	return copies
}
