package chuteplanner

import (
	"fmt"
	"math"
	"time"

	"monsoonchute.example/monsoonchute/chutecandidate"
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteoccupancy"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Plan runs a planning pass if something has changed, or the latest pass is maxPlanInterval old. A pass starts waiting
// tasks where they fit and evicts runs for urgent ones.
func (p Planner) Plan(t *chuterunner.Transition) Planner {
	since := t.Now.Sub(p.plannedAt)
	if since < minPlanInterval || !t.PlanDue && since < maxPlanInterval || !p.WorkersContacted(t) {
		return p
	}
	current := newPass(p, t)
	current.PlanDue = false
	current.plannedAt = current.Now
	current.plan()
	return current.Planner
}

// newPass returns a pass on the transition that begins with the planner.
func newPass(p Planner, t *chuterunner.Transition) *pass {
	return &pass{Transition: t, Planner: p, storeRoom: make(map[chutegraph.JobID]int), quarantineWaits: New().quarantineDueSince}
}

// plan decides on all waiting tasks and carries out the decisions.
func (p *pass) plan() {
	p.guaranteed = p.GuaranteedJobs()
	p.countUse()
	demands, quarantined := p.demands()
	p.trial.Quarantined = quarantined
	p.nominated = make(map[chutegraph.StepID]map[int]chutetask.WorkerID)
	p.updateWaiting(demands)
	p.reserveQuotas(quarantined, demands)
	plan := p.planQuarantine(quarantined)
	ordinary := demands
	demands = append(demands, plan.beside...)
	p.openReservations(demands)
	waiting := p.planBeside(demands, plan.taken)
	if len(plan.emptied) > 0 {
		p.startOnEmptied(demands)
	}
	p.findStanding(demands, len(plan.emptied) > 0)
	p.planSpareQuarantine(plan, waiting)
	p.waits = p.waits.Next(p.Transition.Transition, demands, p.quotas.Quotas)
	p.quarantineDueSince = p.quarantineWaits
	p.reportUse(ordinary, quarantined)
}

// planBeside decides on the tasks that may run beside others, on workers that are not taken, and carries out the decisions. It
// returns the services of which tasks go on waiting.
func (p *pass) planBeside(demands []chutedemand.Demand, taken map[chutetask.WorkerID]bool) map[string]bool {
	if len(demands) == 0 {
		return nil
	}
	view := chuteplacement.View{Now: p.Now, Workers: chutecandidate.Usable(p.Transition.Transition, taken), Demands: chutedemand.InShareOrder(demands, p.use, p.weights), Quotas: p.quotas.Snapshot()}
	if chuteplacement.NeedsRunGroups(view) {
		occupancy := chuteoccupancy.New(p.Transition.Transition, p.guaranteed)
		view.RunGroups = occupancy.RunGroups()
		ending := occupancy.EndingSoon()
		for i, w := range view.Workers {
			view.Workers[i].Ending = ending[w.ID]
		}
		p.setGains(view.Demands, occupancy)
	}
	started := make(map[chutegraph.StepID][]chutetask.WorkerID)
	p.trial.Demands, p.trial.Decisions = view.Demands, chuteplacement.Plan(view)
	for _, decision := range p.trial.Decisions {
		switch d := decision.(type) {
		case chuteplacement.Start:
			started[d.Task.StepID] = append(started[d.Task.StepID], d.Worker)
			p.assign(d, false)
		case chuteplacement.Evict:
			p.Log(component, "run yields", d.Run.Task.Job, "run", d.Run, "to", d.For, "wasted", d.Cost)
			p.StopRun(d.Worker, d.Run, "yields")
		case chuteplacement.Nominate:
			p.keepNomination(d)
		}
	}
	waiting := make(map[string]bool)
	wanted := make(map[chutegraph.StepID]int)
	for _, d := range demands {
		if workers := started[d.ID]; len(workers) > 0 {
			p.logStart(d, workers)
		}
		wanted[d.ID] += len(d.Indexes)
		waiting[d.Service] = waiting[d.Service] || len(started[d.ID]) < wanted[d.ID] && !p.heldByQuota(d)
	}
	return waiting
}

// keepNomination stores the worker that is nominated for a task until the next pass.
func (p *pass) keepNomination(d chuteplacement.Nominate) {
	if p.nominated[d.Task.StepID] == nil {
		p.nominated[d.Task.StepID] = make(map[int]chutetask.WorkerID)
	}
	p.nominated[d.Task.StepID][d.Task.Index] = d.Worker
}

// logStart logs on which workers the tasks of a step start, and from how many racks these are.
func (p *pass) logStart(d chutedemand.Demand, workers []chutetask.WorkerID) {
	racks := make(map[string]bool)
	slowest := math.Inf(1)
	for _, id := range workers {
		w, _ := p.Pool.Get(id)
		racks[w.Rack] = true
		slowest = min(slowest, p.Speeds.Speed(id, p.Now))
	}
	j, _ := p.Job(d.ID.Job)
	p.Log(component, "step starts", d.ID.Job, "queue", j.Queue, "step", d.ID, "priority", d.Priority, "tasks", len(workers),
		"waiting", len(d.Indexes), "accelerators", d.Step.Request.Accelerators, "gang", d.Step.Gang, "same-rack", d.Step.SameRack,
		"racks", len(racks), "slowest", fmt.Sprintf("%.2f", slowest), "workers", workers, "since-seen", p.Now.Sub(j.SeenAt))
}

// contactTimeout is the time that a new scheduler waits for the workers' answers before it plans without them.
const contactTimeout = 400 * time.Millisecond

// WorkersContacted reports whether all listed workers have reported what they run, or contactTimeout has passed
// since all workers were read from the list.
func (p Planner) WorkersContacted(t *chuterunner.Transition) bool {
	if t.Now.Sub(p.workersListedAt) >= contactTimeout {
		return true
	}
	for _, w := range t.Pool.All() {
		if w.Listed && !w.Contacted {
			return false
		}
	}
	return true
}

// assign plans the next run of a task on the worker, which a quarantined run has to itself. The run is recorded before its
// start order is sent.
func (p *pass) assign(d chuteplacement.Start, quarantined bool) {
	j, ok := p.Live.Get(d.Task.Job)
	if !ok {
		return
	}
	w, ok := p.Pool.Get(d.Worker)
	if !ok {
		return
	}
	task, _ := j.Task(d.Task)
	number := task.Run + 1
	if j.Step(d.Task.StepID).Gang {
		number = gangRunNumber(j, d.Task)
	}
	task = task.WithRun(number, d.Worker).WithIncarnation(w.Incarnation).WithQuarantine(quarantined)
	p.PutJob(p.PlanRun(j).WithTask(d.Task, task))
	run := chutepool.Run{
		ID: chutegraph.RunID{Task: d.Task, Number: number}, Reserved: j.Step(d.Task.StepID).Reserved(),
		Priority: p.Priority(j), Checkpoint: task.Checkpoint, Quarantined: quarantined, Ticket: p.approvals.Ticket(d.Task.StepID, d.Worker),
		Workspace: j.Workspace, Request: j.Step(d.Task.StepID).Request,
	}
	p.PutWorker(w.WithRun(run.WithPhase(chutepool.RunPlanned, p.Now)))
	p.quotas.Use(run.Workspace, d.Task.StepID, run.Request)
}

// gangRunNumber returns the run number that all members of a gang share: that of the members that are active already,
// or else one more than the highest number that a member had.
func gangRunNumber(j chutetask.Job, id chutegraph.TaskID) int {
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
