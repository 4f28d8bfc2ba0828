package chuteledger

import (
	"maps"

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

// WithholdEndsOf keeps the worker's ended runs from being acknowledged if one is of a job that is set aside: its end is not recorded.
func (t *Transition) WithholdEndsOf(worker chutetask.WorkerID, job chutegraph.JobID) {
	if !t.SetAside[job] || t.Withheld[worker] {
		return
	}
	withheld := make(map[chutetask.WorkerID]bool, len(t.Withheld)+1)
	maps.Copy(withheld, t.Withheld)
	withheld[worker] = true
	t.Withheld = withheld
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
