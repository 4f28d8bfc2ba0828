package chuterow

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutetask"
)

// encodedHandover is the handover in a leader's row, with times in milliseconds, rounded up. Older hosts skip it.
type encodedHandover struct {
	_                struct{} `cbor:",toarray"`
	FormerLeaseEndMS int64
	FinalLeases      []encodedFinalLease
	Unlisted         []encodedUnlisted
}

type encodedFinalLease struct {
	_      struct{} `cbor:",toarray"`
	Worker chutetask.WorkerID
	EndMS  int64
}

type encodedUnlisted struct {
	_       struct{} `cbor:",toarray"`
	Worker  chutetask.WorkerID
	Address string
}

// encodeHandover returns the encoded handover, or nil if it tells nothing.
func encodeHandover(h chuteaction.Handover) *encodedHandover {
	if h.FormerLeaseEnd == 0 && len(h.FinalLeases)+len(h.Unlisted) == 0 {
		return nil
	}
	e := &encodedHandover{FormerLeaseEndMS: millisecondsUp(h.FormerLeaseEnd)}
	for _, l := range h.FinalLeases {
		e.FinalLeases = append(e.FinalLeases, encodedFinalLease{Worker: l.Worker, EndMS: millisecondsUp(l.End)})
	}
	for _, u := range h.Unlisted {
		e.Unlisted = append(e.Unlisted, encodedUnlisted{Worker: u.Worker, Address: u.Address})
	}
	return e
}

func (e *encodedHandover) decode() chuteaction.Handover {
	var h chuteaction.Handover
	if e == nil {
		return h
	}
	h.FormerLeaseEnd = time.Duration(e.FormerLeaseEndMS) * time.Millisecond
	for _, l := range e.FinalLeases {
		h.FinalLeases = append(h.FinalLeases, chuteaction.FinalLease{Worker: l.Worker, End: time.Duration(l.EndMS) * time.Millisecond})
	}
	for _, u := range e.Unlisted {
		h.Unlisted = append(h.Unlisted, chuteaction.UnlistedWorker{Worker: u.Worker, Address: u.Address})
	}
	return h
}

// millisecondsUp returns the duration in milliseconds, rounded up.
func millisecondsUp(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
