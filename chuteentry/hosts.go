package chuteentry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutebacklog"
)

// writeHostRow records the current process of this host, so that other hosts know that its earlier processes have ended.
// The write is conditional on the row that it replaces: an earlier process's write may be carried out late.
func (t *transition) writeHostRow() {
	key := chuteaction.HostKey(t.state.settings.Host)
	t.state.hostRowWrite = t.NewToken()
	t.Emit(chuteaction.WriteRows{
		Token:      t.state.hostRowWrite,
		Conditions: []chuteaction.Condition{{RowKey: key, Version: t.state.hostRowVersion}},
		Put: []chuteaction.Row{{RowKey: key, Value: chuteaction.HostRow{
			Host: t.state.settings.Host, Process: t.state.settings.Process,
			Address: t.state.settings.RelayAddress, Share: t.state.settings.CPUShare, Memory: t.state.settings.MemoryLimit,
		}}},
	})
}

// hostRowWritten handles the result of a write of this host's row. After a conflict it writes over the row that is there,
// unless that is this process's own.
func (t *transition) hostRowWritten(e chuteaction.RowsWritten) {
	switch e.Outcome {
	case chuteaction.StoreDone:
		return
	case chuteaction.StoreConflict:
		t.replaceHostRow(e.Current)
	case chuteaction.StoreRefused, chuteaction.StoreUnknown, chuteaction.StoreRejected:
		t.state.hostRowRetryAt = t.Now.Add(hostRowRetryDelay)
	}
}

func (t *transition) replaceHostRow(current []chuteaction.Row) {
	t.state.hostRowVersion = 0
	for _, r := range current {
		if row, ok := r.Value.(chuteaction.HostRow); ok && row.Process == t.state.settings.Process {
			return // an attempt without an answer has been carried out
		}
		t.state.hostRowVersion = r.Version
	}
	t.writeHostRow()
}

// checkLeaderProcess compares the leader's process with the current process of its host.
func (t *transition) checkLeaderProcess() {
	host := t.state.leader.Row().Host
	r, ok := t.state.hostRows.Get(host)
	if !ok {
		return
	}
	if row, ok := r.Value.(chuteaction.HostRow); ok {
		t.state.leader = t.state.leader.HandleProcess(t.Transition, host, row.Process, r.Version)
	}
}

// hostsChanged updates the rows and the relay addresses of the other hosts.
func (t *transition) hostsChanged(e chuteaction.TableChanged) {
	known := t.state.peerAddresses
	for _, r := range e.Rows {
		if row, ok := r.Value.(chuteaction.HostRow); ok {
			t.state.hostRows = t.state.hostRows.Set(row.Host, r)
		}
		if row, ok := r.Value.(chuteaction.HostRow); ok && row.Host != t.state.settings.Host && row.Address != "" {
			t.state.peerAddresses = t.state.peerAddresses.Set(row.Host, row.Address)
		}
	}
	t.state.backlogLimit = t.state.smallestBacklogLimit()
	t.checkLeaderProcess()
	if t.state.scheduler != nil {
		t.setScheduler(t.state.scheduler.HandleHosts(t.Transition, t.state.environment(t.Now), e.Rows))
	}
	t.state.leader = t.state.leader.WithTakeoverDelay(t.state.takeoverDelay()).WithHandOverDelay(t.state.handOverDelay())
	if t.state.peerAddresses == known {
		return
	}
	t.Emit(chuteaction.SetPeers{Addresses: t.state.relayOrder()})
}

// smallestBacklogLimit returns how much memory in bytes unfinished jobs may take on the host with the least memory, since
// any host may lead. It is 0 if no host has a limit.
func (s State) smallestBacklogLimit() int64 {
	smallest := chutebacklog.Limit(s.settings.MemoryLimit)
	for i := s.hostRows.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		if row, ok := r.Value.(chuteaction.HostRow); ok && row.Memory > 0 {
			limit := chutebacklog.Limit(row.Memory)
			if smallest == 0 || limit < smallest {
				smallest = limit
			}
		}
	}
	return smallest
}

// relayOrder returns the relay addresses of the other hosts in the order in which this host tries them. Each host has an order of
// its own, so that hosts which the store turns away do not all load the same peer.
func (s State) relayOrder() []string {
	weights := make(map[string]uint64)
	for i := s.peerAddresses.Iterator(); !i.Done(); {
		host, address, _ := i.Next()
		weights[address] = xxhash.Sum64String(s.settings.Host + "/" + host)
	}
	return slices.SortedFunc(maps.Keys(weights), func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[a], weights[b]), cmp.Compare(a, b))
	})
}

// takeoverDelay returns how much longer than others this host waits before it takes over, so that larger hosts take
// over first.
func (s State) takeoverDelay() time.Duration {
	for i := s.hostRows.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		if row, ok := r.Value.(chuteaction.HostRow); ok && row.Share > largerHostRatio*s.settings.CPUShare {
			return smallHostTakeoverDelay
		}
	}
	return 0
}

// handOverDelay returns how much longer than others this host waits before it takes over from a leader that stops as
// planned: the longer, the more hosts have started later. In a rolling restart, a host that has just been restarted is
// the one that will not stop next.
func (s State) handOverDelay() time.Duration {
	own, _ := s.hostRows.Get(s.settings.Host)
	younger := 0
	for i := s.hostRows.Iterator(); !i.Done(); {
		if host, r, _ := i.Next(); host != s.settings.Host && r.Version > own.Version {
			younger++
		}
	}
	return min(time.Duration(younger)*handOverStep, maxHandOverDelay)
}
