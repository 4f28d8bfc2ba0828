package chutemaintenance

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chutetask"
)

// MachineState is the state of a machine as the platform reports it.
type MachineState int

// The states of a machine.
const (
	MachineUp MachineState = iota + 1
	MachineMoving
	MachineMaintained // down for its maintenance
	MachineDown
)

// Machine is an entry of the platform's list of machines.
type Machine struct {
	ID     string
	State  MachineState
	Worker chutetask.WorkerID // worker on the machine; empty if there is none
}

// Find returns the machine with the id, and false if the list does not have it.
func Find(machines []Machine, id string) (Machine, bool) {
	index := slices.IndexFunc(machines, func(m Machine) bool { return m.ID == id })
	if index < 0 {
		return Machine{}, false
	}
	return machines[index], true
}

// Wave is the immutable state of a maintenance wave: an operator's request to maintain machines, a limited number at a
// time.
type Wave struct {
	Number   int
	Machines []string
	Limit    int      // number of machines that may be down at once
	Done     []string // machines whose maintenance has begun, or that the platform no longer lists
	Draining []string // machines whose runs are being stopped, or whose maintenance order is in flight
}

// New returns a wave in which no machine is done. A limit below 1 counts as 1.
func New(number int, machines []string, limit int) Wave {
	return Wave{Number: number, Machines: machines, Limit: max(1, limit)}
}

// WithDone returns the wave with the machine done and no longer draining.
func (w Wave) WithDone(machine string) Wave {
	if !slices.Contains(w.Done, machine) {
		w.Done = append(slices.Clone(w.Done), machine)
	}
	return w.WithoutDraining(machine)
}

// WithDraining returns the wave with the machine draining.
func (w Wave) WithDraining(machine string) Wave {
	if !slices.Contains(w.Draining, machine) {
		w.Draining = append(slices.Clone(w.Draining), machine)
	}
	return w
}

// WithoutDraining returns the wave with the machine no longer draining.
func (w Wave) WithoutDraining(machine string) Wave {
	w.Draining = slices.DeleteFunc(slices.Clone(w.Draining), func(m string) bool { return m == machine })
	return w
}

// Completed reports whether every machine is done.
func (w Wave) Completed() bool {
	for _, m := range w.Machines {
		if !slices.Contains(w.Done, m) {
			return false
		}
	}
	return true
}

// NextToDrain returns the machines to drain next, cheapest first, so that no more than the limit are down or draining.
// The function stopCost returns the cost of stopping the runs on a worker, and false if they must not stop now.
func (w Wave) NextToDrain(machines []Machine, stopCost func(chutetask.WorkerID) (float64, bool)) []string {
	listed := make(map[string]Machine, len(machines))
	for _, m := range machines {
		listed[m.ID] = m
	}
	slots := w.Limit - len(w.Draining)
	type candidate struct {
		id       string
		stopCost float64
	}
	var candidates []candidate
	for _, id := range w.Machines {
		m, ok := listed[id]
		switch {
		case slices.Contains(w.Draining, id):
		case ok && m.State != MachineUp:
			slots-- // it counts whether it is down for this maintenance or for another cause
		case slices.Contains(w.Done, id) || !ok:
		default:
			if c, allowed := stopCost(m.Worker); allowed {
				candidates = append(candidates, candidate{id: id, stopCost: c})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.stopCost, b.stopCost) })
	var next []string
	for _, c := range candidates[:max(0, min(slots, len(candidates)))] {
		next = append(next, c.id)
	}
	return next
}

// WithListed returns the wave with those machines done that the list lacks, as there is nothing left to maintain.
func (w Wave) WithListed(machines []Machine) Wave {
	for _, id := range w.Machines {
		if !slices.ContainsFunc(machines, func(m Machine) bool { return m.ID == id }) {
			w = w.WithDone(id)
		}
	}
	return w
}
