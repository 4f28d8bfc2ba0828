package chutehost

import (
	"fmt"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutetable"
)

// HandleTableEvent handles the end of a store operation that this state started. An operation that had no effect starts
// again when it is next due.
func (s State) HandleTableEvent(environment Environment, event chuteevent.TableEvent) (State, []chuteevent.Effect, []Notice) {
	t := &transition{state: s, environment: environment}
	p, _ := s.pending.Get(event.Operation())
	t.state.pending = s.pending.Delete(event.Operation())
	switch e := event.(type) {
	case chuteevent.TableCommitted:
		t.handleCommitted(p, e)
	case chuteevent.TableRead:
		t.handleScanned(p, e.Rows)
	case chuteevent.TableFailed:
	}
	return t.state, t.effects, t.notices
}

// handleCommitted handles the known outcome of a commit.
func (t *transition) handleCommitted(p operation, e chuteevent.TableCommitted) {
	switch p.kind {
	case operationHeartbeat:
		t.handleHeartbeatCommit(p, e)
	case operationClaim:
		t.handleClaimCommit(p, e)
	case operationRelease:
		t.handleReleaseCommit(p, e)
	case operationScanHosts, operationScanShards, operationDeleteHost:
	}
}

// handleHeartbeatCommit extends the lease, counted from when the write was sent. A refused write makes a scan due,
// because another process has changed the row.
func (t *transition) handleHeartbeatCommit(p operation, e chuteevent.TableCommitted) {
	if !e.Accepted {
		t.state.scannedAt = time.Time{}
		return
	}
	t.state.version = e.Versions[chutetable.HostKey(t.state.self.Host)]
	t.state.leaseExpiry = p.sentAt.Add(LeaseDuration)
	t.state.registered = true
}

// handleClaimCommit records this host as the owner. A refused claim makes a scan due.
func (t *transition) handleClaimCommit(p operation, e chuteevent.TableCommitted) {
	if !e.Accepted {
		t.state.scannedAt = time.Time{}
		return
	}
	version := e.Versions[chutetable.ShardKey(p.shard)]
	t.state.shards = t.state.shards.Set(p.shard, ownership{
		row:       chutetable.ShardRow{Shard: p.shard, Owner: t.state.self.Host, BootID: t.state.self.BootID, Epoch: p.epoch},
		version:   version,
		changedAt: t.now(),
	})
	t.notices = append(t.notices, Acquired{Shard: p.shard, Epoch: p.epoch, Version: version})
	t.emit(chuteevent.LogLine{Component: "host", Text: fmt.Sprintf("owns shard %d under epoch %d", p.shard, p.epoch)})
}

// handleReleaseCommit records the shard as free and tells the live peers. This host waits longer than usual before it
// claims the shard again.
func (t *transition) handleReleaseCommit(p operation, e chuteevent.TableCommitted) {
	if o, ok := t.state.shards.Get(p.shard); ok && e.Accepted {
		o.row.Owner, o.row.BootID = "", ""
		o.version = e.Versions[chutetable.ShardKey(p.shard)]
		o.freeSince = t.now().Add(claimDelayPerRank)
		t.state.shards = t.state.shards.Set(p.shard, o)
	}
	for _, row := range t.state.Peers(t.now()) {
		t.emit(chuteevent.SendPeerMessage{To: row.Host, Message: chuteevent.ShardReleased{Shard: p.shard}})
	}
}

// handleScanned handles the rows of a scan.
func (t *transition) handleScanned(p operation, rows []chutetable.StoredRow) {
	for _, stored := range rows {
		switch row := stored.Row.(type) {
		case chutetable.HostRow:
			t.observeHost(row, stored.Version)
		case chutetable.ShardRow:
			t.observeShard(row, stored.Version)
		case chutetable.JobRow, chutetable.DocumentRow, chutetable.IntentRow, chutetable.LimitRow:
		}
	}
	if p.kind == operationScanHosts {
		t.detectDeletedRow(rows)
		t.deleteExpiredHost()
	}
}

// observeHost records the row of an entry host and when it last changed.
func (t *transition) observeHost(row chutetable.HostRow, version chutetable.Version) {
	if row.Host == t.state.self.Host && !t.inFlight(operationHeartbeat) {
		t.observeOwnRow(row, version)
	}
	v, known := t.state.hosts.Get(row.Host)
	if known && v.version == version {
		return
	}
	record := hostRecord{row: row, version: version, changedAt: t.now(), bootSeenAt: v.bootSeenAt}
	if !known || v.row.BootID != row.BootID {
		record.bootSeenAt = t.now()
	}
	t.state.hosts = t.state.hosts.Set(row.Host, record)
}

// observeOwnRow records the version of this host's row. If another process has overwritten the row after this one wrote
// it, this process stops renewing its lease for good.
func (t *transition) observeOwnRow(row chutetable.HostRow, version chutetable.Version) {
	if row.BootID != t.state.self.BootID && t.state.registered && !t.state.replaced {
		t.state.replaced = true
		t.emit(chuteevent.LogLine{Component: "host", Warning: true, Text: "another process runs under this host id; this one takes no more shards"})
	}
	t.state.version = version
}

// observeShard records the row of a shard, and reports the shard as lost if this host owned it and no longer does.
func (t *transition) observeShard(row chutetable.ShardRow, version chutetable.Version) {
	o, known := t.state.shards.Get(row.Shard)
	if known && o.version >= version {
		return
	}
	if known && t.ownedHere(o.row) && !t.ownedHere(row) {
		t.notices = append(t.notices, Lost{Shard: row.Shard})
	}
	t.state.shards = t.state.shards.Set(row.Shard, ownership{row: row, version: version, changedAt: t.now()})
}

// detectDeletedRow makes the next heartbeat insert this host's row again if the row was deleted.
func (t *transition) detectDeletedRow(rows []chutetable.StoredRow) {
	own := chutetable.HostKey(t.state.self.Host)
	found := slices.ContainsFunc(rows, func(s chutetable.StoredRow) bool { return s.Key == own })
	if !found && !t.inFlight(operationHeartbeat) {
		t.state.version = 0
	}
}

// deleteExpiredHost deletes the row of one other host if the row has not changed for rowRetention.
func (t *transition) deleteExpiredHost() {
	for i := t.state.hosts.Iterator(); !i.Done(); {
		id, v, _ := i.Next()
		if id == t.state.self.Host || t.now().Sub(v.changedAt) < rowRetention {
			continue
		}
		t.state.hosts = t.state.hosts.Delete(id)
		t.emit(chuteevent.CommitTable{
			Token:      t.trackOperation(operation{kind: operationDeleteHost}),
			Conditions: []chutetable.Condition{{Key: chutetable.HostKey(id), Version: v.version}},
			Writes:     []chutetable.Write{{Key: chutetable.HostKey(id)}},
			SendBefore: t.now().Add(heartbeatInterval),
		})
		return
	}
}
