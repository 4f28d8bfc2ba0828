package chuteshard

import (
	"monsoonchute.example/monsoonchute/chuteadmission"
	"monsoonchute.example/monsoonchute/chutebacklog"
	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chuteinquiry"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// handleCall handles a call to the shard; it refuses the call until recovery has read the shard's jobs.
func (t *transition) handleCall(from chuteevent.Origin, call chutecall.ShardCall) {
	if !t.state.recovered {
		t.Answer(from, chutecall.Refuse(chuteresult.NoOwner, "shard %d: its new owner is still reading it", t.State.Shard))
		return
	}
	switch c := call.(type) {
	case chutecall.SubmitJob:
		t.submit(from, c)
	case chutecall.CancelJob:
		t.cancel(from, c.Job)
	case chutecall.ShowJob:
		chuteinquiry.Show(t.Transition, from, c.Job)
	case chutecall.ExplainJob:
		t.explain(from, c.Job)
	case chutecall.ListJobs:
		chuteinquiry.List(t.Transition, from)
	case chutecall.ShowUse:
		chuteinquiry.ShowUse(t.Transition, from)
	}
}

// submit validates a new job and records it. The call is answered once the job is recorded.
func (t *transition) submit(from chuteevent.Origin, call chutecall.SubmitJob) {
	if j, ok := t.State.Job(call.Job); ok {
		t.answerDuplicate(from, j, call.Spec)
		return
	}
	if refusal, ok := chuteadmission.Rejection(t.Transition, call.Spec); ok {
		t.outdated = chuteadmission.FollowsDocument(refusal.Code)
		t.Count("job-refused", refusal.Code.String())
		t.Answer(from, chutecall.ResultReply{Result: refusal})
		return
	}
	if t.State.Recording(call.Job) {
		t.answerRecording(from, call.Job)
		return
	}
	if verdict := chuteadmission.Admit(t.Transition, call.Spec); verdict != chutebacklog.VerdictAdmitted {
		t.Count("job-refused", verdict.String())
		t.Answer(from, chutecall.Refuse(chuteresult.Overloaded, "%s: the jobs of shard %d take the memory that they may take", verdict, t.State.Shard))
		return
	}
	j := chutejob.New(call.Job, call.Spec, t.Now())
	t.CommitJob(chutegang.PendingSubmit{Call: from, Job: j}, j)
}

// answerDuplicate answers a repeated submission: it succeeds if the specification is the one recorded.
func (t *transition) answerDuplicate(from chuteevent.Origin, j chutejob.Job, spec chutejob.Spec) {
	if j.Rejected() {
		t.Answer(from, chutecall.ResultReply{Result: j.Result})
		return
	}
	if j.Spec != spec {
		t.Answer(from, chutecall.Refuse(chuteresult.Conflict, "job %s exists with another specification", j.ID))
		return
	}
	t.Answer(from, chutecall.JobReply{Result: chuteresult.New(chuteresult.Accepted, "job %s was accepted before", j.ID), Job: j})
}

// answerRecording answers a call about a job whose first row is being written.
func (t *transition) answerRecording(from chuteevent.Origin, id chutejob.ID) {
	t.Answer(from, chutecall.Refuse(chuteresult.InProgress, "job %s: an earlier call is being recorded", id))
}

// explain answers with the causes that keep a job waiting.
func (t *transition) explain(from chuteevent.Origin, id chutejob.ID) {
	j, _ := t.State.Job(id)
	chuteinquiry.Explain(t.Transition, from, id, t.state.limits.Cause(t.Transition, j))
}

// cancel validates a cancellation and records it. The call is answered once the cancellation is recorded.
func (t *transition) cancel(from chuteevent.Origin, id chutejob.ID) {
	j, ok := t.State.Job(id)
	switch {
	case !ok:
		t.cancelUnknown(from, id)
		return
	case j.Rejected():
		chuteinquiry.AnswerUnknown(t.Transition, from, id)
		return
	case j.Phase == chutejob.PhaseEnded:
		t.Answer(from, chutecall.Refuse(chuteresult.AlreadyEnded, "job %s has ended: %s", id, j.Result.Code))
		return
	case !t.Environment.StoreUp:
		t.Answer(from, chutecall.Refuse(chuteresult.StoreUnavailable, "cancellation: cannot be recorded now"))
		return
	}
	j = j.WithCancelRequested(true)
	t.PutJob(j)
	t.CommitJob(chutegang.PendingCancel{Call: from, Job: id}, j)
}

// cancelUnknown records the cancellation of a job that this owner does not know: its submission may be on its way.
func (t *transition) cancelUnknown(from chuteevent.Origin, id chutejob.ID) {
	switch {
	case !t.Environment.LeaseValid:
		chuteinquiry.AnswerUnknown(t.Transition, from, id)
	case t.State.Recording(id):
		t.answerRecording(from, id)
	case !t.Environment.StoreUp:
		t.Answer(from, chutecall.Refuse(chuteresult.StoreUnavailable, "cancellation: cannot be recorded now"))
	default:
		j := chutejob.NewRejected(id, t.Now())
		t.CommitJob(chutegang.PendingRejection{Call: from, Job: j}, j)
	}
}

// handleCancelRecorded stops the job of a recorded cancellation and answers the call.
func (t *transition) handleCancelRecorded(p chutegang.PendingCancel) {
	j, ok := t.State.LiveJob(p.Job)
	if ok {
		t.Stop(j, chutejob.StopCancelled)
	}
	j, _ = t.State.Job(p.Job)
	t.Answer(p.Call, chutecall.JobReply{Result: chuteresult.New(chuteresult.Accepted, "cancellation of job %s is recorded", j.ID), Job: j})
}
