package chuteentry

import (
	"maps"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteleader"
	"monsoonchute.example/monsoonchute/chutescheduler"
)

// Step handles one event: it returns the next state and what is asked of the outside.
func Step(s State, timed chuteaction.Timed) (State, []chuteaction.Effect) {
	t := &turn{Turn: chuteaction.NewTurn(timed.At, s.token), state: s}
	t.start()
	switch e := timed.Event.(type) {
	case chuteaction.Tick:
		t.tick()
	case chuteaction.CallArrived:
		t.state.intake = t.state.intake.Arrive(t.Turn, t.state.intakeView(t.Now), e)
	case chuteaction.CallLeft:
		t.state.intake = t.state.intake.Leave(e.ID)
	case chuteaction.RowsWritten:
		t.written(e)
	case chuteaction.RowsRead:
		t.read(e)
	case chuteaction.TableChanged:
		t.changed(e)
	case chuteaction.RowsTold:
		t.told(e.Rows)
	case chuteaction.TableSilent:
		t.Count("feed-silent", e.Table.String())
	case chuteaction.RunStarted:
		t.ordered(func(c chutescheduler.State) (chutescheduler.State, bool) {
			return c.Started(t.Turn, t.state.environment(), e)
		})
	case chuteaction.RunStopped:
		t.ordered(func(c chutescheduler.State) (chutescheduler.State, bool) {
			return c.Stopped(t.Turn, t.state.environment(), e)
		})
	case chuteaction.LeaseRenewed:
		t.ordered(func(c chutescheduler.State) (chutescheduler.State, bool) {
			return c.Renewed(t.Turn, t.state.environment(), e)
		})
	case chuteaction.StepApproved:
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.Approved(t.Turn, t.state.environment(), e))
		}
	case chuteaction.MachinesListed:
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.Machines(t.Turn, t.state.environment(), e))
		}
	case chuteaction.MachineMaintained:
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.Maintained(t.Turn, t.state.environment(), e))
		}
	case chuteaction.StopWanted:
		t.stop(e.Within)
	}
	t.finish()
	t.state.token = t.LastToken()
	return t.state, t.Effects
}

// turn is the handling of one event.
type turn struct {
	*chuteaction.Turn
	state State
}

// start asks for what every host follows, once.
func (t *turn) start() {
	if t.state.started {
		return
	}
	t.state.started = true
	t.announce()
	t.Emit(chuteaction.FollowTable{Table: chuteaction.TableOperator, Wait: operatorWait})
	t.Emit(chuteaction.FollowTable{Table: chuteaction.TableLeaders, Pause: leaderPause, Wait: leaderWait})
	t.Emit(chuteaction.FollowTable{Table: chuteaction.TableHosts, Pause: leaderPause, Wait: hostsWait})
}

// announce records which process of this host runs, so that a successor knows that a former one has ended.
func (t *turn) announce() {
	t.state.announcement = t.Token()
	t.Emit(chuteaction.WriteRows{Token: t.state.announcement, Put: []chuteaction.Row{{
		RowKey: chuteaction.HostKey(t.state.settings.Host),
		Value:  chuteaction.HostRow{Host: t.state.settings.Host, Process: t.state.settings.Process, Address: t.state.settings.Relay, Share: t.state.settings.Share},
	}}})
}

func (t *turn) tick() {
	if t.state.announceAt.Before(t.Now) && !t.state.announceAt.IsZero() {
		t.state.announceAt = time.Time{}
		t.announce()
	}
	t.state.intake = t.state.intake.Tick(t.Turn)
	if t.state.stopping && t.state.scheduler == nil && t.state.leader.Role() == chuteleader.RoleFollower {
		return
	}
	leader, verdict := t.state.leader.Tick(t.Turn)
	t.state.leader = leader
	t.applyVerdict(verdict)
	if t.state.scheduler != nil {
		t.setScheduler(t.state.scheduler.Tick(t.Turn, t.state.environment()))
	}
}

// contact notes an answer of the store.
func (t *turn) contact() {
	if t.Now.Sub(t.state.contactAt) > steadyGap {
		t.state.steadyAt = t.Now
	}
	t.state.contactAt = t.Now
}

func (t *turn) setScheduler(c chutescheduler.State) {
	t.state.scheduler = &c
}

