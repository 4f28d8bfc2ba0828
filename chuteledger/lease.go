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
)

// LongestLease returns how long a lease may last by the clock of this process.
func (s State) LongestLease() time.Duration {
	return time.Duration(float64(s.Bounds.MaxLease)*(1+MaxClockDrift)) + leaseMargin
}

// ExtendLease returns the worker with a lease that begins now. A worker that does not answer keeps its lease as it is,
// so that the lease expires although orders that may have arrived are repeated.
func (t *Transition) ExtendLease(w chutepool.Worker) chutepool.Worker {
	if w.MissedRenewals == 0 {
		w.LeaseEnd = w.Clock.Now(t.Now) + t.Bounds.MaxLease
		w.LeaseExpiryBound = t.Now.Add(t.LongestLease())
	}
	return w
}
