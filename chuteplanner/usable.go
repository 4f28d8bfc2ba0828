package chuteplanner

import (
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// usableWorkers returns the workers on which tasks may start, without those taken by quarantines.
func (p *pass) usableWorkers(taken map[chutetask.WorkerID]bool) []chuteplacement.Worker {
	var workers []chuteplacement.Worker
	for _, w := range p.Pool.All() {
		if taken[w.ID] || p.obstacle(w) != "" {
			continue
		}
		workers = append(workers, p.placementWorker(w))
	}
	return workers
}

// obstacle returns what keeps tasks off the worker that may share one, in kebab case, or an empty text.
func (p *pass) obstacle(w chutepool.Worker) string {
	o := p.StartObstacle(w)
	switch {
	case o != chuteledger.ObstacleNone:
		return o.String()
	case !w.Contacted:
		return "not-reached"
	case w.MissedRenewals > 0:
		return "silent"
	case !w.Usable(p.Now):
		return "cooldown"
	case w.InQuarantine():
		return "quarantine"
	}
	return ""
}

func (p *pass) placementWorker(w chutepool.Worker) chuteplacement.Worker {
	return chuteplacement.Worker{
		ID: w.ID, Service: w.Service, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity, Free: w.Free(),
		Stopping: w.Stopping(), Penalty: p.penalty(w),
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
func (p *pass) penalty(w chutepool.Worker) float64 {
	switch {
	case p.Speeds.Slow(w.ID, p.Now):
		return slowPenalty
	case p.Now.Before(w.ColdUntil):
		return coldPenalty
	}
	return speedWeight * max(0, 1.3-p.Speeds.Speed(w.ID, p.Now))
}
