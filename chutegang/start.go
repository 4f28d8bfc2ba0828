package chutegang

import (
	"time"

	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// OrderValidity is how long after it was given a worker may still accept a start order.
	OrderValidity = 1500 * time.Millisecond
	// StartLimit is the time within which every part of a started attempt must be confirmed.
	StartLimit = 5 * time.Second
)

// Reserve writes the attempt ahead of its start.
func (t *Transition) Reserve(j chutejob.Job) {
	boots := make([]string, len(j.Parts))
	for i, p := range j.Parts {
		r, _ := t.State.Registry.Get(p.Block.Worker)
		boots[i] = r.Boot()
	}
	j = j.WithReserved(boots, t.Now())
	t.PutJob(j)
	t.AttachJob(j)
	t.CommitJob(PendingReserve{Job: j.ID, Attempt: j.Attempt}, j)
}

// AdvanceClaim reserves the accelerators of a claiming job once all others have left them.
func (t *Transition) AdvanceClaim(j chutejob.Job) {
	blocks := j.Blocks()
	switch {
	case !t.State.Inventory.HasUsable(blocks):
		t.dropClaim(j)
	case t.State.Inventory.Vacant(blocks):
		t.State.Inventory = t.State.Inventory.WithAssignmentEnded(blocks).WithHeld(blocks, j.Movable())
		t.Reserve(j)
	}
}

// dropClaim puts a claiming job back in its queue.
func (t *Transition) dropClaim(j chutejob.Job) {
	t.State.Inventory = t.State.Inventory.WithAssignmentEnded(j.Blocks()).WithClaimEnded(string(j.ID))
	t.PutJob(j.WithWaiting(t.Now()))
	t.State.PlanDue = true
}

// ReserveRecorded goes on with an attempt that is written ahead.
func (t *Transition) HandleReserved(p PendingReserve) {
	j, ok := t.State.LiveJob(p.Job)
	if !ok || j.Phase != chutejob.PhaseReserved || j.Attempt != p.Attempt {
		return
	}
	j = j.WithPhase(chutejob.PhaseReady, t.Now())
	t.PutJob(j)
	if j.StopReason != chutejob.StopNone {
		t.release(j)
		return
	}
	t.OrderStarts(j)
}

// Launch sends the start orders of a written attempt, if starts are allowed now and all its workers still serve.
func (t *Transition) OrderStarts(j chutejob.Job) {
	if !t.Environment.MayStart {
		return
	}
	if !t.State.Inventory.HasUsable(j.Blocks()) {
		t.release(j.WithStopReason(chutejob.StopStartFailed))
		return
	}
	expires := t.Now().Add(OrderValidity)
	for i, p := range j.Parts {
		r, _ := t.State.Registry.Get(p.Block.Worker)
		t.Order(p.Block.Worker, chuteorder.StartTask{
			Task: taskID(j, i), Mask: p.Block.Mask, Command: j.Spec.Command, ResumeFrom: j.SavedProgress,
			DocumentVersion: t.Environment.Document.Version, ValidUntil: r.WorkerClock(expires),
		}, expires)
	}
	t.PutJob(j.WithStartOrdered(t.Now()))
	t.Count("job-started", started(j))
}

func started(j chutejob.Job) string {
	if j.Guaranteed {
		return "guaranteed"
	}
	return "borrowed"
}

// release returns everything that an attempt holds which never left this host.
func (t *Transition) release(j chutejob.Job) {
	for i, p := range j.Parts {
		if !p.State.Inactive() || p.State == chutejob.PartPending {
			j = t.endPart(j, i, chutejob.PartStopped)
		}
	}
	t.Settle(j)
}

// endPart notes that a part certainly runs no longer and returns its accelerators.
func (t *Transition) endPart(j chutejob.Job, part int, state chutejob.PartState) chutejob.Job {
	ended := j.Parts[part]
	j = j.WithPart(part, state)
	if !ended.Released {
		t.State.Inventory = t.State.Inventory.WithReleased([]chutetopology.Block{ended.Block})
	}
	t.State.PlanDue = true
	t.PutJob(j)
	return j
}

// AdvanceStart undoes a start that is not whole within its limit.
func (t *Transition) AdvanceStart(j chutejob.Job) {
	if t.Now().Sub(j.PhaseSince) >= StartLimit {
		t.Count("job-stopped", chutejob.StopStartFailed.String())
		t.StopRemaining(j, chutejob.StopStartFailed)
	}
}