// ordered lets the scheduler handle the end of an order; a worker that has seen a higher epoch deposes this host.
func (t *turn) ordered(handle func(chutescheduler.State) (chutescheduler.State, bool)) {
	if t.state.scheduler == nil {
		return
	}
	next, fenced := handle(*t.state.scheduler)
	t.setScheduler(next)
	if fenced {
		t.Warn(part, "a worker has seen a higher epoch", "", "epoch", next.Epoch())
		t.state.leader = t.state.leader.Depose(t.Now)
		t.applyVerdict(chuteleader.VerdictDeposed)
	}
}

func (t *turn) written(e chuteaction.RowsWritten) {
	if e.Outcome == chuteaction.StoreDone || e.Outcome == chuteaction.StoreConflict {
		t.contact()
	}
	if e.Token == t.state.announcement {
		if e.Outcome != chuteaction.StoreDone {
			t.state.announceAt = t.Now.Add(announcePause)
		}
		return
	}
	if t.state.leader.Owns(e.Token) {
		leader, verdict := t.state.leader.Written(t.Turn, e)
		t.state.leader = leader
		t.applyVerdict(verdict)
		return
	}
	intake, rows := t.state.intake.Written(t.Turn, e)
	t.state.intake = intake
	t.tellLeader(rows)
}

// tellLeader hands rows about jobs to the scheduler, wherever it is: its own reading of the store may lag.
func (t *turn) tellLeader(rows []chuteaction.Row) {
	switch address, known := t.state.peers.Get(t.state.leader.Row().Host); {
	case len(rows) == 0:
	case t.state.scheduler != nil:
		t.told(rows)
	case known:
		t.Emit(chuteaction.TellLeader{Address: address, Rows: rows, At: t.Now})
	}
}

// told hands rows about jobs to the scheduler of this host, if it has one.
func (t *turn) told(rows []chuteaction.Row) {
	if t.state.scheduler == nil {
		t.Count("news-dropped", "not-leading")
		return
	}
	t.setScheduler(t.state.scheduler.Submissions(t.Turn, t.state.environment(), chuteaction.TableChanged{
		Table: chuteaction.TableJobs, Rows: rows,
	}))
}

// applyVerdict draws the consequence of a leader's write.
func (t *turn) applyVerdict(verdict chuteleader.Verdict) {
	switch verdict {
	case chuteleader.VerdictNone:
	case chuteleader.VerdictElected:
		t.setScheduler(chutescheduler.New(t.Turn, t.state.leader.Epoch(), t.state.leader.Former(), t.state.settings.Bounds))
		t.Emit(chuteaction.UnfollowTable{Table: chuteaction.TableLeaders})
	case chuteleader.VerdictCommitted:
		if t.state.leader.Row().Released {
			t.endScheduler()
			return
		}
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.Committed(t.Turn, t.state.environment()))
		}
	case chuteleader.VerdictDeposed:
		t.endScheduler()
	}
}

func (t *turn) endScheduler() {
	if t.state.scheduler == nil {
		return
	}
	t.Log(part, "this host leads no longer", "", "epoch", t.state.scheduler.Epoch())
	t.state.scheduler.End(t.Turn)
	t.state.scheduler = nil
	t.state.leader = t.state.leader.Depose(t.Now)
	t.Emit(chuteaction.FollowTable{Table: chuteaction.TableLeaders, Pause: leaderPause, Wait: leaderWait})
}

func (t *turn) read(e chuteaction.RowsRead) {
	if e.Outcome == chuteaction.StoreDone {
		t.contact()
	}
	if t.state.scheduler != nil && t.state.scheduler.Owns(e.Token) {
		t.setScheduler(t.state.scheduler.Read(t.Turn, t.state.environment(), e))
		return
	}
	t.state.intake = t.state.intake.Read(t.Turn, e)
}

func (t *turn) changed(e chuteaction.TableChanged) {
	t.contact()
	switch e.Table {
	case chuteaction.TableOperator:
		t.operatorChanged(e)
	case chuteaction.TableLeaders:
		t.state.leader = t.state.leader.WithNews(t.Turn, e.Rows)
		t.judgeLeader()
	case chuteaction.TableJobs:
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.Submissions(t.Turn, t.state.environment(), e))
		}
	case chuteaction.TableWorkers:
		if t.state.scheduler != nil {
			t.setScheduler(t.state.scheduler.Workers(t.Turn, t.state.environment(), e))
		}
	case chuteaction.TableHosts:
		t.hostsChanged(e)
	case chuteaction.TableProgress, chuteaction.TableWaves:
	}
}

