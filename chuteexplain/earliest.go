package chuteexplain

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"monsoonchute.example/monsoonchute/chutecandidate"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutedemand"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// expectedEnd is when a run is expected to give back its capacity on a worker.
type expectedEnd struct {
	in       time.Duration
	worker   chutetask.WorkerID
	reserved chutecapacity.Resources
}

// forecast is what is free on the workers now, and when their runs are expected to end. It is never modified.
type forecast struct {
	workers []chuteplacement.Worker
	index   map[chutetask.WorkerID]int // of the workers
	ends    []expectedEnd              // on these, in the order of time
}

func newForecast(t *chuterunner.Transition) *forecast {
	workers := chutecandidate.Usable(t.Transition, nil)
	index := make(map[chutetask.WorkerID]int, len(workers))
	for i, w := range workers {
		index[w.ID] = i
	}
	ends := slices.DeleteFunc(expectedEnds(t), func(e expectedEnd) bool {
		_, usable := index[e.worker]
		return !usable
	})
	return &forecast{workers: workers, index: index, ends: ends}
}

// earliestStart returns the time after which the demand would fit on the workers by the expected ends of their runs if nothing else
// started meanwhile, and false if these ends don't tell.
func (f *forecast) earliestStart(d chutedemand.Demand) (time.Duration, bool) {
	fitsAfter := func(count int) bool {
		freed := slices.Clone(f.workers)
		for _, e := range f.ends[:count] {
			w := &freed[f.index[e.worker]]
			w.Free = w.Free.Plus(e.reserved)
		}
		return chuteplacement.Fits(freed, d)
	}
	count := sort.Search(len(f.ends)+1, fitsAfter)
	switch {
	case count > len(f.ends):
		return 0, false
	case count == 0:
		return 0, true
	}
	return f.ends[count-1].in, true
}

// expectedEnds returns the runs whose ends can be estimated, in the order of these.
func expectedEnds(t *chuterunner.Transition) []expectedEnd {
	var ends []expectedEnd
	for _, w := range t.Pool.All() {
		for _, r := range w.Runs() {
			if in, known := remaining(t, w.ID, r); known {
				ends = append(ends, expectedEnd{in: max(in, 0), worker: w.ID, reserved: r.Reserved})
			}
		}
	}
	slices.SortStableFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.in, b.in) })
	return ends
}

// remaining returns the expected time until the end of a run: by its progress, by the estimate of its step as long as it has made
// none (a report of 0% would predict an end far away), or by the longest time of a stop. It returns false if none is known.
func remaining(t *chuterunner.Transition, worker chutetask.WorkerID, r chutepool.Run) (time.Duration, bool) {
	if r.Phase == chutepool.RunStopping {
		return t.Bounds.StopTimeout - t.Now.Sub(r.PhaseSince), true
	}
	j, ok := t.Job(r.ID.Task.Job)
	if !ok {
		return 0, false
	}
	step := j.Step(r.ID.Task.StepID)
	if in := t.Remaining(worker, r, step.LongRunning); r.Percent > 0 && in < chuteledger.UnknownRemaining {
		return in, true
	}
	return step.Estimate - t.Now.Sub(r.PhaseSince), step.Estimate > 0 && !step.LongRunning
}
