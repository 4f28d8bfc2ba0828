// Package chuteentry is the core of the job scheduler's entry host: Step takes an event and returns the next state
// and its effects.
package chuteentry
