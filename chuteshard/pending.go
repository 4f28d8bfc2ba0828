package chuteshard

import (
	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chuteinquiry"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
)

// handleCommit does what had to wait for the commit to succeed.
func (t *transition) handleCommit(p chutegang.Pending) {
	switch p := p.(type) {
	case chutegang.PendingSubmit:
		t.PutJob(p.Job)
		t.State.PlanDue = true
		t.Answer(p.Call, chutecall.JobReply{Result: chuteresult.New(chuteresult.Accepted, "job %s is recorded", p.Job.ID), Job: p.Job})
	case chutegang.PendingRejection:
		t.PutJob(p.Job)
		chuteinquiry.AnswerUnknown(t.Transition, p.Call, p.Job.ID)
	case chutegang.PendingReserve:
		t.HandleReserved(p)
	case chutegang.PendingCancel:
		t.handleCancelRecorded(p)
	case chutegang.PendingFinish:
		t.Acknowledge(p.Acknowledged)
	case chutegang.PendingDelete:
		t.State = t.State.WithoutEnded(p.Jobs)
	case chutegang.PendingRecovery, chutegang.PendingLimitRead, chutegang.PendingLimitWrite:
	}
}

// rejectPending answers the call that waited for a commit which failed because another host owns the shard.
func (t *transition) rejectPending(p chutegang.Pending) {
	switch p := p.(type) {
	case chutegang.PendingSubmit:
		t.Answer(p.Call, chutecall.Refuse(chuteresult.NotOwner, "shard %d has another owner", t.State.Shard))
	case chutegang.PendingCancel:
		t.Answer(p.Call, chutecall.Refuse(chuteresult.NotOwner, "shard %d has another owner", t.State.Shard))
	case chutegang.PendingRejection:
		t.Answer(p.Call, chutecall.Refuse(chuteresult.NotOwner, "shard %d has another owner", t.State.Shard))
	case chutegang.PendingReserve, chutegang.PendingFinish, chutegang.PendingRecovery, chutegang.PendingDelete,
		chutegang.PendingLimitRead, chutegang.PendingLimitWrite:
	}
}

// retryPending handles a store operation that had no effect: it answers the call that waited for the operation, or
// starts the operation again.
func (t *transition) retryPending(p chutegang.Pending) {
	switch p := p.(type) {
	case chutegang.PendingSubmit:
		t.Answer(p.Call, chutecall.Refuse(chuteresult.StoreUnavailable, "job: cannot be recorded now"))
	case chutegang.PendingCancel:
		if j, ok := t.State.LiveJob(p.Job); ok {
			t.PutJob(j.WithCancelRequested(false))
		}
		t.Answer(p.Call, chutecall.Refuse(chuteresult.StoreUnavailable, "cancellation: cannot be recorded now"))
	case chutegang.PendingRejection:
		t.Answer(p.Call, chutecall.Refuse(chuteresult.StoreUnavailable, "cancellation: cannot be recorded now"))
	case chutegang.PendingReserve:
		if j, ok := t.State.LiveJob(p.Job); ok && j.Phase == chutejob.PhaseReserved && j.Attempt == p.Attempt {
			t.CommitJob(p, j)
		}
	case chutegang.PendingFinish:
		if j, ok := t.State.Job(p.Job); ok {
			t.CommitJob(p, j)
		}
	case chutegang.PendingRecovery:
		t.Emit(t.readJobs())
	case chutegang.PendingLimitRead:
		t.state.limits = t.state.limits.HandleFailed(t.Transition, p.Workspace)
	case chutegang.PendingLimitWrite:
		t.state.limits = t.state.limits.HandleFailed(t.Transition, p.Ledger.Workspace)
	case chutegang.PendingDelete: // the next deletion covers the same jobs
	}
}

// readJobs returns the read of all jobs of the shard.
func (t *transition) readJobs() chuteevent.Effect {
	return chuteevent.ReadTable{Token: t.TrackOperation(chutegang.PendingRecovery{}), Prefix: chutetable.JobPrefix(t.State.Shard)}
}
