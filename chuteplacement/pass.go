package chuteplacement

import (
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chuteeviction"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutequota"
	"monsoonchute.example/monsoonchute/chutetask"
)

// pass is the mutable state of one planning pass.
type pass struct {
	workers   []workerState
	index     map[chutetask.WorkerID]int // into workers
	racks     []rack
	groups    *chuteeviction.Groups
	unplaced  chutedemand.Unplaced // demands for which no capacity was found
	decisions []Decision
	// preemptAttempts is the number of demands for which a search for runs to evict was made.
	preemptAttempts int
	failed          map[chutegraph.StepID]bool         // steps of which a task has found no capacity
	quotas          *chutequota.Draft                  // what the workspaces may start beside what this pass starts or nominates
	reserved        map[string]chutedemand.Reserve     // what is reserved in each service for demands that wait
	capacity        map[string]chutecapacity.Resources // of the workers of each service that was asked for
	waiting         map[waitingTask]int                // number of tasks of a step for which capacity is kept on a worker
	claims          map[chutegraph.TaskID]int          // index of the worker on which nominated capacity is kept for a task
}

// waitingTask stands for the tasks of a step that wait for capacity on the worker with the index.
type waitingTask struct {
	step   chutegraph.StepID
	worker int
}

// workerState is a worker with the capacity that it has left during the pass.
type workerState struct {
	Worker
	free        chutecapacity.Resources // free now
	afterStops  chutecapacity.Resources // free once all runs that are being stopped have ended
	afterEnds   chutecapacity.Resources // free once the runs that are expected to end soon have ended as well
	reservation chutecapacity.Resources // reserved for a demand that waits, and so not free for others
}

type rack struct {
	name    string
	workers []int // indexes into the workers of the pass
}

// availability selects which capacity of a worker counts as free.
type availability int

const (
	freeNow           availability = iota
	freeIfNotReserved              // as if nothing were reserved for demands that wait
	freeAfterStops                 // all runs that are being stopped have ended
	freeAfterEnds                  // the runs that are expected to end soon have ended as well
	wholeCapacity                  // nothing runs on the worker
)

func newPass(view View) *pass {
	p := &pass{
		workers: make([]workerState, 0, len(view.Workers)), index: make(map[chutetask.WorkerID]int, len(view.Workers)), groups: chuteeviction.New(view.RunGroups),
		waiting: make(map[waitingTask]int), claims: make(map[chutegraph.TaskID]int), reserved: make(map[string]chutedemand.Reserve),
		capacity: make(map[string]chutecapacity.Resources), failed: make(map[chutegraph.StepID]bool),
		quotas: view.Quotas.Draft(),
	}
	byRack := make(map[string]int)
	for i, w := range view.Workers {
		p.workers = append(p.workers, workerState{
			Worker: w, free: w.Free, afterStops: w.Free.Plus(w.Stopping), afterEnds: w.Free.Plus(w.Stopping).Plus(w.Ending),
		})
		p.index[w.ID] = i
		r, ok := byRack[w.Rack]
		if !ok {
			r = len(p.racks)
			byRack[w.Rack] = r
			p.racks = append(p.racks, rack{name: w.Rack})
		}
		p.racks[r].workers = append(p.racks[r].workers, i)
	}
	return p
}

// freeAt returns the capacity that counts as free.
func (w workerState) freeAt(a availability) chutecapacity.Resources {
	switch a {
	case freeNow:
		return w.free
	case freeIfNotReserved:
		return w.free.Plus(w.reservation)
	case freeAfterStops:
		return w.afterStops
	case freeAfterEnds:
		return w.afterEnds
	case wholeCapacity:
		return w.Capacity
	}
	return chutecapacity.Resources{}
}
