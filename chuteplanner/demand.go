package chuteplanner

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteisolation"
	"monsoonchute.example/monsoonchute/chutetask"
	"monsoonchute.example/monsoonchute/chuteurgency"
)

// rankedDemand is a demand with its place in the order beside guarantees.
type rankedDemand struct {
	demand chutedemand.Demand
	rank   chuteurgency.Rank
}

// demands returns the steps with tasks that wait for capacity, and those with tasks that wait for quarantine: first those
// that a guarantee covers, then by priority and urgency.
func (p *pass) demands() (ordinary, quarantined []chutedemand.Demand) {
	var list, alone []rankedDemand
	for i := p.Live.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		for k, steps := range j.Occurrences {
			for s := range steps {
				id := chutegraph.StepID{Job: j.ID, Occurrence: k, Step: s}
				list = p.appendDemand(list, j, id, chuteisolation.OrdinaryIndexes(p.Transition.Transition, j, id))
				alone = p.appendDemand(alone, j, id, chuteisolation.QuarantinedIndexes(p.Transition.Transition, j, id))
			}
		}
	}
	p.approvals = p.approvals.Request(p.Transition.Transition, sortedDemands(p.needApproval))
	return sortedDemands(list), sortedDemands(alone)
}

func sortedDemands(list []rankedDemand) []chutedemand.Demand {
	ranks := make([]chuteurgency.Rank, len(list))
	for i, r := range list {
		ranks[i] = r.rank
	}
	compareStart := chuteurgency.StartOrder(ranks)
	slices.SortStableFunc(list, func(a, b rankedDemand) int {
		return cmp.Or(chutedemand.CompareGuaranteed(a.demand, b.demand), chuteurgency.CompareClass(a.rank, b.rank), compareStart(a.rank, b.rank))
	})
	demands := make([]chutedemand.Demand, len(list))
	for i, r := range list {
		demands[i] = r.demand
	}
	return demands
}

// appendDemand appends the demand of the waiting tasks of a step, if any of them may start now. The members of a gang only
// start once all of them wait.
func (p *pass) appendDemand(list []rankedDemand, j chutetask.Job, id chutegraph.StepID, indexes []int) []rankedDemand {
	step := j.Step(id)
	tasks := j.Tasks(id)
	if len(indexes) == 0 || !j.StepReady(id) || p.SetAside[j.ID] {
		return list
	}
	indexes = indexes[:p.startsWithinStore(j, step, len(indexes))]
	if len(indexes) == 0 || step.Gang && len(indexes) < len(tasks) {
		return list
	}
	priority, urgency := p.Priority(j), p.Urgency(j, id)
	rank := chuteurgency.Rank{Priority: priority, Urgency: urgency, AcceptedAt: p.AcceptedAt(j, id.Occurrence), Order: j.AcceptanceOrder}
	d := chutedemand.Demand{
		ID: id, Step: step, Service: p.Service(j), Workspace: j.Workspace, Priority: priority, Class: rank.Class(),
		MayPreempt: priority == 0 && p.mayPreempt(j, id, urgency), LatestStart: urgency.LatestStart,
		Guaranteed: p.guaranteed[j.ID], Nominated: p.nominated[id],
		Indexes: indexes, TasksByWorker: make(map[chutetask.WorkerID]int),
	}
	for _, task := range tasks {
		if task.Phase == chutetask.TaskActive {
			d.TasksByWorker[task.Worker]++
		}
	}
	ranked := rankedDemand{demand: d, rank: rank}
	if q, ok := p.Environment.Catalog.Queue(j.Queue); ok && q.Approval != nil && !p.approve(&ranked) {
		p.awaitingApproval = append(p.awaitingApproval, id)
		return list
	}
	return append(list, ranked)
}

// mayPreempt reports whether runs may be stopped for an urgent step: a guarantee covers its job, its job still gains, or runs were
// stopped for the step already.
func (p *pass) mayPreempt(j chutetask.Job, id chutegraph.StepID, u chuteurgency.Urgency) bool {
	return p.guaranteed[j.ID] || u.Class != chuteurgency.Lapsed || len(p.nominated[id]) > 0
}

// approve gives the demand its approval tickets, and notes that it needs some. It reports whether the demand counts in this pass:
// without a ticket, it does while its quota holds it back. Approvals are then only requested for a demand for which quota is freed or
// reserved, since others of its workspace would retake that quota while the approval is outstanding.
func (p *pass) approve(r *rankedDemand) bool {
	d := &r.demand
	d.Tickets = make(map[chutetask.WorkerID]string)
	held := p.heldByQuota(*d)
	if held && !d.Guaranteed && p.reservedFor[d.Workspace] != d.ID {
		return true
	}
	if tickets := p.approvals.Tickets(d.ID, p.Now); len(tickets) > 0 {
		d.Tickets = tickets
	}
	p.needApproval = append(p.needApproval, *r)
	return held || len(d.Tickets) > 0
}

// startsWithinStore returns how many tasks of the step may start so that the job's progress still fits in the store. Only a job with
// many tasks at once can outgrow it, such as a scheduled one whose occurrences overlap.
func (p *pass) startsWithinStore(j chutetask.Job, step chutegraph.Step, count int) int {
	if j.Spec.Occurrences() == 1 && j.Spec.TaskCount() <= chutetask.SafeTasks {
		return count
	}
	room, known := p.storeRoom[j.ID]
	if !known {
		room = chutetask.MaxProgressBytes - j.SizeBound()
	}
	starts := min(count, max(0, room)/chutetask.MaxRunBytes)
	if step.Gang && starts < count {
		starts = 0
	}
	if starts < count {
		p.Count("start-waits", "row-full")
	}
	p.storeRoom[j.ID] = room - starts*chutetask.MaxRunBytes
	return starts
}
