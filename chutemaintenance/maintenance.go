package chutemaintenance

import (
	"cmp"
	"slices"

	"monsoonchute.example/monsoonchute/chutetask"
)

// MachineState is the state of a machine.
type MachineState int

// The states of a machine.
const (
	MachineUp MachineState = iota + 1
	MachineMoving
	MachineMaintained // it is down for its maintenance
	MachineDown
)

// Machine is a machine as the platform lists it.
type Machine struct {
	ID     string
	State  MachineState
	Worker chutetask.WorkerID // that runs on it; empty for none
}

// Wave is the immutable state of a request to maintain machines.
type Wave struct {
	Number   int
	Machines []string
	Limit    int      // machines that may be down at once
	Done     []string // machines whose maintenance has begun, or that are gone
	Draining []string // machines that are being emptied, or whose order is on the way
}

// New returns a wave of which nothing is done.
func New(number int, machines []string, limit int) Wave {
	return Wave{Number: number, Machines: machines, Limit: max(1, limit)}
}

// WithDone returns the wave with the machine done.
func (w Wave) WithDone(machine string) Wave {
	if !slices.Contains(w.Done, machine) {
		w.Done = append(slices.Clone(w.Done), machine)
	}
	return w.WithoutClosing(machine)
}

// WithClosing returns the wave with the machine being emptied.
func (w Wave) WithDraining(machine string) Wave {
	if !slices.Contains(w.Draining, machine) {
		w.Draining = append(slices.Clone(w.Draining), machine)
	}
	return w
}

// WithoutClosing returns the wave with the machine no longer being emptied.
func (w Wave) WithoutClosing(machine string) Wave {
	w.Draining = slices.DeleteFunc(slices.Clone(w.Draining), func(m string) bool { return m == machine })
	return w
}

// Completed reports whether the maintenance of every machine has begun.
func (w Wave) Completed() bool {
	for _, m := range w.Machines {
		if !slices.Contains(w.Done, m) {
			return false
		}
	}
	return true
}

// Next returns the machines to empty next, so that no more than the limit are down or about to be. The cost tells what
// the end of the work on a worker wastes, and false for a worker whose work must not end now.
func (w Wave) NextToDrain(machines []Machine, cost func(chutetask.WorkerID) (float64, bool)) []string {
	listed := make(map[string]Machine, len(machines))
	for _, m := range machines {
		listed[m.ID] = m
	}
	room := w.Limit - len(w.Draining)
	type candidate struct {
		id   string
		cost float64
	}
	var candidates []candidate
	for _, id := range w.Machines {
		m, ok := listed[id]
		switch {
		case slices.Contains(w.Draining, id):
		case ok && m.State != MachineUp:
			room-- // whether its maintenance has begun already or it is down for another cause
		case slices.Contains(w.Done, id) || !ok:
		default:
			if c, allowed := cost(m.Worker); allowed {
				candidates = append(candidates, candidate{id: id, cost: c})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	var next []string
	for _, c := range candidates[:max(0, min(room, len(candidates)))] {
		next = append(next, c.id)
	}
	return next
}

// WithListed returns the wave with the machines that the platform no longer lists done: there is nothing to maintain.
func (w Wave) WithListed(machines []Machine) Wave {
	for _, id := range w.Machines {
		if !slices.ContainsFunc(machines, func(m Machine) bool { return m.ID == id }) {
			w = w.WithDone(id)
		}
	}
	return w
}
