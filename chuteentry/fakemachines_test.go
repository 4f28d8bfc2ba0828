package chuteentry_test

import (
	"slices"
	"strings"
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutemaintenance"
	"monsoonchute.example/monsoonchute/chutetask"
)

// fakeMachineService lists the machines of the workers.
type fakeMachineService struct {
	available bool                 // also while there is no wave of maintenance
	lag       time.Duration        // age of the lists
	leftOut   []chutetask.WorkerID // workers that the lists leave out
}

// listMachines lets the service answer a request for its list.
func (sm *simulation) listMachines(h *fakeHost) {
	sent := sm.now
	sm.after(sm.jittered(storeDelay), func() {
		answered := sm.machineService.available || sm.hasWave()
		h.deliver(chuteaction.MachinesListed{SentAt: sent, Answered: answered, Machines: sm.machineList()})
	})
}

// hasWave reports whether the operators have requested a wave of maintenance.
func (sm *simulation) hasWave() bool {
	for key := range sm.store.rows {
		if key.Table == chuteaction.TableOperator && strings.HasPrefix(key.Key, "wave/") {
			return true
		}
	}
	return false
}

// machineList returns one machine for each worker; its id is the worker's name with the prefix "m-".
func (sm *simulation) machineList() []chutemaintenance.Machine {
	var machines []chutemaintenance.Machine
	for _, k := range sm.sortedWorkers() {
		if slices.Contains(sm.machineService.leftOut, k.listing.ID) {
			continue
		}
		m := chutemaintenance.Machine{ID: "m-" + string(k.listing.ID), State: chutemaintenance.MachineUp, Worker: k.listing.ID}
		if !k.livedAt(sm.now.Add(-sm.machineService.lag)) {
			m.State = chutemaintenance.MachineMaintained
		}
		machines = append(machines, m)
	}
	return machines
}

// livedAt reports whether the worker's process ran at the time, as far as its present and latest life tell.
func (k *fakeWorker) livedAt(t time.Time) bool {
	if t.Before(k.startedAt) {
		return !t.Before(k.firstStartedAt) && !t.After(k.endedLastAt)
	}
	return !k.dead || t.Before(k.endedLastAt)
}
