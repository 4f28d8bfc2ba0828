package chuteplanner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Plan gives room to tasks that wait and takes it from work that must yield, if something has changed or the latest pass
// is old.
func (m Planner) Plan(r *chuterunner.Transition) Planner {
	since := r.Now.Sub(m.plannedAt)
	if since < planPause || !r.PlanDue && since < planInterval || !m.contacted(r) {
		return m
	}
	t := &turn{Transition: r, Planner: m}
	t.PlanDue = false
	t.plannedAt = t.Now
	t.plan()
	return t.Planner
}

func (t *turn) plan() {
	demands := t.demands()
	t.noteWaiting(demands)
	if len(demands) == 0 {
		return
	}
	view := chuteplacement.View{Now: t.Now, Workers: t.roomView(), Demands: demands}
	if chuteplacement.NeedsRunGroups(view) {
		view = t.withWorkInTheWay(view)
	}
	started := make(map[chutegraph.StepID][]chutetask.WorkerID)
	for _, decision := range chuteplacement.Plan(view) {
		switch d := decision.(type) {
		case chuteplacement.Start:
			started[d.Task.StepID] = append(started[d.Task.StepID], d.Worker)
			t.assign(d)
		case chuteplacement.Evict:
			t.Log(part, "run yields", d.Run.Task.Job, "run", d.Run, "to", d.For, "wasted", d.Cost)
			t.StopRun(d.Worker, d.Run, "yields")
		}
	}
	for _, d := range demands {
		if workers := started[d.ID]; len(workers) > 0 {
			t.logStart(d, workers)
		}
	}
}

// logStart writes which workers were chosen for the tasks of a step, and out of which racks.
func (t *turn) logStart(d chuteplacement.Demand, workers []chutetask.WorkerID) {
	racks := make(map[string]bool)
	slowest := math.Inf(1)
	for _, id := range workers {
		w, _ := t.Pool.Get(id)
		racks[w.Rack] = true
		slowest = min(slowest, t.Speeds.Speed(id, t.Now))
	}
	j, _ := t.Job(d.ID.Job)
	t.Log(part, "step starts", d.ID.Job, "queue", j.Queue, "step", d.ID, "priority", d.Priority, "tasks", len(workers),
		"waiting", len(d.Indexes), "accelerators", d.Step.Request.Accelerators, "gang", d.Step.Gang, "same-rack", d.Step.SameRack,
		"racks", len(racks), "slowest", fmt.Sprintf("%.2f", slowest), "workers", workers, "since-seen", t.Now.Sub(j.SeenAt))
}

// contactWait is how long a new scheduler waits for answers of workers before it plans without them.
const contactWait = 400 * time.Millisecond

// contacted reports whether the workers have told what they run, or had the time to.
func (m Planner) contacted(r *chuterunner.Transition) bool {
	if r.Now.Sub(m.listedAt) >= contactWait {
		return true
	}
	for _, w := range r.Pool.All() {
		if w.Listed && !w.Contacted {
			return false
		}
	}
	return true
}

// assign gives a task its next run on the worker; it is recorded before its order leaves.
func (t *turn) assign(d chuteplacement.Start) {
	j, ok := t.Live.Get(d.Task.Job)
	if !ok {
		return
	}
	w, ok := t.Pool.Get(d.Worker)
	if !ok {
		return
	}
	task, _ := j.Task(d.Task)
	number := task.Run + 1
	if j.Step(d.Task.StepID).Gang {
		number = gangRun(j, d.Task)
	}
	t.PutJob(j.WithPhase(chutetask.PhaseRunning).WithTask(d.Task, task.WithRun(number, d.Worker)))
	run := chutepool.Run{
		ID: chutegraph.RunID{Task: d.Task, Number: number}, Reserved: j.Step(d.Task.StepID).Reserved(),
		Priority: t.Priority(j), Checkpoint: task.Checkpoint,
	}
	if a, ok := t.approvals.Get(d.Task.StepID); ok {
		run = run.WithTicket(a.tickets[d.Worker])
	}
	t.PutWorker(w.WithRun(run.WithPhase(chutepool.RunPlanned, t.Now)))
}

