package chuteapproval

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// maxNamed is the number of workers that one request names at most.
	maxNamed = 30
	// minNamed is the number of workers that a request names at least, if there are so many.
	minNamed = 8
	// namedPerNeeded is how many workers a request names for each that its step needs, since not all are approved.
	namedPerNeeded = 4
	// maxShapes is the number of shapes of demands for which a pass finds out whether there is room.
	maxShapes = 32
)

// candidate is a worker that a request may name.
type candidate struct {
	worker chutepool.Worker
	free   chutecapacity.Resources
}

// candidates returns the usable workers of the service, the one with the most free capacity first.
func (r *requester) candidates(service string) []candidate {
	if list, known := r.workers[service]; known {
		return list
	}
	var list []candidate
	for _, w := range r.Pool.All() {
		if w.Service == service && w.Usable(r.Now) && r.MayStartOn(w) {
			list = append(list, candidate{worker: w, free: w.Free()})
		}
	}
	slices.SortStableFunc(list, func(x, y candidate) int { return cmp.Compare(y.free.Cores(), x.free.Cores()) })
	r.workers[service] = list
	return list
}

// shape is what decides whether a demand fits on the free capacity of the workers.
type shape struct {
	service, label string
	reserved       chutecapacity.Resources
	tasks          int // that must start at once
	antiAffinity   int
}

// hasRoom reports whether a task of the demand, or its gang, fits on the free capacity of the workers. Demands of one shape are looked
// at once.
func (r *requester) hasRoom(d chutedemand.Demand) bool {
	s := shape{
		service: d.Service, label: d.Step.Label, reserved: d.Step.Reserved(), tasks: tasksToStart(d.Step), antiAffinity: d.Step.AntiAffinity,
	}
	fits, known := r.fits[s]
	if !known && len(r.fits) < maxShapes {
		fits = r.fitsNow(d)
		r.fits[s] = fits
	}
	return fits
}

// fitsNow reports whether a task of the demand, or its gang, fits on the free capacity of the workers.
func (r *requester) fitsNow(d chutedemand.Demand) bool {
	missing := tasksToStart(d.Step)
	for _, c := range r.candidates(d.Service) {
		if c.worker.HasLabel(d.Step.Label) {
			missing -= copies(d.Step, c.free, missing)
		}
		if missing <= 0 {
			return true
		}
	}
	return false
}

// workersToName returns the workers that the next request for the demand names. With none named so far, these are the approved
// ones if there are any. While other steps wait for approval, the request names few workers, since the service takes a time
// for each.
func (r *requester) workersToName(d chutedemand.Demand, a approval, contested bool) []chutetask.WorkerID {
	var approved, unnamed []candidate
	for _, c := range r.candidates(d.Service) {
		if _, ok := a.tickets[c.worker.ID]; ok {
			approved = append(approved, c)
		}
		if !a.requested[c.worker.ID] {
			unnamed = append(unnamed, c)
		}
	}
	list := unnamed
	if a.requested == nil && len(approved) > 0 {
		list = approved
	}
	limit := maxNamed
	if contested {
		limit = workersNeeded(d, list)
	}
	var ids []chutetask.WorkerID
	for _, c := range list[:min(len(list), limit)] {
		ids = append(ids, c.worker.ID)
	}
	return ids
}

// workersNeeded returns how many of the workers, from the first on, a request for the waiting tasks of the demand names.
func workersNeeded(d chutedemand.Demand, list []candidate) int {
	missing := len(d.Indexes)
	for i, c := range list {
		if missing -= copies(d.Step, c.free, missing); missing <= 0 {
			return max(minNamed, min(maxNamed, namedPerNeeded*(i+1)))
		}
	}
	return maxNamed
}

// tasksToStart returns how many tasks of the step must start at once.
func tasksToStart(step chutegraph.Step) int {
	if step.Gang {
		return step.Count
	}
	return 1
}

// copies returns how many tasks of the step, up to the limit, fit on the resources of one worker.
func copies(step chutegraph.Step, free chutecapacity.Resources, limit int) int {
	if step.AntiAffinity > 0 {
		limit = min(limit, step.AntiAffinity)
	}
	return step.Reserved().Copies(free, max(0, limit))
}
