package chutehost

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutetable"
)

// claimFreeShards claims shards without an owner. It waits longer the less this host is preferred for a shard.
func (t *transition) claimFreeShards() {
	if t.state.self.Leaving || !t.state.LeaseValid(t.now()) || t.inFlight(operationClaim) {
		return
	}
	for shard := range t.environment.Shards {
		o, _ := t.state.shards.Get(shard)
		if o.row.Owner != "" && !t.ownerExpired(o) {
			continue
		}
		if o.freeSince.IsZero() {
			o.freeSince = t.now()
			t.state.shards = t.state.shards.Set(shard, o)
		}
		rank, _ := t.rank(shard)
		if t.now().Sub(o.freeSince) >= time.Duration(rank)*claimDelayPerRank {
			t.claim(shard, o)
		}
	}
}

// ownerExpired reports whether the lease of the shard's owner has certainly expired, on the owner's clock too.
func (t *transition) ownerExpired(o ownership) bool {
	if t.ownedHere(o.row) {
		return false
	}
	since := o.changedAt
	if v, ok := t.state.hosts.Get(o.row.Owner); ok {
		since = v.changedAt
		if v.row.BootID != o.row.BootID {
			since = v.bootSeenAt
		}
	}
	return t.now().Sub(since) >= chuteorder.ExpiryBound(LeaseDuration)
}

// claim writes this host into the shard's row under the next epoch. The condition on the old owner's row ensures that
// the old owner has not renewed its lease meanwhile.
func (t *transition) claim(shard int, o ownership) {
	key := chutetable.ShardKey(shard)
	epoch := o.row.Epoch + 1
	conditions := []chutetable.Condition{{Key: key, Version: o.version}}
	if v, ok := t.state.hosts.Get(o.row.Owner); ok && v.row.BootID == o.row.BootID {
		conditions = append(conditions, chutetable.Condition{Key: chutetable.HostKey(o.row.Owner), Version: v.version})
	}
	t.emit(chuteevent.CommitTable{
		Token:      t.trackOperation(operation{kind: operationClaim, shard: shard, epoch: epoch}),
		Conditions: conditions,
		Writes: []chutetable.Write{{Key: key, Row: chutetable.ShardRow{
			Shard: shard, Owner: t.state.self.Host, BootID: t.state.self.BootID, Epoch: epoch,
		}}},
		SendBefore: t.state.leaseExpiry,
	})
}

// requestHandOver asks the caller to hand over one shard for which another live host has been preferred for
// handOverDelay.
func (t *transition) requestHandOver() {
	for shard := range t.environment.Shards {
		o, ok := t.state.shards.Get(shard)
		if !ok || !t.ownedHere(o.row) {
			continue
		}
		_, first := t.rank(shard)
		if o.preferred != first {
			o.preferred, o.preferredSince = first, t.now()
			t.state.shards = t.state.shards.Set(shard, o)
		}
		if first != t.state.self.Host && t.now().Sub(o.preferredSince) >= handOverDelay {
			t.notices = append(t.notices, HandOverRequested{Shard: shard})
			return
		}
	}
}

// ownedHere reports whether the shard's row names this process as the owner.
func (t *transition) ownedHere(row chutetable.ShardRow) bool {
	return row.Owner == t.state.self.Host && row.BootID == t.state.self.BootID
}

// Release clears the owner in the row of a shard that this host owns. The caller must have dropped the shard's state
// and must have no write of the shard in flight.
func (s State) Release(environment Environment, shard int) (State, []chuteevent.Effect) {
	t := &transition{state: s, environment: environment}
	o, ok := s.shards.Get(shard)
	if !ok || !t.ownedHere(o.row) {
		return s, nil
	}
	row := o.row
	row.Owner, row.BootID = "", ""
	key := chutetable.ShardKey(shard)
	t.emit(chuteevent.CommitTable{
		Token:      t.trackOperation(operation{kind: operationRelease, shard: shard}),
		Conditions: []chutetable.Condition{{Key: key, Version: o.version}},
		Writes:     []chutetable.Write{{Key: key, Row: row}},
	})
	return t.state, t.effects
}

// Releasing reports whether a release is being written.
func (s State) Releasing() bool {
	t := &transition{state: s}
	return t.inFlight(operationRelease)
}
