package chuteallowance

import (
	"monsoonchute.example/monsoonchute/chuteallotment"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chutelimit"
	"monsoonchute.example/monsoonchute/chutetable"
)

// syncLedger returns the record after it has started a read or a write of the ledger, if one is due.
func (k *keeper) syncLedger(r chuteallotment.Record, terms chutelimit.Terms, d chutelimit.Demand) chuteallotment.Record {
	age, key := k.Now().Sub(r.ReadAt), chutetable.LimitKey(r.Ledger.Workspace)
	if !r.Known || r.Stale || d.Waiting > 0 && age >= readInterval || d.Use > 0 && age >= idleReadInterval {
		r.InFlight = true
		k.Emit(chuteevent.ReadTable{
			Token: k.TrackOperation(chutegang.PendingLimitRead{Workspace: r.Ledger.Workspace}), Prefix: key, Exact: true,
		})
		return r
	}
	next, changed := r.Ledger.Next(terms, d)
	if !changed {
		return r
	}
	r.InFlight, r.Writing = true, &next
	k.Emit(chuteevent.CommitTable{
		Token:      k.TrackOperation(chutegang.PendingLimitWrite{Ledger: next}),
		Conditions: []chutetable.Condition{k.State.Fence, {Key: key, Version: r.Version}},
		Writes:     []chutetable.Write{{Key: key, Row: chutetable.LimitRow{Ledger: next}}},
	})
	return r
}

// handleRead records the ledger of the workspace; no row means that the ledger has no entries.
func (k *keeper) handleRead(workspace string, rows []chutetable.StoredRow) {
	r := k.record(workspace)
	before := r.Version
	r.Ledger, r.Version = chutelimit.Ledger{Workspace: workspace}, 0
	for _, stored := range rows {
		if row, ok := stored.Row.(chutetable.LimitRow); ok {
			r.Ledger, r.Version = row.Ledger, stored.Version
		}
	}
	k.State.PlanDue = k.State.PlanDue || !r.Known || r.Version != before
	r.Known, r.Stale, r.InFlight, r.ReadAt = true, false, false, k.Now()
	k.putRecord(r)
}

// handleCommitted records the outcome of a write of a ledger. A refused write makes a read due: another owner has
// written the ledger, or taken this shard, which the next write of a job reveals.
func (k *keeper) handleCommitted(p chutegang.PendingLimitWrite, e chuteevent.TableCommitted) {
	r := k.record(p.Ledger.Workspace)
	r.InFlight, r.Writing, r.Stale = false, nil, !e.Accepted
	if e.Accepted {
		r.Ledger, r.Version, r.ReadAt = p.Ledger, e.Versions[chutetable.LimitKey(p.Ledger.Workspace)], k.Now()
	}
	k.State.PlanDue = true
	k.putRecord(r)
}

// handleFailed handles a read or write of a ledger that had no effect.
func (k *keeper) handleFailed(workspace string) {
	r := k.record(workspace)
	r.InFlight, r.Writing, r.Stale = false, nil, true
	k.putRecord(r)
}
