// Package chuteentry is the core of the job scheduler's entry host: a pure state machine whose Step function takes an
// event and returns the next state and the requested effects.
package chuteentry
