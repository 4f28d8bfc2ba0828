package chutescheduler

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutemaintenance"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// machineInterval is the time between two looks at the machines while a wave goes on.
	machineInterval = time.Second
	// machineWait is how long a new scheduler gives no orders about machines, so that those of a former one have ended.
	machineWait = 4 * time.Second
	// machineProof is the age of the latest successful write over which a scheduler gives no orders about machines.
	machineProof = time.Second
	// emptyLimit is how long a machine may take to be emptied before it goes down all the same.
	emptyLimit = 4 * time.Second
)

// waveState is a wave together with what is on the way for it.
type waveState struct {
	chutemaintenance.Wave
	told     bool                 // its latest state is recorded
	closedAt map[string]time.Time // since when machines are being emptied; never changed once stored
	ordered  map[string]bool      // machines whose order is on the way; never changed once stored
}

// driveWaves carries out the waves that the operators ask for.
func (t *turn) driveWaves() {
	for _, row := range t.Environment.Waves {
		if _, known := t.waves.Get(row.Wave); !known {
			t.Log(part, "wave asked for", "", "wave", row.Wave, "machines", len(row.Machines), "limit", row.MaxDown)
			t.waves = t.waves.Set(row.Wave, waveState{Wave: chutemaintenance.New(row.Wave, row.Machines, row.MaxDown)})
		}
	}
	if !t.wavesOpen() || t.Now.Sub(t.LeaderSince) < machineWait || t.Now.Sub(t.Environment.ConfirmedAt) > machineProof {
		return
	}
	if t.Now.Sub(t.machinesAskedAt) >= machineInterval {
		t.machinesAskedAt = t.Now
		t.Emit(chuteaction.ListMachines{})
	}
	for i := t.waves.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		t.emptyMachines(w)
	}
}

func (t *turn) wavesOpen() bool {
	for i := t.waves.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		if !w.Completed() || !w.told {
			return true
		}
	}
	return false
}

// Machines takes the platform's list of machines.
func (s State) HandleMachinesListed(t *chuteaction.Transition, environment chuterunner.Environment, e chuteaction.MachinesListed) State {
	u := s.turn(t, environment)
	if !e.Answered {
		t.Count("machines-missed", "no-answer")
		return u.state()
	}
	u.machines = e.Machines
	for i := u.waves.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		u.advanceWave(w)
	}
	u.closeWorkers()
	return u.state()
}

// advanceWave chooses the machines that go down next, and tells how far the wave has come.
func (t *turn) advanceWave(w waveState) {
	before := w.Completed()
	w.Wave = w.WithListed(t.machines)
	for _, id := range w.NextToDrain(t.machines, t.endCost) {
		w.Wave = w.WithDraining(id)
		closed := map[string]time.Time{id: t.Now}
		for k, v := range w.closedAt {
			closed[k] = v
		}
		w.closedAt = closed
		t.Log(part, "machine is emptied for its maintenance", "", "wave", w.Number, "machine", id)
	}
	w.told = w.told && before == w.Completed()
	t.waves = t.waves.Set(w.Number, w)
	t.tellWave(w)
}

// tellWave asks for the record of a wave's state, if it has changed.
func (t *turn) tellWave(w waveState) {
	if w.told {
		return
	}
	w.told = true
	t.waves = t.waves.Set(w.Number, w)
	t.Log(part, "wave", "", "wave", w.Number, "done", len(w.Done), "of", len(w.Machines), "completed", w.Completed())
	t.Emit(chuteaction.WriteRows{Token: t.NewToken(), Put: []chuteaction.Row{{
		RowKey: chuteaction.WaveKey(w.Number), Value: chuteaction.WaveStateRow{Wave: w.Number, Completed: w.Completed()},
	}}})
}

// endCost returns what the end of the work on a worker wastes, and false if serving work there must go on.
func (t *turn) endCost(id chutetask.WorkerID) (float64, bool) {
	w, ok := t.Pool.Get(id)
	if !ok {
		return 0, true
	}
	cost := 0.0
	for _, r := range w.Runs() {
		cost += t.Unsaved(r)
		if t.LongRunning(r) && !t.mayMiss(r) {
			return 0, false
		}
	}
	return cost, true
}

