package chutegang

import (
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// handlePartRunning records that a part runs. The job is running once all its parts have started.
func (t *Transition) handlePartRunning(j chutejob.Job, part int) {
	if j.Parts[part].State == chutejob.PartOrdered {
		j = j.WithPart(part, chutejob.PartRunning)
	}
	if j.Phase == chutejob.PhaseStarting && j.AllStarted() {
		j = j.WithRunning(t.Now())
	}
	t.PutJob(j)
}

// handlePartDone records that a part succeeded, which also clears the failures of its worker.
func (t *Transition) handlePartDone(j chutejob.Job, part int) {
	worker := j.Parts[part].Block.Worker
	if r, ok := t.State.Registry.Get(worker); ok {
		health := r.Health.WithSuccess()
		t.State.Registry = t.State.Registry.WithRecord(r.WithHealth(health))
	}
	j = t.endPart(j, part, chutejob.PartDone)
	switch {
	case j.AllInactive():
		t.FinishAttempt(j)
	case j.Phase == chutejob.PhaseStarting && j.AllStarted():
		t.PutJob(j.WithRunning(t.Now()))
	}
}

// handlePartFailed records that a part failed and stops the other parts. Only the worker of the part that failed first
// is charged with the failure, because the other parts of a gang fail as a consequence, as they do after one was lost.
func (t *Transition) handlePartFailed(j chutejob.Job, part int) {
	if j.StopReason != chutejob.StopNone {
		t.StopRemaining(t.endPart(j, part, chutejob.PartFailed), chutejob.StopPartFailed)
		return
	}
	worker := j.Parts[part].Block.Worker
	t.chargeWorker(worker, j.ID)
	j = t.endPart(j.WithFailure(worker), part, chutejob.PartFailed)
	t.StopRemaining(j, chutejob.StopPartFailed)
}

// chargeWorker records that a part of the job failed on the worker, and suspends the worker if that is due and few others
// are suspended. What fails during a suspension was there before it.
func (t *Transition) chargeWorker(worker chutetopology.WorkerID, job chutejob.ID) {
	r, ok := t.State.Registry.Get(worker)
	if !ok {
		return
	}
	health := r.Health.WithFailure(string(job))
	if health.SuspensionDue() && !health.Suspected(t.Now()) && t.State.Registry.MaySuspend(worker, t.Now()) {
		health = health.WithSuspension(t.Now())
		t.Warn("worker %s is suspected: parts of several jobs failed on it", worker)
		t.Count("worker-suspected", "failures")
	}
	t.State.Registry = t.State.Registry.WithRecord(r.WithHealth(health))
}

// handlePartStopped records that a part stopped on its worker or was lost there, and stops the other parts.
func (t *Transition) handlePartStopped(j chutejob.Job, part int) {
	j = t.endPart(j, part, chutejob.PartStopped)
	t.StopRemaining(j, chutejob.StopPartLost)
}

// StopRemaining stops the remaining parts of a gang that lost one, or finishes the attempt if none remains.
func (t *Transition) StopRemaining(j chutejob.Job, reason chutejob.StopReason) {
	if j.Phase != chutejob.PhaseStopping {
		j = j.WithStop(chutejob.PhaseStopping, reason, t.Now())
	}
	if j.AllInactive() {
		t.FinishAttempt(j)
		return
	}
	t.OrderStops(j)
}
