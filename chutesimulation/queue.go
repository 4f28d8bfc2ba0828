package chutesimulation

import "time"

// action is a function that runs at a point of virtual time.
type action struct {
	at       time.Time
	sequence int
	run      func()
}

type actionQueue []action

// Len returns the number of actions.
func (d actionQueue) Len() int { return len(d) }

// Less orders actions by their time, then by the order in which they were scheduled.
func (d actionQueue) Less(i, j int) bool {
	if d[i].at.Equal(d[j].at) {
		return d[i].sequence < d[j].sequence
	}
	return d[i].at.Before(d[j].at)
}

// Swap exchanges two actions.
func (d actionQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push appends an action.
func (d *actionQueue) Push(x any) {
	if next, ok := x.(action); ok {
		*d = append(*d, next)
	}
}

// Pop removes and returns the last action.
func (d *actionQueue) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}
