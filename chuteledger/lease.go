package chuteledger

import (
	"time"

	"monsoonchute.example/monsoonchute/chutepool"
)

const (
	// MaxClockDrift is the share by which a worker's clock may be slow, with a margin.
	MaxClockDrift = 0.03
	// leaseMargin is added to every lease before it counts as expired.
	leaseMargin = 200 * time.Millisecond
	// maxUnconfirmedLease is the longest time after a scheduler's latest successful write until which it grants leases. Work goes
	// on for so long without a scheduler, and a successor waits for so long until it starts the work of lost workers anew.
	maxUnconfirmedLease = 14 * time.Second
)

// LongestLease returns how long a lease may last by the clock of this process.
func (b Bounds) LongestLease() time.Duration {
	return withDrift(b.MaxLease)
}

// LongestUnconfirmedLease returns how long after a scheduler's latest successful write the leases that it has granted may last, by
// the clock of any process.
func (b Bounds) LongestUnconfirmedLease() time.Duration {
	return withDrift(b.unconfirmedLease())
}

// unconfirmedLease returns until how long after its latest successful write a scheduler grants leases, by its own clock.
func (b Bounds) unconfirmedLease() time.Duration {
	return max(b.MaxLease, min(b.UnconfirmedLimit+b.MaxLease, maxUnconfirmedLease))
}

// withDrift returns the time that certainly passes until a worker's clock has advanced by the time.
func withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+MaxClockDrift)) + leaseMargin
}

// ExtendLease returns the worker with a lease that begins now. A worker that does not answer keeps its lease as it is,
// so that the lease expires although orders that may have arrived are repeated.
func (t *Transition) ExtendLease(w chutepool.Worker) chutepool.Worker {
	lease := min(t.Bounds.MaxLease, t.Environment.ConfirmedAt.Add(t.Bounds.unconfirmedLease()).Sub(t.Now))
	if w.MissedRenewals > 0 || lease <= 0 || t.FinalLeases[w.ID] {
		return w
	}
	w.LeaseExtendedAt = t.Now
	w.LeaseEnd = max(w.LeaseEnd, w.Clock.Now(t.Now)+lease)
	if bound := t.Now.Add(withDrift(lease)); bound.After(w.LeaseExpiryBound) {
		w.LeaseExpiryBound = bound
	}
	return w
}
