package chuteentry

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
)

// announce records which process of this host runs, so that a successor knows that a former one has ended.
func (t *turn) announce() {
	t.state.announcement = t.NewToken()
	t.Emit(chuteaction.WriteRows{Token: t.state.announcement, Put: []chuteaction.Row{{
		RowKey: chuteaction.HostKey(t.state.settings.Host),
		Value:  chuteaction.HostRow{Host: t.state.settings.Host, Process: t.state.settings.Process, Address: t.state.settings.RelayAddress, Share: t.state.settings.CPUShare},
	}}})
}

// judgeLeader compares the leader's process with the one that its host is known to run.
func (t *turn) judgeLeader() {
	host := t.state.leader.Row().Host
	r, ok := t.state.processes.Get(host)
	if !ok {
		return
	}
	if row, ok := r.Value.(chuteaction.HostRow); ok {
		t.state.leader = t.state.leader.HandleProcess(t.Transition, host, row.Process, r.Version)
	}
}

// hostsChanged learns where the other hosts take requests to the store.
func (t *turn) hostsChanged(e chuteaction.TableChanged) {
	known := t.state.peers
	for _, r := range e.Rows {
		if row, ok := r.Value.(chuteaction.HostRow); ok {
			t.state.processes = t.state.processes.Set(row.Host, r)
		}
		if row, ok := r.Value.(chuteaction.HostRow); ok && row.Host != t.state.settings.Host && row.Address != "" {
			t.state.peers = t.state.peers.Set(row.Host, row.Address)
		}
	}
	t.judgeLeader()
	t.state.leader = t.state.leader.WithTakeoverDelay(t.state.patience())
	if t.state.peers == known {
		return
	}
	var addresses []string
	for i := t.state.peers.Iterator(); !i.Done(); {
		_, address, _ := i.Next()
		addresses = append(addresses, address)
	}
	t.Emit(chuteaction.SetPeers{Addresses: addresses})
}

// patience returns how much longer this host waits than others before it takes over: larger hosts come first.
func (s State) patience() time.Duration {
	for i := s.processes.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		if row, ok := r.Value.(chuteaction.HostRow); ok && row.Share > muchLarger*s.settings.CPUShare {
			return smallHostPatience
		}
	}
	return 0
}
