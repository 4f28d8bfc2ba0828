package chuteallotment

import (
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chuteallocator"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutelimit"
	"monsoonchute.example/monsoonchute/chutetable"
)

// Record is what the owner knows of the ledger of one workspace.
type Record struct {
	Ledger   chutelimit.Ledger
	Version  chutetable.Version // of the ledger's row, 0 if there is none
	Known    bool               // the row was read under this ownership
	Stale    bool               // the row has changed since it was read
	ReadAt   time.Time          // when the latest read or write ended
	InFlight bool
	Writing  *chutelimit.Ledger // ledger being written, nil if none is
	NeededAt time.Time          // when all that is allotted to the shard was last needed
	Held     chuteallocator.Held
	LoggedAt time.Time // when it was last logged that the limit holds jobs back
}

// Room returns how many accelerators jobs of the workspace may take now. What a write in flight gives back is not used
// any more, and what it takes is not used yet.
func (r Record) Room(terms chutelimit.Terms, shard, use int) int {
	if !r.Known {
		return 0
	}
	room := r.Ledger.Room(terms, shard, use)
	if r.Writing != nil {
		room = min(room, r.Writing.Room(terms, shard, use))
	}
	return room
}

// Cause returns why the limit holds the waiting job of the workspace back on the shard, of whose limit so many accelerators are in use.
func (r Record) Cause(terms chutelimit.Terms, workspace string, shard, use int, job chutejob.ID) string {
	if !r.Known || !r.Ledger.Complete(terms) {
		return fmt.Sprintf("limit: workspace %s may hold %d accelerators; the shards have not all recorded what it holds yet", workspace, terms.Accelerators)
	}
	e, _ := r.Ledger.Entry(shard)
	cause := fmt.Sprintf("limit: workspace %s may hold %d accelerators; %d are allotted to its jobs on all shards, %d to this shard, of which %d are in use",
		workspace, terms.Accelerators, r.Ledger.Allotted(), e.Accelerators, use)
	if first, ok := r.Ledger.FirstReservation(); ok && r.Held.Job != job {
		cause += fmt.Sprintf("; free ones are reserved for a job on shard %d that waits since %s", first.Shard, first.Reserved.Since.UTC().Format(time.RFC3339))
	}
	return cause
}
