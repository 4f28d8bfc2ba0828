package chuteaction

import (
	"fmt"
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
)

// Turn collects the effects of one event; it is thrown away with it.
type Transition struct {
	Now     time.Time
	Effects []Effect
	next    Token
}

// NewTurn returns an empty turn whose first token follows the one given.
func NewTransition(now time.Time, last Token) *Transition {
	return &Transition{Now: now, next: last}
}

// Token returns a token that no request of the process has had.
func (t *Transition) NewToken() Token {
	t.next++
	return t.next
}

// LastToken returns the token that was given out last.
func (t *Transition) LastToken() Token {
	return t.next
}

// Emit adds an effect.
func (t *Transition) Emit(effect Effect) {
	t.Effects = append(t.Effects, effect)
}

// Count adds one to the counter of the reason.
func (t *Transition) Count(counter, reason string) {
	t.Emit(Count{Counter: counter, Reason: reason})
}

// Log adds a line; fields are names and values in turn.
func (t *Transition) Log(part, text string, job chutegraph.JobID, fields ...any) {
	t.Emit(LogLine{Component: part, Text: text, Job: job, Fields: fieldsOf(fields)})
}

// Warn adds a line about something that should not happen in good order.
func (t *Transition) Warn(part, text string, job chutegraph.JobID, fields ...any) {
	t.Emit(LogLine{Component: part, Text: text, Warning: true, Job: job, Fields: fieldsOf(fields)})
}

func fieldsOf(pairs []any) []Field {
	fields := make([]Field, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, Field{Name: fmt.Sprint(pairs[i]), Value: fmt.Sprint(pairs[i+1])})
	}
	return fields
}
