package chutescheduler

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutemaintenance"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// machineListInterval is the shortest time between two requests for the list of machines while a wave is open.
	machineListInterval = time.Second
	// machineOrderDelay is how long a new scheduler sends no orders about machines, so that its predecessor's have ended.
	machineOrderDelay = 4 * time.Second
	// maxConfirmedAge is the age of the latest successful write that bars orders about machines, as another host may lead.
	maxConfirmedAge = time.Second
	// drainTimeout limits a drain. Then the machine goes down with the runs that remain, unless one of them must go on.
	drainTimeout = 4 * time.Second
)

// waveState is a maintenance wave together with its drains and orders in progress.
type waveState struct {
	chutemaintenance.Wave
	recorded       bool                 // the store was asked to record the latest state
	drainingSince  map[string]time.Time // start of the drain by machine; the map is never modified
	ordersInFlight map[string]bool      // machines with an unanswered order; the map is never modified
}

// processWaves adds the waves that operators requested and advances the open ones.
func (t *transition) processWaves() {
	for _, row := range t.Environment.Waves {
		if _, known := t.waves.Get(row.Wave); !known {
			t.Log(component, "maintenance wave requested", "", "wave", row.Wave, "machines", len(row.Machines), "limit", row.MaxDown)
			t.waves = t.waves.Set(row.Wave, waveState{Wave: chutemaintenance.New(row.Wave, row.Machines, row.MaxDown)})
		}
	}
	if !t.hasOpenWave() || t.Now.Sub(t.LeaderSince) < machineOrderDelay || t.Now.Sub(t.Environment.ConfirmedAt) > maxConfirmedAge {
		return
	}
	if t.Now.Sub(t.machinesRequestedAt) >= machineListInterval {
		t.machinesRequestedAt = t.Now
		t.Emit(chuteaction.ListMachines{})
	}
	for i := t.waves.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		t.drainMachines(w)
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
func (s State) HandleMachinesListed(t *chuteaction.Transition, environment chuterunner.Environment, e chuteaction.MachinesListed) State {
	u := s.transition(t, environment)
	if !e.Answered {
		t.Count("machines-missed", "no-answer")
		return u.state()
	}
	u.machines = e.Machines
	for i := u.waves.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		u.advanceWave(w)
	}
	u.cordonWorkers()
	return u.state()
}

// advanceWave begins to drain the machines that go down next, and records the wave's state.
func (t *transition) advanceWave(w waveState) {
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
func (t *transition) recordWave(w waveState) {
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

// stopCost returns the unsaved core-seconds lost if a worker's runs stop, and false if a long-running one must go on.
func (t *transition) stopCost(id chutetask.WorkerID) (float64, bool) {
	w, ok := t.Pool.Get(id)
	if !ok {
		return 0, true
	}
	cost := 0.0
	for _, r := range w.Runs() {
		cost += t.UnsavedWork(r)
		if t.LongRunning(r) && !t.mayStop(r) {
			return 0, false
		}
	}
	return cost, true
}

// mayStop reports whether the run's step tolerates its stop: fewer of its tasks are inactive than may be unavailable.
func (t *transition) mayStop(r chutepool.Run) bool {
	j, ok := t.Job(r.ID.Task.Job)
	if !ok {
		return true
	}
	inactive := 0
	for _, task := range j.Tasks(r.ID.Task.StepID) {
		if task.Phase != chutetask.TaskActive {
			inactive++
		}
	}
	return inactive < j.Step(r.ID.Task.StepID).MaxUnavailable
}

// drainMachines stops the runs on the wave's draining machines and orders the maintenance of each that is empty.
func (t *transition) drainMachines(w waveState) {
	for _, id := range w.Draining {
		m, ok := chutemaintenance.Find(t.machines, id)
		if !ok || w.ordersInFlight[id] {
			continue
		}
		worker, known := t.Pool.Get(m.Worker)
		if known && worker.RunCount() > 0 && t.Now.Sub(w.drainingSince[id]) < drainTimeout {
			t.drainWorker(worker)
			continue
		}
		if known && worker.RunCount() > 0 {
			if _, allowed := t.stopCost(m.Worker); !allowed {
				continue
			}
		}
		ordersInFlight := map[string]bool{id: true}
		for k, v := range w.ordersInFlight {
			ordersInFlight[k] = v
		}
		w.ordersInFlight = ordersInFlight
		t.waves = t.waves.Set(w.Number, w)
		t.Log(component, "machine maintenance ordered", "", "wave", w.Number, "machine", id, "worker", m.Worker)
		t.Emit(chuteaction.MaintainMachine{Machine: id, Wave: w.Number, Epoch: t.Epoch})
	}
}

// drainWorker stops the runs on a worker, except those that must go on.
func (t *transition) drainWorker(w chutepool.Worker) {
	for _, r := range w.Runs() {
		if r.Phase == chutepool.RunStopping || t.LongRunning(r) && !t.mayStop(r) {
			continue
		}
		t.StopRun(w.ID, r.ID, "maintenance")
	}
}

// cordonWorkers keeps new runs off the workers whose machines are being drained.
func (t *transition) cordonWorkers() {
	cordoned := make(map[chutetask.WorkerID]bool)
	for i := t.waves.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		for _, machine := range w.Draining {
			if m, ok := chutemaintenance.Find(t.machines, machine); ok {
				cordoned[m.Worker] = true
			}
		}
	}
	t.Cordoned = cordoned
}

// HandleMachineMaintained handles the outcome of an order to maintain a machine. A failed order is repeated later.
func (s State) HandleMachineMaintained(t *chuteaction.Transition, environment chuterunner.Environment, e chuteaction.MachineMaintained) State {
	u := s.transition(t, environment)
	w, ok := u.waves.Get(e.Wave)
	if !ok || e.Epoch != u.Epoch {
		return u.state()
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
		t.Log(component, "machine maintenance not begun", "", "wave", e.Wave, "machine", e.Machine, "reason", e.Reason)
	}
	u.waves = u.waves.Set(w.Number, w)
	u.recordWave(w)
	u.cordonWorkers()
	return u.state()
}
