package chutehandover

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutemembership"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// minMissedForFinalLease is the number of renewals in a row that a worker must have missed before its lease is declared final.
const minMissedForFinalLease = 2

// finalLeases are the leases that the leader's row declares final. This scheduler extends none of them from when it means to
// declare it until a row without it has been written, so that a successor can rely on the row.
type finalLeases struct {
	due      []chuteaction.FinalLease // to be declared by the next write; never modified
	written  []chuteaction.FinalLease // declared by the latest write
	declared []chuteaction.FinalLease // declared by the latest successful write
}

// workers returns the workers whose leases must not be extended, or nil for none.
func (f finalLeases) workers() map[chutetask.WorkerID]bool {
	var workers map[chutetask.WorkerID]bool
	for _, leases := range [][]chuteaction.FinalLease{f.due, f.written, f.declared} {
		for _, l := range leases {
			if workers == nil {
				workers = make(map[chutetask.WorkerID]bool)
			}
			workers[l.Worker] = true
		}
	}
	return workers
}

// leaseIsFinal reports whether the worker's lease need not be extended: the worker does not answer, or leaves before the lease
// expires.
func leaseIsFinal(w chutepool.Worker) bool {
	if w.RunCount() == 0 || w.LeaseExpiryBound.IsZero() {
		return false
	}
	return !w.Contacted || w.MissedRenewals >= minMissedForFinalLease || chutemembership.LeavesAtShortNotice(w)
}

// leaseOf returns the worker's lease with a bound of its end that is no later than the one declared before.
func (f finalLeases) leaseOf(t *chuterunner.Transition, w chutepool.Worker) chuteaction.FinalLease {
	end := t.Environment.StoreClock.Latest(w.LeaseExpiryBound)
	if former, ok := chuteaction.FinalLeaseOf(f.declared, w.ID); ok {
		return chuteaction.FinalLease{Worker: w.ID, End: min(former, end)}
	}
	if !t.FinalLeases[w.ID] {
		t.Count("lease-final", "declared")
		t.Log(component, "lease of a worker is not extended", "", "worker", w.ID, "runs", w.RunCount(), "contacted", w.Contacted,
			"missed", w.MissedRenewals, "draining", w.Draining, "lease-left", w.LeaseExpiryBound.Sub(t.Now))
	}
	return chuteaction.FinalLease{Worker: w.ID, End: end}
}
