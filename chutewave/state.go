package chutewave

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutemaintenance"
	"monsoonchute.example/monsoonchute/chuterunner"
)

const (
	component = "scheduler" // the waves log as part of the scheduler
	// machineListInterval is the shortest time between two requests for the list of machines while a wave is open.
	machineListInterval = time.Second
	// machineOrderDelay is how long a new scheduler sends no orders about machines, so that its predecessor's have ended.
	machineOrderDelay = 4 * time.Second
	// maxConfirmedAge is the age of the latest successful write that bars orders about machines, as another host may lead.
	maxConfirmedAge = time.Second
)

// State is the immutable state of all waves of maintenance.
type State struct {
	waves    *immutable.SortedMap[int, wave]
	machines []chutemaintenance.Machine // the platform's latest list
	// machinesRequestedAt is when the latest request for the list of machines was sent.
	machinesRequestedAt time.Time
}

// New returns the state without waves.
func New() State {
	return State{waves: immutable.NewSortedMap[int, wave](nil)}
}

// transition is the working copy of the state while one event is handled.
type transition struct {
	*chuterunner.Transition
	State
}

// wave is a maintenance wave together with its drains and orders in progress.
type wave struct {
	chutemaintenance.Wave
	recorded       bool                 // the store was asked to record the latest state
	drainingSince  map[string]time.Time // start of the drain by machine; the map is never modified
	ordersInFlight map[string]bool      // machines with an unanswered order; the map is never modified
}

// Tick adds the waves that operators requested and advances the open ones.
func (s State) Tick(r *chuterunner.Transition) State {
	t := &transition{Transition: r, State: s}
	t.addWaves()
	if t.hasOpenWave() && t.mayOrder() {
		t.listMachines()
		for i := t.waves.Iterator(); !i.Done(); {
			_, w, _ := i.Next()
			t.drainMachines(w)
		}
	}
	return t.State
}

// addWaves adds the waves that operators requested.
func (t *transition) addWaves() {
	for _, row := range t.Environment.Waves {
		if _, known := t.waves.Get(row.Wave); !known {
			t.Log(component, "maintenance wave requested", "", "wave", row.Wave, "machines", len(row.Machines), "limit", row.MaxDown)
			t.waves = t.waves.Set(row.Wave, wave{Wave: chutemaintenance.New(row.Wave, row.Machines, row.MaxDown)})
		}
	}
}

// mayOrder reports whether this scheduler may send orders about machines now.
func (t *transition) mayOrder() bool {
	return t.Now.Sub(t.LeaderSince) >= machineOrderDelay && t.Now.Sub(t.Environment.ConfirmedAt) <= maxConfirmedAge && !t.Environment.OperatorsOld
}

// listMachines requests the list of machines if that is due.
func (t *transition) listMachines() {
	if t.Now.Sub(t.machinesRequestedAt) >= machineListInterval {
		t.machinesRequestedAt = t.Now
		t.Emit(chuteaction.ListMachines{})
	}
}

// hasOpenWave reports whether any wave is incomplete or its latest state is unrecorded.
func (t *transition) hasOpenWave() bool {
	for i := t.waves.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		if !w.Completed() || !w.recorded {
			return true
		}
	}
	return false
}

// HandleMachinesListed handles the platform's answer to a request for its list of machines.
func (s State) HandleMachinesListed(r *chuterunner.Transition, e chuteaction.MachinesListed) State {
	t := &transition{Transition: r, State: s}
	if !e.Answered {
		t.Count("machines-missed", "no-answer")
		return s
	}
	t.machines = e.Machines
	for i := t.waves.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		t.advanceWave(w)
	}
	t.cordonWorkers()
	return t.State
}

// advanceWave begins to drain the machines that go down next, and records the wave's state.
func (t *transition) advanceWave(w wave) {
	before := w.Completed()
	w.Wave = w.WithListed(t.machines)
	for _, id := range w.NextToDrain(t.machines, t.stopCost) {
		w.Wave = w.WithDraining(id)
		drainingSince := map[string]time.Time{id: t.Now}
		for k, v := range w.drainingSince {
			drainingSince[k] = v
		}
		w.drainingSince = drainingSince
		t.Log(component, "machine drain begins for maintenance", "", "wave", w.Number, "machine", id)
	}
	w.recorded = w.recorded && before == w.Completed()
	t.waves = t.waves.Set(w.Number, w)
	t.recordWave(w)
}

// recordWave writes the wave's state to the store if it has changed.
func (t *transition) recordWave(w wave) {
	if w.recorded {
		return
	}
	w.recorded = true
	t.waves = t.waves.Set(w.Number, w)
	t.Log(component, "wave", "", "wave", w.Number, "done", len(w.Done), "of", len(w.Machines), "completed", w.Completed())
	t.Emit(chuteaction.WriteRows{Token: t.NewToken(), Put: []chuteaction.Row{{
		RowKey: chuteaction.WaveKey(w.Number), Value: chuteaction.WaveStateRow{Wave: w.Number, Completed: w.Completed()},
	}}})
}

// HandleMachineMaintained handles the outcome of an order to maintain a machine. A failed order is repeated later.
func (s State) HandleMachineMaintained(r *chuterunner.Transition, e chuteaction.MachineMaintained) State {
	t := &transition{Transition: r, State: s}
	w, ok := t.waves.Get(e.Wave)
	if !ok || e.Epoch != t.Epoch {
		return s
	}
	ordersInFlight := make(map[string]bool)
	for k, v := range w.ordersInFlight {
		ordersInFlight[k] = v && k != e.Machine
	}
	w.ordersInFlight = ordersInFlight
	switch e.Outcome {
	case chuteaction.OrderAccepted, chuteaction.OrderMisdirected:
		t.Log(component, "machine maintenance begun", "", "wave", e.Wave, "machine", e.Machine)
		w.Wave = w.WithDone(e.Machine)
		w.recorded = w.recorded && !w.Completed()
	case chuteaction.OrderRefused, chuteaction.OrderUnhealthy, chuteaction.OrderUnreachable, chuteaction.OrderUnknown,
		chuteaction.OrderNotSent:
		t.Count("maintenance-repeated", e.Reason)
		t.keepWorker(e)
		t.Log(component, "machine maintenance not begun", "", "wave", e.Wave, "machine", e.Machine, "reason", e.Reason)
	}
	t.waves = t.waves.Set(w.Number, w)
	t.recordWave(w)
	t.cordonWorkers()
	return t.State
}

// keepWorker notes that the worker of a machine goes on, as its maintenance has certainly not begun.
func (t *transition) keepWorker(e chuteaction.MachineMaintained) {
	m, ok := chutemaintenance.Find(t.machines, e.Machine)
	if !ok || e.Outcome == chuteaction.OrderUnknown {
		return
	}
	if worker, known := t.Pool.Get(m.Worker); known {
		t.PutWorker(worker.WithMaintenance(false))
	}
}
