package chuteresult

import (
	"errors"
	"fmt"
)

// Class tells what the receiver of a result can conclude about the execution of the work.
type Class int

// The classes of results.
const (
	ClassRan     Class = iota + 1 // the work ran, or the decision took effect
	ClassNotRun                   // the work did not run and never will under this request
	ClassUnknown                  // the work may or may not have run
)

// String returns the kebab-case name of the class.
func (c Class) String() string {
	switch c {
	case ClassRan:
		return "ran"
	case ClassNotRun:
		return "not-run"
	case ClassUnknown:
		return "outcome-unknown"
	}
	return "invalid"
}

// Code is the number of a result. Its hundreds digit is the class: 1 ran, 2 not run, 3 outcome unknown.
type Code int

// The result codes.
const (
	Done               Code = 100
	Accepted           Code = 101
	RanFailed          Code = 102
	Recorded           Code = 103
	RanInterrupted     Code = 104
	AnswerTooLarge     Code = 105
	Malformed          Code = 200
	TooLarge           Code = 201
	Overloaded         Code = 202
	DeadlinePassed     Code = 203
	NoBackendServer    Code = 204
	StoreUnavailable   Code = 205
	StaleBase          Code = 206
	NotFound           Code = 207
	NeverFits          Code = 208
	OverQuota          Code = 209
	GuaranteesNotMet   Code = 210
	Stopping           Code = 211
	NotOwner           Code = 212
	NoOwner            Code = 213
	Conflict           Code = 215
	Cancelled          Code = 216
	BackendRefused     Code = 217
	NotReady           Code = 219
	Forbidden          Code = 220
	AlreadyEnded       Code = 221
	BackendUnreachable Code = 222
	UnknownKey         Code = 223
	UnknownQueue       Code = 224
	UnknownJob         Code = 225
	BeyondQuota        Code = 226
	AnswerLost         Code = 300
	ConnectionBroken   Code = 301
	ConnectionSilent   Code = 302
	AnswerTruncated    Code = 303
	AnswerCrossed      Code = 304
	StoreAnswerLost    Code = 305
	InProgress         Code = 306
	WorkerLost         Code = 307
	ForwardLost        Code = 308
	IntentUnresolved   Code = 309
)

// Entry describes one result code.
type Entry struct {
	Code    Code
	Name    string // kebab-case
	Status  int    // HTTP status for clients and operators
	Meaning string
}

var entries = []Entry{
	{Done, "done", 200, "The work ran and its whole answer is attached."},
	{Accepted, "accepted", 202, "The decision is durable; the work it starts goes on."},
	{RanFailed, "ran-failed", 200, "The work ran to its end and failed."},
	{Recorded, "recorded", 200, "An earlier request with this id ran; its recorded answer is attached."},
	{RanInterrupted, "ran-interrupted", 200, "The work started, was stopped before its end, and is not started again."},
	{AnswerTooLarge, "answer-too-large", 502, "The work ran, but its answer is over the size limit and was dropped."},
	{Malformed, "malformed", 400, "The input is malformed; the detail names the field."},
	{TooLarge, "too-large", 413, "The body or header is over its size limit."},
	{Overloaded, "overloaded", 503, "A bounded queue or ring is full."},
	{DeadlinePassed, "deadline-passed", 504, "The deadline passed before the work left its queue."},
	{NoBackendServer, "no-backend-server", 503, "No backend server of the service may take new work."},
	{StoreUnavailable, "store-unavailable", 503, "The table service cannot record what must be recorded first."},
	{StaleBase, "stale-base", 409, "The section changed since the version the change was based on."},
	{NotFound, "not-found", 404, "The named thing does not exist."},
	{NeverFits, "never-fits", 422, "The shape fits no part of the topology, even when empty."},
	{OverQuota, "over-quota", 429, "The team's or workspace's quota or limit would be exceeded."},
	{GuaranteesNotMet, "guarantees-not-met", 422, "The guaranteed shapes cannot all be packed at once."},
	{Stopping, "stopping", 503, "The entry host is stopping; another one takes the request."},
	{NotOwner, "not-owner", 421, "The entry host does not own the shard."},
	{NoOwner, "no-owner", 503, "The shard has no reachable owner at the moment."},
	{Conflict, "conflict", 409, "The same id arrived with different content, or a concurrent change won."},
	{Cancelled, "cancelled", 410, "The work was cancelled before it started."},
	{BackendRefused, "backend-refused", 503, "The backend server said that it did not run the request."},
	{NotReady, "not-ready", 503, "The entry host has not read the document's head yet, or cannot confirm it now."},
	{Forbidden, "forbidden", 403, "The section belongs to another team."},
	{AlreadyEnded, "already-ended", 409, "The job has ended; nothing is left to cancel."},
	{BackendUnreachable, "backend-unreachable", 503, "No connection to the backend server could be made; nothing was sent."},
	{UnknownKey, "unknown-key", 401, "The configuration in force has no such key."},
	{UnknownQueue, "unknown-queue", 404, "The configuration in force has no queue for the call."},
	{UnknownJob, "unknown-job", 410, "The store has no job of this id."},
	{BeyondQuota, "beyond-quota", 429, "A task or gang of the job needs more than its workspace's whole quota."},
	{AnswerLost, "answer-lost", 504, "No answer arrived before the deadline."},
	{ConnectionBroken, "connection-broken", 502, "The connection broke after bytes of the request had left."},
	{ConnectionSilent, "connection-silent", 504, "The connection made no progress within its limit."},
	{AnswerTruncated, "answer-truncated", 502, "The answer was cut short and was dropped."},
	{AnswerCrossed, "answer-crossed", 502, "The answer carried another request's id and was dropped."},
	{StoreAnswerLost, "store-answer-lost", 504, "The write may have taken effect; its answer is still missing."},
	{InProgress, "in-progress", 409, "An earlier request with this id is still in progress."},
	{WorkerLost, "worker-lost", 200, "A worker was lost while it ran a job that must not run twice."},
	{ForwardLost, "forward-lost", 504, "The owning entry host did not answer the forwarded call."},
	{IntentUnresolved, "intent-unresolved", 409, "An earlier request with this id was dispatched and its outcome was never recorded."},
}