// mayMiss reports whether the run's step can do without it: fewer of its tasks are away than may be.
func (t *turn) mayMiss(r chutepool.Run) bool {
	j, ok := t.Job(r.ID.Task.Job)
	if !ok {
		return true
	}
	away := 0
	for _, task := range j.Tasks(r.ID.Task.StepID) {
		if task.Phase != chutetask.TaskActive {
			away++
		}
	}
	return away < j.Step(r.ID.Task.StepID).MaxUnavailable
}

// emptyMachines stops the work on machines that are to go down, and sends them down once they are empty.
func (t *turn) emptyMachines(w waveState) {
	for _, id := range w.Draining {
		m, ok := t.machine(id)
		if !ok || w.ordered[id] {
			continue
		}
		worker, known := t.Pool.Get(m.Worker)
		if known && worker.RunCount() > 0 && t.Now.Sub(w.closedAt[id]) < emptyLimit {
			t.emptyWorker(worker)
			continue
		}
		if known && worker.RunCount() > 0 {
			if _, allowed := t.endCost(m.Worker); !allowed {
				continue
			}
		}
		ordered := map[string]bool{id: true}
		for k, v := range w.ordered {
			ordered[k] = v
		}
		w.ordered = ordered
		t.waves = t.waves.Set(w.Number, w)
		t.Log(part, "machine goes down for its maintenance", "", "wave", w.Number, "machine", id, "worker", m.Worker)
		t.Emit(chuteaction.MaintainMachine{Machine: id, Wave: w.Number, Epoch: t.Epoch})
	}
}

func (t *turn) emptyWorker(w chutepool.Worker) {
	for _, r := range w.Runs() {
		if r.Phase == chutepool.RunStopping || t.LongRunning(r) && !t.mayMiss(r) {
			continue
		}
		t.StopRun(w.ID, r.ID, "maintenance")
	}
}

func (t *turn) machine(id string) (chutemaintenance.Machine, bool) {
	at := slices.IndexFunc(t.machines, func(m chutemaintenance.Machine) bool { return m.ID == id })
	if at < 0 {
		return chutemaintenance.Machine{}, false
	}
	return t.machines[at], true
}

// closeWorkers keeps new work off the workers whose machines are about to go down.
func (t *turn) closeWorkers() {
	closing := make(map[chutetask.WorkerID]bool)
	for i := t.waves.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		for _, machine := range w.Draining {
			if m, ok := t.machine(machine); ok {
				closing[m.Worker] = true
			}
		}
	}
	t.Cordoned = closing
}

// Maintained takes the end of an order to maintain a machine.
func (s State) HandleMachineMaintained(t *chuteaction.Transition, environment chuterunner.Environment, e chuteaction.MachineMaintained) State {
	u := s.turn(t, environment)
	w, ok := u.waves.Get(e.Wave)
	if !ok || e.Epoch != u.Epoch {
		return u.state()
	}
	ordered := make(map[string]bool)
	for k, v := range w.ordered {
		ordered[k] = v && k != e.Machine
	}
	w.ordered = ordered
	switch e.Outcome {
	case chuteaction.OrderAccepted, chuteaction.OrderMisdirected:
		t.Log(part, "machine is maintained", "", "wave", e.Wave, "machine", e.Machine)
		w.Wave = w.WithDone(e.Machine)
		w.told = w.told && !w.Completed()
	case chuteaction.OrderRefused, chuteaction.OrderUnhealthy, chuteaction.OrderUnknown:
		t.Count("maintenance-repeated", e.Reason)
		t.Log(part, "maintenance was not begun", "", "wave", e.Wave, "machine", e.Machine, "reason", e.Reason)
	}
	u.waves = u.waves.Set(w.Number, w)
	u.tellWave(w)
	u.closeWorkers()
	return u.state()
}
