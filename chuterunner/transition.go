package chuterunner

import (
	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chuteledger"
)

const component = "scheduler"

// Transition is the working copy of a scheduler's ledger while one event is handled.
type Transition struct {
	*chuteledger.Transition
}

// NewTransition returns a transition that begins with the state.
func NewTransition(t *chuteaction.Transition, state chuteledger.State, environment chuteledger.Environment) *Transition {
	return &Transition{Transition: chuteledger.NewTransition(t, state, environment)}
}
