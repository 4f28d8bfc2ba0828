package chutepool

import (
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
)

// runOrder orders runs by their ids.
type runOrder struct{}

// Compare returns -1, 0 or 1 if the first id comes before, is or comes after the second.
func (runOrder) Compare(a, b chutegraph.RunID) int {
	return a.Compare(b)
}

// InQuarantine reports whether one of the worker's runs has the worker to itself.
func (w Worker) InQuarantine() bool {
	return w.quarantined > 0
}

// Free returns the capacity that no run reserves.
func (w Worker) Free() chutecapacity.Resources {
	return w.Capacity.Minus(w.reserved)
}

// Load returns the share of the worker's accelerators, or else of its processor, that its runs reserve.
func (w Worker) Load() float64 {
	if w.Capacity.Accelerators > 0 {
		return float64(w.reserved.Accelerators) / float64(w.Capacity.Accelerators)
	}
	return float64(w.reserved.Processor) / float64(max(1, w.Capacity.Processor))
}

// Overcommitted reports whether the runs reserve more than the worker's capacity, which may have shrunk since they were
// placed.
func (w Worker) Overcommitted() bool {
	return !w.reserved.Fits(w.Capacity)
}

// Stopping returns the capacity that is reserved by runs that are being stopped.
func (w Worker) Stopping() chutecapacity.Resources {
	return w.stopping
}

// Run returns the run with the id, and false if the worker has none.
func (w Worker) Run(id chutegraph.RunID) (Run, bool) {
	return w.runs.Get(id)
}

// Runs returns all runs in the order of their ids.
func (w Worker) Runs() []Run {
	runs := make([]Run, 0, w.runs.Len())
	for i := w.runs.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		runs = append(runs, r)
	}
	return runs
}

// RunCount returns the number of runs on the worker.
func (w Worker) RunCount() int {
	return w.runs.Len()
}

// WithRun returns the worker with the run added or replaced.
func (w Worker) WithRun(run Run) Worker {
	if old, ok := w.runs.Get(run.ID); ok {
		w = w.withoutReservation(old)
		if !sameUse(old, run) {
			w = w.withoutUse(old).withUse(run)
		}
	} else {
		w = w.withUse(run)
	}
	w.reserved = w.reserved.Plus(run.Reserved)
	if run.Phase == RunStopping {
		w.stopping = w.stopping.Plus(run.Reserved)
	}
	if run.Quarantined {
		w.quarantined++
	}
	w.runs = w.runs.Set(run.ID, run)
	return w
}

// WithoutRun returns the worker without the run.
func (w Worker) WithoutRun(id chutegraph.RunID) Worker {
	old, ok := w.runs.Get(id)
	if !ok {
		return w
	}
	w = w.withoutReservation(old).withoutUse(old)
	w.runs = w.runs.Delete(id)
	return w
}

// withoutReservation returns the worker without the capacity that the run reserves, and without its quarantine.
func (w Worker) withoutReservation(run Run) Worker {
	w.reserved = w.reserved.Minus(run.Reserved)
	if run.Phase == RunStopping {
		w.stopping = w.stopping.Minus(run.Reserved)
	}
	if run.Quarantined {
		w.quarantined--
	}
	return w
}

// NeedsLease reports whether the worker may have been ordered to start a run, so that its lease must be renewed.
func (w Worker) NeedsLease() bool {
	for i := w.runs.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		if r.Phase >= RunOrdered {
			return true
		}
	}
	return false
}
