package chuterow

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
)

// encodedLeases is what a leader's row tells of leases. Older hosts skip it.
type encodedLeases struct {
	_        struct{} `cbor:",toarray"`
	FormerMS int64    // chuteaction.LeaderRow.FormerLeaseEnd, in milliseconds, rounded up
}

func encodeLeases(v chuteaction.LeaderRow) *encodedLeases {
	if v.FormerLeaseEnd == 0 {
		return nil
	}
	return &encodedLeases{FormerMS: millisecondsUp(v.FormerLeaseEnd)}
}

// apply returns the leader's row with what is told of leases, if anything is.
func (e *encodedLeases) apply(row chuteaction.LeaderRow) chuteaction.LeaderRow {
	if e == nil {
		return row
	}
	row.FormerLeaseEnd = time.Duration(e.FormerMS) * time.Millisecond
	return row
}

// millisecondsUp returns the duration in milliseconds, rounded up.
func millisecondsUp(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
