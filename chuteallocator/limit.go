package chuteallocator

import (
	"maps"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutelimit"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// LimitPatience is the wait for the limit of its workspace after which free parts of the limit are reserved for a job.
// It is twice the time after which shards give back what they do not need, so that most jobs start without it.
const LimitPatience = 10 * time.Second

// Held describes the jobs of a workspace that only its limit holds back.
type Held struct {
	Job      chutejob.ID // the one that goes first
	Reserves bool        // free parts of the limit are reserved for it
	Reserved chutelimit.Reservation
	Waiting  int // accelerators of all these jobs
}

// goesBefore reports whether the job takes the place of another one of its workspace that is held back and comes first in
// the queue.
func (h Held) goesBefore(other Held) bool {
	switch {
	case other.Job == "":
		return true
	case h.Reserved.Covered != other.Reserved.Covered:
		return h.Reserved.Covered
	case h.Reserved.Urgent != other.Reserved.Urgent:
		return h.Reserved.Urgent
	}
	return h.Reserves && !other.Reserves
}

// blocks reports whether the free part of the limit is reserved for the held job and not for j.
func (h Held) blocks(j chutejob.Job) bool {
	outranked := j.Spec.Urgent && !h.Reserved.Urgent && !h.Reserved.Covered
	return h.Reserves && h.Job != j.ID && !outranked
}

// hasRoom reports whether the limit of its workspace lets the job start. If not, it records the job as held back,
// unless the job could not start in any case.
func (p *pass) hasRoom(j chutejob.Job) bool {
	workspace := j.Spec.Workspace
	room, limited := p.rooms[workspace]
	if !limited {
		return true
	}
	held := p.held[workspace]
	if j.Spec.Shape.Total() <= room && !held.blocks(j) {
		return true
	}
	start := p.startability(j)
	if start == startImpossible {
		return false
	}
	candidate := Held{Job: j.ID, Reserved: chutelimit.Reservation{
		Accelerators: j.Spec.Shape.Total(), Since: j.PhaseSince, Covered: start == startCovered, Urgent: j.Spec.Urgent,
	}}
	candidate.Reserves = start == startCovered || j.Spec.Urgent || p.view.Now.Sub(j.PhaseSince) >= LimitPatience
	waiting := held.Waiting
	if !p.counted[j.ID] {
		p.counted[j.ID] = true
		waiting += j.Spec.Shape.Total()
	}
	if candidate.goesBefore(held) {
		held = candidate
	}
	held.Waiting = waiting
	p.held[workspace] = held
	return false
}

// startability tells how a job could start if the limit of its workspace allowed it.
type startability int

const (
	startImpossible startability = iota + 1
	startBorrowing               // on free accelerators or by preemption
	startCovered                 // in an idle cell of its workspace
)

// startKey holds what decides about the startability of a job that has not failed on any worker.
type startKey struct {
	workspace                               string
	shape                                   chutetopology.Shape
	urgent, repeatable, checkpoint, starved bool
	band                                    int
}

// startability returns how the job could start now if its limit allowed it. Without this check, a job that also lacks
// accelerators would take parts of the limit from jobs that can start.
func (p *pass) startability(j chutejob.Job) startability {
	key := startKey{
		workspace: j.Spec.Workspace, shape: j.Spec.Shape, urgent: j.Spec.Urgent, repeatable: j.Spec.Repeatable,
		checkpoint: j.Spec.Checkpoint, starved: p.starved(j), band: timeBand(j, p.view.Now),
	}
	result, known := p.startabilities[key]
	if !known {
		trial := p.trial()
		result = trial.tryStart(j)
		p.startabilities[key] = result
	}
	return result
}

// trial returns a copy of the pass in which grants can be tried. The inventory is immutable.
func (p *pass) trial() *pass {
	t := *p
	t.grants, t.borrowed = nil, slices.Clone(p.borrowed)
	t.granted, t.preempted = make(map[chutejob.ID]bool), maps.Clone(p.preempted)
	t.rooms, t.held = nil, nil
	t.borrowFailed, t.preemptionFailed = make(map[chutetopology.Shape]bool), make(map[chutetopology.Shape]bool)
	t.usage.workspaces, t.usage.teams = make(map[string]int), make(map[string]int)
	return &t
}

// tryStart serves the job in a trial and returns how it could start.
func (p *pass) tryStart(j chutejob.Job) startability {
	for _, serve := range []func(chutejob.Job){p.claimAnyFit, p.borrow, p.preempt} {
		if serve(j); len(p.grants) > 0 && p.grants[0].Guaranteed {
			return startCovered
		} else if len(p.grants) > 0 {
			return startBorrowing
		}
	}
	return startImpossible
}
