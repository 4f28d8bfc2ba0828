package chuteentry_test

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutegraph"
)

func (sm *simulation) checkStart(k *fakeWorker, o chuteaction.StartRun, job *fakeJob, from sender) {
	step := job.spec.Steps[o.Run.Task.Step]
	used := step.Reserved()
	for _, r := range k.runs {
		used = used.Plus(r.step.Reserved())
	}
	if !k.hasRoom(used, from.sentAt) {
		sm.reportViolation("start of %s exceeds the capacity of %s: %v of %v", o.Run, k.listing.ID, used, k.listing.Capacity)
	}
	sm.checkCrashBudget(k, o, job, from)
	sm.checkQuota(o.Run, step)
	if job.acknowledged[o.Run.Task] {
		sm.reportViolation("%s was started after the end of its task was acknowledged", o.Run)
	}
	job.startedAt[o.Run.Task] = sm.now
	for _, earlier := range step.After {
		for i := range job.spec.Steps[earlier].Count {
			id := chutegraph.TaskID{StepID: chutegraph.StepID{Job: o.Run.Task.Job, Step: earlier}, Index: i}
			if _, ok := job.doneAt[id]; !ok && !job.spec.Steps[earlier].Gang {
				sm.reportViolation("%s was started before %s was done", o.Run, id)
			}
		}
	}
	for _, name := range sm.workerNames() {
		for id := range sm.workers[name].runs {
			if id.Task == o.Run.Task && id != o.Run {
				sm.reportViolation("%s was started on %s while %s runs on %s", o.Run, k.listing.ID, id, name)
			}
		}
	}
	if !job.cancelledAt.IsZero() && sm.now.Sub(job.cancelledAt) > 3*time.Second && k.lostOrderRate == 0 {
		sm.reportViolation("%s was started after its job was cancelled", o.Run)
	}
}

// checkCrashBudget counts the starts of a task, and those that hosts in touch order although too many workers have
// crashed under it.
func (sm *simulation) checkCrashBudget(k *fakeWorker, o chuteaction.StartRun, job *fakeJob, from sender) {
	task := o.Run.Task
	job.starts[task]++
	if !job.isDeadly(k, task) || job.crashes[task] < maxCrashes {
		return
	}
	job.startsBeyondByAny[task]++
	if !from.inTouch {
		return
	}
	job.startsBeyond[task]++
	if job.startsBeyond[task] > maxStartsBeyond {
		sm.reportViolation("%s was started although %d workers had crashed under its task", o.Run, job.crashes[task])
	}
}