var entryByCode = indexEntries()

func indexEntries() map[Code]Entry {
	index := make(map[Code]Entry, len(entries))
	for _, e := range entries {
		index[e.Code] = e
	}
	return index
}

// Table returns a copy of the entries of all codes, in ascending order of the codes.
func Table() []Entry {
	return append([]Entry(nil), entries...)
}

// CodeByName returns the code with the kebab-case name, and false if there is none.
func CodeByName(name string) (Code, bool) {
	for _, e := range entries {
		if e.Name == name {
			return e.Code, true
		}
	}
	return 0, false
}

// Class returns the class, which is the code's hundreds digit.
func (c Code) Class() Class {
	return Class(int(c) / 100)
}

// String returns the kebab-case name of the code, or code-N for a code N that is not in the table.
func (c Code) String() string {
	if e, ok := entryByCode[c]; ok {
		return e.Name
	}
	return fmt.Sprintf("code-%d", int(c))
}

// Status returns the HTTP status of the code, or 500 if the code is not in the table.
func (c Code) Status() int {
	if e, ok := entryByCode[c]; ok {
		return e.Status
	}
	return 500
}

// ExitCode returns the command line's exit code: 0 for ran, 1 for RanFailed, 2 for not run, 3 for outcome unknown.
func (c Code) ExitCode() int {
	if c == RanFailed {
		return 1
	}
	switch c.Class() {
	case ClassRan:
		return 0
	case ClassNotRun:
		return 2
	case ClassUnknown:
		return 3
	}
	return 3
}

// Result is a code with a sentence that describes its cause. It is an error.
type Result struct {
	Code   Code   `json:"code"`
	Detail string `json:"detail"`
}

// New returns a result with a formatted detail; without arguments, format is used as it is.
func New(code Code, format string, args ...any) Result {
	if len(args) == 0 {
		return Result{Code: code, Detail: format}
	}
	return Result{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// FromError returns the result that the error wraps, or Malformed with the error's text if it wraps none.
func FromError(err error) Result {
	var result Result
	if errors.As(err, &result) {
		return result
	}
	return New(Malformed, "%s", err.Error())
}

// NotRun reports whether the class of the result is ClassNotRun.
func (r Result) NotRun() bool {
	return r.Code.Class() == ClassNotRun
}

// Error returns the code's number, its name and the detail.
func (r Result) Error() string {
	return fmt.Sprintf("%d %s: %s", int(r.Code), r.Code, r.Detail)
}
