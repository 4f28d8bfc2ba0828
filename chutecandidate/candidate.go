package chutecandidate

import (
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Usable returns the workers on which tasks may start beside others, without those that are taken.
func Usable(t *chuteledger.Transition, taken map[chutetask.WorkerID]bool) []chuteplacement.Worker {
	var workers []chuteplacement.Worker
	for _, w := range t.Pool.All() {
		if taken[w.ID] || Obstacle(t, w) != "" {
			continue
		}
		workers = append(workers, Worker(t, w))
	}
	return workers
}

// Obstacle returns what keeps tasks that run beside others off the worker, in kebab case, or an empty text.
func Obstacle(t *chuteledger.Transition, w chutepool.Worker) string {
	o := t.StartObstacle(w)
	switch {
	case o != chuteledger.ObstacleNone:
		return o.String()
	case !w.Contacted:
		return "not-reached"
	case w.MissedRenewals > 0:
		return "silent"
	case !w.Usable(t.Now):
		return "cooldown"
	case w.InQuarantine():
		return "quarantine"
	}
	return ""
}

// Worker returns the worker as the placement sees it.
func Worker(t *chuteledger.Transition, w chutepool.Worker) chuteplacement.Worker {
	return chuteplacement.Worker{
		ID: w.ID, Service: w.Service, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity, Free: w.Free(),
		Stopping: w.Stopping(), Penalty: penalty(t, w),
	}
}

const (
	// slowPenalty puts a worker that is much slower than the others after all of them.
	slowPenalty = 4.0
	// coldPenalty puts a worker that is still slow after its start after all others but the slow ones.
	coldPenalty = 3.0
	// speedWeight is the weight of a speed below 1.3 relative to that of capacity that stays unused.
	speedWeight = 0.3
)

// penalty returns the penalty that is added to the worker's score; placement prefers the lowest score.
func penalty(t *chuteledger.Transition, w chutepool.Worker) float64 {
	switch {
	case t.Speeds.Slow(w.ID, t.Now):
		return slowPenalty
	case t.Now.Before(w.ColdUntil):
		return coldPenalty
	}
	return speedWeight * max(0, 1.3-t.Speeds.Speed(w.ID, t.Now))
}