// gangRun returns the number of the run that all members of a gang share: one more than any member had, or that of the
// members that have just been given room.
func gangRun(j chutetask.Job, id chutegraph.TaskID) int {
	highest, active := 0, 0
	for _, task := range j.Tasks(id.StepID) {
		highest = max(highest, task.Run)
		if task.Phase == chutetask.TaskActive {
			active = max(active, task.Run)
		}
	}
	if active > 0 {
		return active
	}
	return highest + 1
}

// ranked is a demand with what decides on its turn.
type ranked struct {
	demand chuteplacement.Demand
	order  int64
}

// demands returns the steps that wait for room, in the order in which they are served.
func (t *turn) demands() []chuteplacement.Demand {
	var list []ranked
	for i := t.Live.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		list = t.appendDemands(list, j)
	}
	slices.SortStableFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.demand.Priority, b.demand.Priority), cmp.Compare(a.order, b.order))
	})
	demands := make([]chuteplacement.Demand, len(list))
	for i, r := range list {
		demands[i] = r.demand
	}
	return demands
}

func (t *turn) appendDemands(list []ranked, j chutetask.Job) []ranked {
	for k, steps := range j.Occurrences {
		for s := range steps {
			id := chutegraph.StepID{Job: j.ID, Occurrence: k, Step: s}
			if d, ok := t.demand(j, id); ok {
				list = append(list, ranked{demand: d, order: j.AcceptanceOrder})
			}
		}
	}
	return list
}

func (t *turn) demand(j chutetask.Job, id chutegraph.StepID) (chuteplacement.Demand, bool) {
	step := j.Step(id)
	tasks := j.Tasks(id)
	waiting := countWaiting(tasks)
	if waiting == 0 || step.Gang && waiting < len(tasks) || !j.StepReady(id) {
		return chuteplacement.Demand{}, false
	}
	priority := t.Priority(j)
	d := chuteplacement.Demand{
		ID: id, Step: step, Service: t.Service(j), Priority: priority, MayPreempt: priority == 0,
		TasksByWorker: make(map[chutetask.WorkerID]int),
	}
	for i, task := range tasks {
		switch task.Phase {
		case chutetask.TaskWaiting:
			d.Indexes = append(d.Indexes, i)
		case chutetask.TaskActive:
			d.TasksByWorker[task.Worker]++
		case chutetask.TaskDone:
		}
	}
	if q, ok := t.Environment.Catalog.Queue(j.Queue); ok && q.Approval != nil {
		d.Tickets = t.approved(j, id)
		return d, len(d.Tickets) > 0
	}
	return d, true
}

func countWaiting(tasks []chutetask.Task) int {
	waiting := 0
	for _, task := range tasks {
		if task.Phase == chutetask.TaskWaiting {
			waiting++
		}
	}
	return waiting
}

// roomView returns the workers that may be given work.
func (t *turn) roomView() []chuteplacement.Worker {
	var rooms []chuteplacement.Worker
	for _, w := range t.Pool.All() {
		if !w.Usable(t.Now) || !t.MayStartOn(w) {
			continue
		}
		room := chuteplacement.Worker{
			ID: w.ID, Service: w.Service, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity, Free: w.Free(),
			Stopping: w.Stopping(), Penalty: t.penalty(w),
		}
		rooms = append(rooms, room)
	}
	return rooms
}

const (
	// slowPenalty puts a worker that is much slower than the others behind these.
	slowPenalty = 4.0
	// coldPenalty puts a worker that is slow after its start behind the others.
	coldPenalty = 3.0
	// speedWeight is how much a lasting difference of speed counts beside the room that is left over.
	speedWeight = 0.3
)

// penalty tells how far a worker stands behind others with the same room.
func (t *turn) penalty(w chutepool.Worker) float64 {
	switch {
	case t.Speeds.Slow(w.ID, t.Now):
		return slowPenalty
	case t.Now.Before(w.ColdUntil):
		return coldPenalty
	}
	return speedWeight * max(0, 1.3-t.Speeds.Speed(w.ID, t.Now))
}
