package chuteplanner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterun"
	"monsoonchute.example/monsoonchute/chuterunner"
)

// Plan gives room to tasks that wait and takes it from work that must yield, if something has changed or the latest pass
// is old.
func (m Memory) Plan(r *chuterunner.Turn) Memory {
	since := r.Now.Sub(m.plannedAt)
	if since < planPause || !r.PlanDue && since < planInterval || !m.contacted(r) {
		return m
	}
	t := &turn{Turn: r, Memory: m}
	t.PlanDue = false
	t.plannedAt = t.Now
	t.plan()
	return t.Memory
}

func (t *turn) plan() {
	demands := t.demands()
	if len(demands) == 0 {
		return
	}
	view := chuteplacement.View{Now: t.Now, Workers: t.roomView(t.ending()), Groups: t.groups(), Demands: demands}
	started := make(map[chutegraph.StepID][]chuterun.WorkerID)
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
func (t *turn) logStart(d chuteplacement.Demand, workers []chuterun.WorkerID) {
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
		"racks", len(racks), "slowest", fmt.Sprintf("%.2f", slowest), "workers", workers, "since-seen", t.Now.Sub(j.Seen))
}

// contactWait is how long a new scheduler waits for answers of workers before it plans without them.
const contactWait = 400 * time.Millisecond

// contacted reports whether the workers have told what they run, or had the time to.
func (m Memory) contacted(r *chuterunner.Turn) bool {
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
	t.PutJob(j.WithPhase(chuterun.PhaseRunning).WithTask(d.Task, task.WithRun(number, d.Worker)))
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
func gangRun(j chuterun.Job, id chutegraph.TaskID) int {
	highest, active := 0, 0
	for _, task := range j.Tasks(id.StepID) {
		highest = max(highest, task.Run)
		if task.Phase == chuterun.TaskActive {
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

func (t *turn) appendDemands(list []ranked, j chuterun.Job) []ranked {
	for k, steps := range j.Occurrences {
		for s := range steps {
			id := chutegraph.StepID{Job: j.ID, Occurrence: k, Step: s}
			if d, ok := t.demand(j, id); ok {
				list = append(list, ranked{demand: d, order: j.Order})
			}
		}
	}
	return list
}

func (t *turn) demand(j chuterun.Job, id chutegraph.StepID) (chuteplacement.Demand, bool) {
	step := j.Step(id)
	tasks := j.Tasks(id)
	priority := t.Priority(j)
	d := chuteplacement.Demand{
		ID: id, Step: step, Service: t.Service(j), Priority: priority, Preempts: priority == 0,
		Present: make(map[chuterun.WorkerID]int),
	}
	for i, task := range tasks {
		switch task.Phase {
		case chuterun.TaskWaiting:
			d.Indexes = append(d.Indexes, i)
		case chuterun.TaskActive:
			d.Present[task.Worker]++
		case chuterun.TaskDone:
		}
	}
	if len(d.Indexes) == 0 || step.Gang && len(d.Indexes) < len(tasks) || !j.StepOpen(id) {
		return chuteplacement.Demand{}, false
	}
	if q, ok := t.Environment.Catalog.Queue(j.Queue); ok && q.Approval != nil {
		d.Tickets = t.approved(j, id)
		return d, len(d.Tickets) > 0
	}
	return d, true
}

// roomView returns the workers that may be given work.
func (t *turn) roomView(ending map[chuterun.WorkerID]chutecapacity.Amount) []chuteplacement.Worker {
	var rooms []chuteplacement.Worker
	for _, w := range t.Pool.All() {
		if !w.Usable(t.Now) || !t.MayStartOn(w) {
			continue
		}
		room := chuteplacement.Worker{
			ID: w.ID, Service: w.Service, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity, Free: w.Free(),
			Ending: ending[w.ID],
		}
		for _, r := range w.Runs() {
			if r.Phase == chutepool.RunStopping {
				room.Freeing = room.Freeing.Plus(r.Reserved)
			}
		}
		room.Penalty = t.penalty(w)
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

const (
	// soon is the time within which work counts as ending soon.
	soon = 500 * time.Millisecond
	// overdue is how long after its expected end work still counts as ending soon.
	overdue = 300 * time.Millisecond
	// unknownRemaining stands for the time that work goes on of which nothing tells its end.
	unknownRemaining = 24 * time.Hour
)

// ending returns by worker what is held by runs that are expected to end soon. A gang ends when its last member does.
func (t *turn) ending() map[chuterun.WorkerID]chutecapacity.Amount {
	gangs := t.gangsRemaining()
	held := make(map[chuterun.WorkerID]chutecapacity.Amount)
	for _, w := range t.Pool.All() {
		for _, r := range w.Runs() {
			remaining, isGang := gangs[r.ID.Task.StepID]
			if !isGang {
				remaining = t.remaining(w.ID, r)
			}
			if r.Phase == chutepool.RunWorking && remaining <= soon && remaining >= -overdue {
				held[w.ID] = held[w.ID].Plus(r.Reserved)
			}
		}
	}
	return held
}

// gangsRemaining returns the expected time until each gang ends.
func (t *turn) gangsRemaining() map[chutegraph.StepID]time.Duration {
	last := make(map[chutegraph.StepID]time.Duration)
	for _, w := range t.Pool.All() {
		for _, r := range w.Runs() {
			j, ok := t.Job(r.ID.Task.Job)
			if !ok || !j.Step(r.ID.Task.StepID).Gang {
				continue
			}
			remaining := t.remaining(w.ID, r)
			if known, seen := last[r.ID.Task.StepID]; seen {
				remaining = max(remaining, known)
			}
			last[r.ID.Task.StepID] = remaining
		}
	}
	return last
}

// remaining returns the expected time until a run ends by itself, negative if that has passed.
func (t *turn) remaining(worker chuterun.WorkerID, r chutepool.Run) time.Duration {
	rate, known := t.Speeds.Rate(r.ID.Task.StepID, worker, t.Now)
	if r.Phase != chutepool.RunWorking || !known || r.ReadAt.IsZero() || t.Lasting(r) {
		return unknownRemaining
	}
	left := float64(100-r.Percent)/rate - t.Now.Sub(r.ReadAt).Seconds()
	return time.Duration(min(left, unknownRemaining.Seconds()) * float64(time.Second))
}

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

// groups returns the work that may be stopped for more urgent work.
func (t *turn) groups() []chuteplacement.Group {
	var groups []chuteplacement.Group
	gangs := make(map[chutegraph.StepID]int)
	for _, w := range t.Pool.All() {
		for _, r := range w.Runs() {
			if r.Priority == 0 || r.Phase == chutepool.RunStopping || r.Phase == chutepool.RunWriting || t.Lasting(r) {
				continue
			}
			at := len(groups)
			if j, ok := t.Job(r.ID.Task.Job); ok && j.Step(r.ID.Task.StepID).Gang {
				if known, ok := gangs[r.ID.Task.StepID]; ok {
					at = known
				}
				gangs[r.ID.Task.StepID] = at
			}
			if at == len(groups) {
				groups = append(groups, chuteplacement.Group{Priority: r.Priority})
			}
			groups[at].Cost += t.Unsaved(r)
			groups[at].Members = append(groups[at].Members, chuteplacement.Member{Run: r.ID, Worker: w.ID, Reserved: r.Reserved})
		}
	}
	return groups
}
