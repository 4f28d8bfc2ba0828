package chuteurgency

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lapseFactor is the multiple of its objective after which a job has no value.
	lapseFactor = 3
	// lateShare is the part of its value that a late job keeps. Customers state 0.2 to 0.3.
	lateShare = 0.25
	// AgeingDelay is the time after its objective at which a job has aged: its class no longer puts it behind others.
	AgeingDelay = time.Minute
)

// Class tells whether a job would end within its objective if it went on now.
type Class int

// The classes, the most valuable first.
const (
	OnTime Class = iota // within its objective, or without one
	Late                // beyond its objective, within three times the objective
	Lapsed              // beyond that
)

// String returns the class in kebab case.
func (c Class) String() string {
	switch c {
	case OnTime:
		return "on-time"
	case Late:
		return "late"
	case Lapsed:
		return "lapsed"
	}
	return "unknown"
}

// Facts are what is known of a job, seen from one of its steps that waits or runs.
type Facts struct {
	Priority   int
	AcceptedAt time.Time
	Objective  time.Duration // time after AcceptedAt within which the job is on time; 0 if none is stated
	Path       time.Duration // remaining critical path from the step on
	Work       float64       // estimated work of the whole job in core-seconds; 0 if unknown
	Size       float64       // work of the whole job as a multiple of the usual work of its queue; 0 if unknown, which counts as 1
	Cores      float64       // cores that the step uses
}

// Urgency is the measure of a job at a time.
type Urgency struct {
	Class       Class
	Aged        bool      // it is so late that its class does not put it behind others any more
	LatestStart time.Time // latest start of the step for the job to be on time; zero if the job has no objective
	Value       float64   // value that the job has if the step starts now, in units of a job of the lowest priority and usual size
	Cost        float64   // value lost per second of waiting and core until the next class; not used for decisions
}

// Of returns the urgency of the job now.
func Of(f Facts, now time.Time) Urgency {
	u := Urgency{Class: f.classAt(now.Add(f.Path)), Value: f.ValueAfter(0, now)}
	if f.Objective == 0 {
		return u
	}
	u.Aged = now.Sub(f.AcceptedAt) >= f.Objective+AgeingDelay
	u.LatestStart = f.AcceptedAt.Add(f.Objective - f.Path)
	if u.Class == Lapsed {
		return u
	}
	limit := f.Objective
	if u.Class == Late {
		limit *= lapseFactor
	}
	left := f.AcceptedAt.Add(limit - f.Path).Sub(now)
	next := f.value(u.Class) - f.value(u.Class+1)
	u.Cost = next / max(left, minCostInterval).Seconds() / max(1, f.Cores)
	return u
}

// minCostInterval is the shortest time over which the loss of a class is spread.
const minCostInterval = 100 * time.Millisecond

// ValueAfter returns the value of the job if the step starts after the wait.
func (f Facts) ValueAfter(wait time.Duration, now time.Time) float64 {
	return f.value(f.classAt(now.Add(wait + f.Path)))
}

// Gain returns the value that the job has if the step starts after the delay, beyond what it has in the next class: what is lost if
// the step does not start then.
func (f Facts) Gain(delay time.Duration, now time.Time) float64 {
	class := f.classAt(now.Add(delay + f.Path))
	return f.value(class) - f.value(class+1)
}

// ValuePerWork returns the value of a core-second of the job's work if the step starts now.
func (f Facts) ValuePerWork(now time.Time) float64 {
	if f.Work <= 0 {
		return 0
	}
	return f.ValueAfter(0, now) / f.Work
}

// classAt returns the class of the job if it ends at the time.
func (f Facts) classAt(end time.Time) Class {
	took := end.Sub(f.AcceptedAt)
	switch {
	case f.Objective == 0 || took <= f.Objective:
		return OnTime
	case took <= lapseFactor*f.Objective:
		return Late
	}
	return Lapsed
}

// value returns the value of the job in the class.
func (f Facts) value(c Class) float64 {
	size := f.Size
	if size == 0 {
		size = 1
	}
	switch c {
	case OnTime:
		return size * weight(f.Priority)
	case Late:
		return size * weight(f.Priority) * lateShare
	case Lapsed:
		return 0
	}
	return 0
}

// weight returns the value of a job of usual size, as customers state it.
func weight(priority int) float64 {
	switch priority {
	case 0:
		return 4
	case 1:
		return 3
	}
	return 1
}

// Rank is the place of a job in the order in which capacity is given, beside guarantees.
type Rank struct {
	Priority int
	Urgency  Urgency
	// AcceptedAt stands in for the latest start of a job without an objective.
	AcceptedAt time.Time
	Order      int64 // order of acceptance
}

// CompareClass orders by whether the job has lapsed, by priority and by whether it can be on time. A job that has aged counts as
// on time.
func CompareClass(a, b Rank) int {
	return cmp.Or(
		cmp.Compare(a.lapsed(), b.lapsed()), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Class(), b.Class()))
}

// StartOrder returns the order of jobs that CompareClass finds equal: by latest start if any of the ranks has one, and by acceptance
// otherwise. A job without a latest start is ordered by its acceptance time, which keeps the order transitive.
func StartOrder(ranks []Rank) func(a, b Rank) int {
	if slices.ContainsFunc(ranks, func(r Rank) bool { return !r.Urgency.LatestStart.IsZero() }) {
		return compareStart
	}
	return func(a, b Rank) int { return cmp.Compare(a.Order, b.Order) }
}

func compareStart(a, b Rank) int {
	return cmp.Or(a.startBy().Compare(b.startBy()), cmp.Compare(a.Order, b.Order))
}

// Class returns the class by which the job is ordered: one that has aged counts as on time.
func (r Rank) Class() Class {
	if r.Urgency.Aged {
		return OnTime
	}
	return r.Urgency.Class
}

// lapsed returns 1 if the job is ordered after all that have not lapsed, and 0 otherwise.
func (r Rank) lapsed() int {
	if r.Class() == Lapsed {
		return 1
	}
	return 0
}

// startBy returns the latest start, or the acceptance time for a job without one. With a later time, jobs with short objectives that
// keep arriving would delay it without end.
func (r Rank) startBy() time.Time {
	if r.Urgency.LatestStart.IsZero() {
		return r.AcceptedAt
	}
	return r.Urgency.LatestStart
}
