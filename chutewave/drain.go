package chutewave

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutemaintenance"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chutetask"
)

// drainTimeout limits a drain. Then the machine goes down with the runs that remain, unless one of them must go on.
const drainTimeout = 4 * time.Second

// stopCost returns the unsaved core-seconds lost if a worker's runs stop, and false if a long-running one must go on.
func (t *transition) stopCost(id chutetask.WorkerID) (float64, bool) {
	w, ok := t.Pool.Get(id)
	if !ok {
		return 0, true
	}
	cost := 0.0
	for _, r := range w.Runs() {
		cost += t.UnsavedWork(r)
		if t.LongRunning(r) && r.Phase != chutepool.RunStopping && !t.mayStop(r) {
			return 0, false
		}
	}
	return cost, true
}

// mayStop reports whether the run's step tolerates its stop.
func (t *transition) mayStop(r chutepool.Run) bool {
	j, ok := t.Job(r.ID.Task.Job)
	return !ok || t.SpareTasks(j, r.ID.Task.StepID) > 0
}

// drainMachines stops the runs on the wave's draining machines and orders the maintenance of each that is empty.
func (t *transition) drainMachines(w wave) {
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
		if known {
			t.PutWorker(worker.WithMaintenance(true))
		}
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