// judgeLeader compares the leader's process with the one that its host is known to run.
func (t *turn) judgeLeader() {
	host := t.state.leader.Row().Host
	r, ok := t.state.processes.Get(host)
	if !ok {
		return
	}
	if row, ok := r.Value.(chuteaction.HostRow); ok {
		t.state.leader = t.state.leader.WithProcess(t.Turn, host, row.Process, r.Version)
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
	t.state.leader = t.state.leader.WithPatience(t.state.patience())
	if t.state.peers == known {
		return
	}
	var addresses []string
	for i := t.state.peers.Iterator(); !i.Done(); {
		_, address, _ := i.Next()
		addresses = append(addresses, address)
	}
	t.Emit(chuteaction.KnowPeers{Addresses: addresses})
}

// patience returns how much longer this host waits than others before it takes over: larger hosts come first.
func (s State) patience() time.Duration {
	for i := s.processes.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		if row, ok := r.Value.(chuteaction.HostRow); ok && row.Share > muchLarger*s.settings.Share {
			return smallHostPatience
		}
	}
	return 0
}

// operatorChanged adopts newer configurations and the zones in which nothing may start.
func (t *turn) operatorChanged(e chuteaction.TableChanged) {
	present := make(map[string]bool)
	for _, r := range e.Rows {
		value, ok := r.Value.(chuteaction.OperatorRow)
		if !ok {
			continue
		}
		switch row := value.(type) {
		case chuteaction.CatalogRow:
			if row.Version > t.state.catalog.Version {
				t.Log(part, "configuration in force", "", "version", row.Version, "former", t.state.catalog.Version,
					"queues", len(row.Queues), "workspaces", len(row.Workspaces))
				t.state.catalog = row.Catalog
			}
		case chuteaction.WaveRow:
			t.state.waves = append(slices.Clone(t.state.waves), row)
		case chuteaction.EvacuationRow:
			if row.Back {
				t.zoneBack(row.Zone, r.Version)
				continue
			}
			present[row.Zone] = true
			t.zoneOut(row.Zone, r.Version)
		}
	}
	if !e.Whole {
		return
	}
	for zone := range t.state.zonesOut {
		if !present[zone] {
			t.zoneBack(zone, 0)
		}
	}
}

func (t *turn) zoneOut(zone string, version chuteaction.RowVersion) {
	if t.state.zonesOut[zone] {
		return
	}
	t.Log(part, "zone is out", "", "zone", zone, "version", version)
	out := maps.Clone(t.state.zonesOut)
	out[zone] = true
	t.state.zonesOut = out
}

func (t *turn) zoneBack(zone string, version chuteaction.RowVersion) {
	if !t.state.zonesOut[zone] {
		return
	}
	t.Log(part, "zone is back", "", "zone", zone, "version", version)
	out := maps.Clone(t.state.zonesOut)
	delete(out, zone)
	t.state.zonesOut = out
}

// stop begins a planned stop: the leadership is given up and calls in progress are answered.
func (t *turn) stop(within time.Duration) {
	if t.state.stopping {
		return
	}
	t.state.stopping = true
	if within > 0 {
		t.state.intake = t.state.intake.WithEnd(t.Now.Add(within))
	}
	t.Log(part, "planned stop", "", "calls", t.state.intake.Len(), "leads", t.state.Leads())
}

// finish sends what has become due by the event: records, the heartbeat, the end of a planned stop.
func (t *turn) finish() {
	if t.state.scheduler != nil {
		t.setScheduler(t.state.scheduler.Advance(t.Turn, t.state.environment()))
		t.record()
	}
	if t.state.stopping && !t.state.stopped && t.state.scheduler == nil && t.state.intake.Len() == 0 {
		t.state.stopped = true
		t.Emit(chuteaction.Stopped{})
	}
}

// record writes what the scheduler must record, or a heartbeat if one is due.
func (t *turn) record() {
	if t.state.leader.Busy() || t.state.releasing {
		return
	}
	scheduler, rows := t.state.scheduler.Flush(maxBatchRows)
	t.setScheduler(scheduler)
	switch {
	case len(rows) > 0:
		t.state.leader = t.state.leader.Write(t.Turn, rows, nil, scheduler.Pending())
	case t.state.stopping:
		t.state.releasing = true
		t.state.leader = t.state.leader.Release(t.Turn)
	case t.Now.Sub(t.state.leader.ProvedAt()) >= chuteleader.HeartbeatInterval:
		t.state.leader = t.state.leader.Write(t.Turn, nil, nil, scheduler.Pending())
	}
}
