package chutegang

import (
	"time"

	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// StartOrderValidity is the time after its creation within which a worker may accept a start order.
	StartOrderValidity = 1500 * time.Millisecond
	// StartTimeout is the time within which every part of an attempt must be confirmed as started.
	StartTimeout = 5 * time.Second
)

// Reserve records the next attempt of a job that holds its accelerators. No start order is sent before the record is
// written.
func (t *Transition) Reserve(j chutejob.Job) {
	boots := make([]string, len(j.Parts))
	for i, p := range j.Parts {
		r, _ := t.State.Registry.Get(p.Block.Worker)
		boots[i] = r.BootID()
	}
	j = j.WithReserved(boots, t.Now())
	t.PutJob(j)
	t.AttachJob(j)
	t.CommitJob(PendingReserve{Job: j.ID, Attempt: j.Attempt}, j)
}

// AdvanceClaim reserves the accelerators of a claiming job once no other job holds them. It abandons the claim if one
// of the workers is no longer usable.
func (t *Transition) AdvanceClaim(j chutejob.Job) {
	blocks := j.Blocks()
	switch {
	case !t.State.Inventory.HasUsable(blocks):
		t.abandonClaim(j)
	case t.State.Inventory.Vacant(blocks):
		t.State.Inventory = t.State.Inventory.WithAssignmentEnded(blocks).WithHeld(blocks, j.Movable())
		t.Reserve(j)
	}
}

// abandonClaim puts a claiming job back in its queue.
func (t *Transition) abandonClaim(j chutejob.Job) {
	t.State.Inventory = t.State.Inventory.WithAssignmentEnded(j.Blocks()).WithClaimEnded(string(j.ID))
	t.PutJob(j.WithWaiting(t.Now()))
	t.State.PlanDue = true
}

// HandleReserved starts an attempt whose record is written, or releases its accelerators if the job was stopped
// meanwhile.
func (t *Transition) HandleReserved(p PendingReserve) {
	j, ok := t.State.LiveJob(p.Job)
	if !ok || j.Phase != chutejob.PhaseReserved || j.Attempt != p.Attempt {
		return
	}
	j = j.WithPhase(chutejob.PhaseReady, t.Now())
	t.PutJob(j)
	if j.StopReason != chutejob.StopNone {
		t.releaseUnstarted(j)
		return
	}
	t.OrderStarts(j)
}

// OrderStarts sends the start orders of a recorded attempt. It waits while this host may not start work, and releases
// the accelerators if one of the workers is no longer usable.
func (t *Transition) OrderStarts(j chutejob.Job) {
	if !t.Environment.MayStart {
		return
	}
	if !t.State.Inventory.HasUsable(j.Blocks()) {
		t.releaseUnstarted(j.WithStopReason(chutejob.StopStartFailed))
		return
	}
	expires := t.Now().Add(StartOrderValidity)
	for i, p := range j.Parts {
		r, _ := t.State.Registry.Get(p.Block.Worker)
		t.SendOrder(p.Block.Worker, chuteorder.StartTask{
			Task: taskID(j, i), Mask: p.Block.Mask, Command: j.Spec.Command, ResumeFrom: j.SavedProgress,
			DocumentVersion: t.Environment.Document.Version, ValidUntil: r.WorkerClock(expires),
		}, expires)
	}
	t.PutJob(j.WithStartOrdered(t.Now()))
	t.Count("job-started", startReason(j))
}

// startReason returns the reason under which a started job is counted.
func startReason(j chutejob.Job) string {
	if j.Guaranteed {
		return "guaranteed"
	}
	return "borrowed"
}

// releaseUnstarted ends an attempt for which no start order was sent and returns its accelerators.
func (t *Transition) releaseUnstarted(j chutejob.Job) {
	for i, p := range j.Parts {
		if !p.State.Inactive() || p.State == chutejob.PartPending {
			j = t.endPart(j, i, chutejob.PartStopped)
		}
	}
	t.FinishAttempt(j)
}

// endPart records the final state of a part that no longer runs and returns its accelerators.
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

// AdvanceStart stops an attempt whose parts have not all been confirmed within StartTimeout.
func (t *Transition) AdvanceStart(j chutejob.Job) {
	if t.Now().Sub(j.PhaseSince) >= StartTimeout {
		t.Count("job-stopped", chutejob.StopStartFailed.String())
		t.StopRemaining(j, chutejob.StopStartFailed)
	}
}
