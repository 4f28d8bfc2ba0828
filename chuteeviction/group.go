package chuteeviction

import (
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Group is a set of runs that can only be stopped together: the run of one task, or the runs of all tasks of a gang.
type Group struct {
	Priority int
	Cost     float64 // core-seconds of work that are lost when it is stopped
	Wasted   float64 // value of that work
	Missed   float64 // value that its job loses since it ends later
	Members  []Member
	Lasting  bool // the run of a step that lasts, which yields to guarantees alone
	Spare    int  // how many runs of its step may be stopped, if it lasts

	Workspace string                  // of its runs' job
	Requested chutecapacity.Resources // what its runs request, which counts towards the workspace's quota
}

// Member is one run of a group.
type Member struct {
	Run      chutegraph.RunID
	Worker   chutetask.WorkerID
	Reserved chutecapacity.Resources
}

// step returns the step of the runs.
func (g Group) step() chutegraph.StepID {
	return g.Members[0].Run.Task.StepID
}

// reservedOn returns the resources that the group's runs reserve on the worker.
func (g Group) reservedOn(worker chutetask.WorkerID) chutecapacity.Resources {
	reserved := chutecapacity.Resources{}
	for _, m := range g.Members {
		if m.Worker == worker {
			reserved = reserved.Plus(m.Reserved)
		}
	}
	return reserved
}

// Eligible says which groups may be evicted.
type Eligible struct {
	Above   int  // those whose priority number is above this one
	Lasting bool // those of steps that last as well
	Weighed bool // those alone whose stop loses no more than Gain
	Gain    float64
}

// allows reports whether the group may be evicted.
func (e Eligible) allows(g Group) bool {
	return g.Priority > e.Above && (e.Lasting || !g.Lasting) && (!e.Weighed || e.Gain > 0 && g.Wasted+g.Missed <= e.Gain)
}

// price returns what the stop of the group costs: the value that it loses if that is weighed, and else core-seconds.
func (e Eligible) price(g Group) float64 {
	if e.Weighed {
		return g.Wasted + g.Missed
	}
	return g.Cost
}

// leastPrice returns the price of any stop beside that, so that few groups are stopped rather than many that cost nothing.
func (e Eligible) leastPrice() float64 {
	if e.Weighed {
		return minLoss
	}
	return 1
}

// PenaltyPrice returns what a point of a worker's penalty costs. It decides between stops that lose about the same.
func (e Eligible) PenaltyPrice() float64 {
	if e.Weighed {
		return minLoss
	}
	return 1
}

// minLoss is the least loss that the stop of a group counts as; a job of the lowest priority is worth 1.
const minLoss = 0.01

// Loss returns the value that the stop of the groups with the indexes loses. What a job loses by ending later counts once.
func (g *Groups) Loss(indexes []int) float64 {
	loss := 0.0
	missed := make(map[chutegraph.JobID]float64)
	for _, i := range indexes {
		group := g.groups[i]
		loss += group.Wasted
		missed[group.step().Job] = max(missed[group.step().Job], group.Missed)
	}
	for _, m := range missed {
		loss += m
	}
	return loss
}

// Groups are the groups of a planning pass, which evicts some of them.
type Groups struct {
	groups   []Group
	evicted  []bool                       // by index of the group
	onWorker map[chutetask.WorkerID][]int // indexes of the groups that have a run there
}

// New returns the groups, of which none is evicted.
func New(groups []Group) *Groups {
	g := &Groups{groups: groups, evicted: make([]bool, len(groups)), onWorker: make(map[chutetask.WorkerID][]int)}
	for i, group := range groups {
		for _, m := range group.Members {
			g.onWorker[m.Worker] = append(g.onWorker[m.Worker], i)
		}
	}
	return g
}

// Evict marks the group with the index as evicted, and returns it.
func (g *Groups) Evict(index int) Group {
	g.evicted[index] = true
	return g.groups[index]
}
