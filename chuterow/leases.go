package chuterow

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutetask"
)

// encodedLeases are the leases in a leader's row, with times in milliseconds, rounded up. Older hosts skip them.
type encodedLeases struct {
	_           struct{} `cbor:",toarray"`
	FormerEndMS int64
	Final       []encodedFinalLease
}

type encodedFinalLease struct {
	_      struct{} `cbor:",toarray"`
	Worker chutetask.WorkerID
	EndMS  int64
}

// encodeLeases returns the encoded leases, or nil for none.
func encodeLeases(leases chuteaction.Leases) *encodedLeases {
	if leases.FormerEnd == 0 && len(leases.Final) == 0 {
		return nil
	}
	e := &encodedLeases{FormerEndMS: millisecondsUp(leases.FormerEnd)}
	for _, l := range leases.Final {
		e.Final = append(e.Final, encodedFinalLease{Worker: l.Worker, EndMS: millisecondsUp(l.End)})
	}
	return e
}

func (e *encodedLeases) decode() chuteaction.Leases {
	var leases chuteaction.Leases
	if e == nil {
		return leases
	}
	leases.FormerEnd = time.Duration(e.FormerEndMS) * time.Millisecond
	for _, l := range e.Final {
		leases.Final = append(leases.Final, chuteaction.FinalLease{Worker: l.Worker, End: time.Duration(l.EndMS) * time.Millisecond})
	}
	return leases
}

// millisecondsUp returns the duration in milliseconds, rounded up.
func millisecondsUp(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
