package chuteledger

import (
	"monsoonchute.example/monsoonchute/chutebacklog"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutetask"
)

// PlanRun takes note that a run of the job is planned. The job counts as running from now on, and as pending until a run of it has
// begun.
func (t *Transition) PlanRun(j chutetask.Job) chutetask.Job {
	if j.Phase == chutetask.PhaseQueued {
		j.Unbegun = true
	}
	return j.WithPhase(chutetask.PhaseRunning)
}

// NoteRunBegun takes note that a run of the job has begun. That is recorded with the job's next change.
func (t *Transition) NoteRunBegun(id chutegraph.JobID) {
	if j, ok := t.Live.Get(id); ok && j.Unbegun {
		j.Unbegun = false
		t.PutRecordedJob(j)
	}
}

// RequeueUnbegun queues the job again if none of its runs is left and none has begun.
func (t *Transition) RequeueUnbegun(id chutegraph.JobID) {
	if j, ok := t.Live.Get(id); ok && j.Unbegun && !j.AnyActive() {
		j.Unbegun = false
		t.PutJob(j.WithPhase(chutetask.PhaseQueued))
	}
}

// NothingBegun reports whether no task of the job has started, as far as is known.
func (t *Transition) NothingBegun(j chutetask.Job) bool {
	return j.Unbegun || j.Phase == chutetask.PhaseQueued
}

// CountJobs returns, by queue, how many live jobs have begun nothing, without those with set times, and by workspace, roughly how
// much memory in bytes the live jobs take.
func (t *Transition) CountJobs() (pending map[string]int, used map[string]int64) {
	pending, used = make(map[string]int), make(map[string]int64)
	for i := t.Live.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		used[j.Workspace] += chutebacklog.Cost(j.Spec)
		if t.NothingBegun(j) && !j.Spec.HasStartTimes() {
			pending[j.Queue]++
		}
	}
	return pending, used
}
