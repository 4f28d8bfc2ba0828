package chutehandover

import (
	"monsoonchute.example/monsoonchute/chuteaction"
)

// Sizes of an encoded handover. The leader's row, which the store takes up to 64 KiB, holds pending jobs beside it.
const (
	maxHandoverBytes   = 36_000
	finalLeaseBytes    = 16 // without the worker's id
	unlistedBytes      = 8  // without id and address
	maxFinalLeaseBytes = maxHandoverBytes / 3 * 2
)

// bounded returns the handover without the workers for which the leader's row has no room. The leases of those that it does not name
// have expired at FormerLeaseEnd; a successor that does not know a worker's address waits for its lease.
func bounded(h chuteaction.Handover) chuteaction.Handover {
	size, kept := 0, 0
	for ; kept < len(h.FinalLeases); kept++ {
		if size += finalLeaseBytes + len(h.FinalLeases[kept].Worker); size > maxFinalLeaseBytes {
			break
		}
	}
	for _, left := range h.FinalLeases[kept:] {
		h.FormerLeaseEnd = max(h.FormerLeaseEnd, left.End)
	}
	h.FinalLeases = h.FinalLeases[:kept:kept]
	for i, u := range h.Unlisted {
		if size += unlistedBytes + len(u.Worker) + len(u.Address); size > maxHandoverBytes {
			h.Unlisted = h.Unlisted[:i:i]
			break
		}
	}
	return h
}
