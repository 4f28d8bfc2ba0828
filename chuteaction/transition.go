package chuteaction

import (
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// Transition collects the effects of handling one event. It must not be used after the event was handled.
type Transition struct {
	Now       time.Time
	Effects   []Effect
	lastToken Token
}

// NewTransition returns a transition without effects whose first token follows last.
func NewTransition(now time.Time, last Token) *Transition {
	return &Transition{Now: now, lastToken: last}
}

// NewToken returns a token that no other request of the process has.
func (t *Transition) NewToken() Token {
	t.lastToken++
	return t.lastToken
}

// LastToken returns the latest token that NewToken returned.
func (t *Transition) LastToken() Token {
	return t.lastToken
}

// Emit adds an effect to the transition.
func (t *Transition) Emit(effect Effect) {
	t.Effects = append(t.Effects, effect)
}

// Count emits an increment of the counter, labelled with the reason.
func (t *Transition) Count(counter, reason string) {
	t.Emit(Count{Counter: counter, Reason: reason})
}

// Log emits a log line; fields are alternating names and values.
func (t *Transition) Log(component, text string, job chutegraph.JobID, fields ...any) {
	t.Emit(LogLine{Component: component, Text: text, Job: job, Fields: fieldsOf(fields)})
}

// Warn emits a log line with a warning; fields are alternating names and values.
func (t *Transition) Warn(component, text string, job chutegraph.JobID, fields ...any) {
	t.Emit(LogLine{Component: component, Text: text, Warning: true, Job: job, Fields: fieldsOf(fields)})
}

func fieldsOf(pairs []any) []Field {
	fields := make([]Field, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, Field{Name: fmt.Sprint(pairs[i]), Value: fmt.Sprint(pairs[i+1])})
	}
	return fields
}
