package chutehost

import (
	"fmt"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutetable"
)

// claimFree takes shards without an owner, the preferred host first.
func (t *turn) claimFree() {
	if t.state.self.Leaving || !t.state.LeaseValid(t.now()) || t.inFlight(purposeClaim) {
		return
	}
	for shard := range t.environment.Shards {
		o, _ := t.state.shards.Get(shard)
		if o.row.Owner != "" && !t.lapsed(o) {
			continue
		}
		if o.freeSince.IsZero() {
			o.freeSince = t.now()
			t.state.shards = t.state.shards.Set(shard, o)
		}
		rank, _ := t.rank(shard)
		if t.now().Sub(o.freeSince) >= time.Duration(rank)*rankDelay {
			t.claim(shard, o)
		}
	}
}

// lapsed reports whether the lease of the shard's owner has certainly lapsed on the owner's clock too.
func (t *turn) lapsed(o ownership) bool {
	if t.mine(o.row) {
		return false
	}
	since := o.seenAt
	if v, ok := t.state.hosts.Get(o.row.Owner); ok {
		since = v.seenAt
		if v.row.Boot != o.row.Boot {
			since = v.bootAt
		}
	}
	return t.now().Sub(since) >= chuteorder.ExpiryBound(Lease)
}

// claim writes this host into the shard's row under the next epoch. The condition on the old owner's row makes sure
// that it has not renewed its lease since.
func (t *turn) claim(shard int, o ownership) {
	key := chutetable.ShardKey(shard)
	epoch := o.row.Epoch + 1
	conditions := []chutetable.Condition{{Key: key, Version: o.version}}
	if v, ok := t.state.hosts.Get(o.row.Owner); ok && v.row.Boot == o.row.Boot {
		conditions = append(conditions, chutetable.Condition{Key: chutetable.HostKey(o.row.Owner), Version: v.version})
	}
	t.emit(chuteevent.CommitTable{
		Token:      t.remember(purpose{kind: purposeClaim, shard: shard, epoch: epoch}),
		Conditions: conditions,
		Writes: []chutetable.Write{{Key: key, Row: chutetable.ShardRow{
			Shard: shard, Owner: t.state.self.Host, Boot: t.state.self.Boot, Epoch: epoch,
		}}},
		SendBefore: t.state.leaseUntil,
	})
}

// preferOthers asks to hand over a shard for which another live host has been preferred for long enough.
func (t *turn) preferOthers() {
	for shard := range t.environment.Shards {
		o, ok := t.state.shards.Get(shard)
		if !ok || !t.mine(o.row) {
			continue
		}
		_, first := t.rank(shard)
		if o.preferred != first {
			o.preferred, o.since = first, t.now()
			t.state.shards = t.state.shards.Set(shard, o)
		}
		if first != t.state.self.Host && t.now().Sub(o.since) >= settleTime {
			t.notices = append(t.notices, HandOverRequested{Shard: shard})
			return
		}
	}
}

func (t *turn) mine(row chutetable.ShardRow) bool {
	return row.Owner == t.state.self.Host && row.Boot == t.state.self.Boot
}

// Release gives up a shard that this host owns; the caller has dropped its state and has no write in flight.
func (s State) Release(environment Environment, shard int) (State, []chuteevent.Effect) {
	t := &turn{state: s, environment: environment}
	o, ok := s.shards.Get(shard)
	if !ok || !t.mine(o.row) {
		return s, nil
	}
	row := o.row
	row.Owner, row.Boot = "", ""
	key := chutetable.ShardKey(shard)
	t.emit(chuteevent.CommitTable{
		Token:      t.remember(purpose{kind: purposeRelease, shard: shard}),
		Conditions: []chutetable.Condition{{Key: key, Version: o.version}},
		Writes:     []chutetable.Write{{Key: key, Row: row}},
	})
	return t.state, t.effects
}

// Releasing reports whether a release is being written.
func (s State) Releasing() bool {
	t := &turn{state: s}
	return t.inFlight(purposeRelease)
}

// Committed handles the certain end of a commit of the membership.
func (s State) Committed(environment Environment, e chuteevent.TableCommitted) (State, []chuteevent.Effect, []Notice) {
	t := &turn{state: s, environment: environment}
	p, _ := s.pending.Get(e.Token)
	t.state.pending = s.pending.Delete(e.Token)
	switch p.kind {
	case purposeBeat:
		t.beatEnded(p, e)
	case purposeClaim:
		t.claimEnded(p, e)
	case purposeRelease:
		t.releaseEnded(p, e)
	case purposeScanHosts, purposeScanShards, purposeForget:
	}
	return t.state, t.effects, t.notices
}

func (t *turn) beatEnded(p purpose, e chuteevent.TableCommitted) {
	if !e.Accepted {
		t.state.scannedAt = time.Time{}
		return
	}
	t.state.version = e.Versions[chutetable.HostKey(t.state.self.Host)]
	t.state.leaseUntil = p.sent.Add(Lease)
	t.state.renewed = true
}

