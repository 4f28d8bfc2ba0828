package chuteentry_test

import (
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteentry"
	"monsoonchute.example/monsoonchute/chuteledger"
)

// fakeHost is one process of an entry host, with the effects of its core carried out on the simulation.
type fakeHost struct {
	sim           *simulation
	name          string
	process       string
	state         chuteentry.State
	dead          bool
	paused        bool
	pendingEvents []chuteaction.Event // events received while paused
	disconnected  bool                // the host does not reach the store
	silentTable   chuteaction.Table   // the host gets no answers about this table; 0 for none
	disturbedAt   time.Time           // latest time at which it started, was paused or did not reach the store
	watches       map[chuteaction.Table]int
	lastWatch     int
}

func (sm *simulation) startHost(name string) *fakeHost {
	return sm.startHostWithShare(name, 0)
}

// startHostWithShare starts a host with the CPU share in cores.
func (sm *simulation) startHostWithShare(name string, share float64) *fakeHost {
	sm.lastNumber++
	h := &fakeHost{
		sim: sm, name: name, process: fmt.Sprintf("%s-%d", name, sm.lastNumber), disturbedAt: sm.now, watches: make(map[chuteaction.Table]int),
	}
	h.state = chuteentry.New(chuteentry.Settings{
		Host: name, Process: h.process, RelayAddress: name, CPUShare: share, Jitter: time.Duration(sm.random.Int64N(int64(200 * time.Millisecond))),
		Bounds: chuteledger.Bounds{MaxLease: sm.fleet.lease, GangTimeout: gangTimeout, StopTimeout: stopTimeout, HeartbeatInterval: heartbeat},
	})
	sm.hosts[name] = h
	h.tick()
	return h
}

func (h *fakeHost) tick() {
	if h.dead {
		return
	}
	if h.paused || h.sim.store.unreachable(h) || h.sim.store.lostAnswerRate > 0 {
		h.disturbedAt = h.sim.now
	}
	h.deliver(chuteaction.Tick{})
	h.sim.after(50*time.Millisecond, h.tick)
}

// deliver passes an event to the core. A dead process drops it; a paused one handles it when it resumes.
func (h *fakeHost) deliver(event chuteaction.Event) {
	if h.dead {
		return
	}
	if h.paused {
		h.pendingEvents = append(h.pendingEvents, event)
		return
	}
	var effects []chuteaction.Effect
	h.state, effects = chuteentry.Step(h.state, chuteaction.TimedEvent{At: h.sim.now, Event: event})
	for _, effect := range effects {
		h.execute(effect)
	}
}

func (h *fakeHost) pause(d time.Duration) {
	h.paused = true
	h.sim.after(d, func() {
		h.paused = false
		held := h.pendingEvents
		h.pendingEvents = nil
		for _, event := range held {
			h.deliver(event)
		}
	})
}

func (h *fakeHost) leads() bool {
	return !h.dead && h.state.Leads()
}

// execute carries out an effect of the host's core.
func (h *fakeHost) execute(effect chuteaction.Effect) {
	sm := h.sim
	switch f := effect.(type) {
	case chuteaction.WriteRows:
		sm.store.write(h, f)
	case chuteaction.ReadRows:
		sm.store.read(h, f)
	case chuteaction.WatchTable:
		h.lastWatch++
		h.watches[f.Table] = h.lastWatch
		sm.store.list(h, f, h.lastWatch)
	case chuteaction.UnwatchTable:
		delete(h.watches, f.Table)
	case chuteaction.StartRun:
		h.queueStart(f)
	case chuteaction.StopRun:
		sent := sm.now
		sm.sendOrder(h, f.WorkerTarget, func(k *fakeWorker) chuteaction.Event { return k.handleStop(f, sent) },
			chuteaction.RunStopped{Epoch: f.Epoch, Worker: f.Worker, SentAt: sent, Run: f.Run, Outcome: chuteaction.OrderUnknown})
	case chuteaction.RenewLease:
		sm.sendRenewal(h, f)
	case chuteaction.ForwardRows:
		sm.after(sm.jittered(storeDelay), func() {
			if to := sm.hosts[f.Address]; to != nil && !sm.chance(0.2) {
				to.deliver(chuteaction.RowsForwarded{Rows: f.Rows})
			}
		})
	case chuteaction.AnswerCall:
		sm.clients.deliverAnswer(f)
	case chuteaction.LogLine:
		sm.logLines = append(sm.logLines, fmt.Sprintf("%9s %s %s: %s %s %v", sm.elapsed().Round(time.Millisecond), h.name, f.Component, f.Text, f.Job, f.Fields))
	case chuteaction.ListMachines:
		sm.listMachines(h)
	case chuteaction.MaintainMachine:
		sm.after(sm.jittered(storeDelay), func() { h.deliver(sm.maintain(f)) })
	case chuteaction.RequestApproval:
		sm.after(100*time.Millisecond, func() { h.deliver(sm.approve(f)) })
	case chuteaction.PaceRun:
		if k := sm.workers[string(f.Worker)]; k != nil && k.runs[f.Run] != nil {
			k.runs[f.Run].pace = f.Percent
		}
	case chuteaction.SetPeers, chuteaction.DisconnectWorker, chuteaction.Count, chuteaction.Observe, chuteaction.SetGauge, chuteaction.Stopped:
	}
}

// queueStart sends a start order after it has waited on the host, unless it is too late by then.
func (h *fakeHost) queueStart(o chuteaction.StartRun) {
	sm := h.sim
	if sm.maxOrderWait == 0 {
		h.sendStart(o)
		return
	}
	sm.after(time.Duration(sm.random.Int64N(int64(sm.maxOrderWait))), func() {
		switch {
		case h.dead:
		case sm.now.After(o.SendBefore):
			h.deliver(chuteaction.RunStarted{Epoch: o.Epoch, Worker: o.Worker, Run: o.Run, Outcome: chuteaction.OrderNotSent})
		default:
			h.sendStart(o)
		}
	})
}

func (h *fakeHost) sendStart(o chuteaction.StartRun) {
	if k := h.sim.workers[string(o.Worker)]; k != nil && h.sim.beforeStart != nil {
		h.sim.beforeStart(k, o)
	}
	from := sender{sentAt: h.sim.now, inTouch: h.sim.now.Sub(h.disturbedAt) >= contactTime}
	h.sim.sendOrder(h, o.WorkerTarget, func(k *fakeWorker) chuteaction.Event { return k.handleStart(o, from) },
		chuteaction.RunStarted{Epoch: o.Epoch, Worker: o.Worker, Run: o.Run, Outcome: chuteaction.OrderUnknown})
}