func (t *turn) claimEnded(p purpose, e chuteevent.TableCommitted) {
	if !e.Accepted {
		t.state.scannedAt = time.Time{}
		return
	}
	version := e.Versions[chutetable.ShardKey(p.shard)]
	t.state.shards = t.state.shards.Set(p.shard, ownership{
		row:     chutetable.ShardRow{Shard: p.shard, Owner: t.state.self.Host, Boot: t.state.self.Boot, Epoch: p.epoch},
		version: version,
		seenAt:  t.now(),
	})
	t.notices = append(t.notices, Acquired{Shard: p.shard, Epoch: p.epoch, Version: version})
	t.emit(chuteevent.LogLine{Component: "host", Text: fmt.Sprintf("owns shard %d under epoch %d", p.shard, p.epoch)})
}

func (t *turn) releaseEnded(p purpose, e chuteevent.TableCommitted) {
	if o, ok := t.state.shards.Get(p.shard); ok && e.Accepted {
		o.row.Owner, o.row.Boot = "", ""
		o.version = e.Versions[chutetable.ShardKey(p.shard)]
		o.freeSince = t.now().Add(rankDelay)
		t.state.shards = t.state.shards.Set(p.shard, o)
	}
	for _, row := range t.state.Peers(t.now()) {
		t.emit(chuteevent.SendPeerMessage{To: row.Host, Message: chuteevent.ShardReleased{Shard: p.shard}})
	}
}

// Failed handles a store operation of the membership that certainly did not take effect.
func (s State) Failed(token chuteevent.Token) State {
	s.pending = s.pending.Delete(token)
	return s
}

// Read handles the rows of a scan.
func (s State) Read(environment Environment, e chuteevent.TableRead) (State, []chuteevent.Effect, []Notice) {
	t := &turn{state: s, environment: environment}
	p, _ := s.pending.Get(e.Token)
	t.state.pending = s.pending.Delete(e.Token)
	for _, stored := range e.Rows {
		switch row := stored.Row.(type) {
		case chutetable.HostRow:
			t.sawHost(row, stored.Version)
		case chutetable.ShardRow:
			t.sawShard(row, stored.Version)
		case chutetable.JobRow, chutetable.DocumentRow, chutetable.IntentRow:
		}
	}
	if p.kind == purposeScanHosts {
		t.noteMissing(e.Rows)
		t.forgetOld()
	}
	return t.state, t.effects, t.notices
}

func (t *turn) sawHost(row chutetable.HostRow, version chutetable.Version) {
	if row.Host == t.state.self.Host && !t.inFlight(purposeBeat) {
		t.sawSelf(row, version)
	}
	v, known := t.state.hosts.Get(row.Host)
	if known && v.version == version {
		return
	}
	next := view{row: row, version: version, seenAt: t.now(), bootAt: v.bootAt}
	if !known || v.row.Boot != row.Boot {
		next.bootAt = t.now()
	}
	t.state.hosts = t.state.hosts.Set(row.Host, next)
}

// sawSelf follows the own row. A row of another process that took it after this one is final: the host stops renewing.
func (t *turn) sawSelf(row chutetable.HostRow, version chutetable.Version) {
	if row.Boot != t.state.self.Boot && t.state.renewed && !t.state.replaced {
		t.state.replaced = true
		t.emit(chuteevent.LogLine{Component: "host", Warning: true, Text: "another process runs under this host id; this one takes no more shards"})
	}
	t.state.version = version
}

func (t *turn) sawShard(row chutetable.ShardRow, version chutetable.Version) {
	o, known := t.state.shards.Get(row.Shard)
	if known && o.version >= version {
		return
	}
	if known && t.mine(o.row) && !t.mine(row) {
		t.notices = append(t.notices, Lost{Shard: row.Shard})
	}
	t.state.shards = t.state.shards.Set(row.Shard, ownership{row: row, version: version, seenAt: t.now()})
}

// noteMissing lets the next heartbeat insert the own row again if it was deleted.
func (t *turn) noteMissing(rows []chutetable.StoredRow) {
	own := chutetable.HostKey(t.state.self.Host)
	found := slices.ContainsFunc(rows, func(s chutetable.StoredRow) bool { return s.Key == own })
	if !found && !t.inFlight(purposeBeat) {
		t.state.version = 0
	}
}

// forgetOld deletes the row of one host that lapsed long ago.
func (t *turn) forgetOld() {
	for i := t.state.hosts.Iterator(); !i.Done(); {
		id, v, _ := i.Next()
		if id == t.state.self.Host || t.now().Sub(v.seenAt) < forgetAfter {
			continue
		}
		t.state.hosts = t.state.hosts.Delete(id)
		t.emit(chuteevent.CommitTable{
			Token:      t.remember(purpose{kind: purposeForget}),
			Conditions: []chutetable.Condition{{Key: chutetable.HostKey(id), Version: v.version}},
			Writes:     []chutetable.Write{{Key: chutetable.HostKey(id)}},
			SendBefore: t.now().Add(beatInterval),
		})
		return
	}
}
