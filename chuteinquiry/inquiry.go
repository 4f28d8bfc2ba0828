package chuteinquiry

import (
	"slices"

	"monsoonchute.example/monsoonchute/chuteadmission"
	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutegang"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
)

// maxListed is the maximum number of jobs in one reply to ListJobs.
const maxListed = 1000

// AnswerUnknown answers a call about a job that this owner does not know. Without a valid lease another owner may have
// accepted it.
func AnswerUnknown(t *chutegang.Transition, from chuteevent.Origin, id chutejob.ID) {
	if !t.Environment.LeaseValid {
		t.Answer(from, chutecall.Refuse(chuteresult.NoOwner, "shard %d: this host's lease on it is not confirmed", t.State.Shard))
		return
	}
	t.Answer(from, chutecall.Refuse(chuteresult.NotFound, "job: %q does not exist", id))
}

// acceptedJob returns the job with the id, and false if none was accepted.
func acceptedJob(t *chutegang.Transition, id chutejob.ID) (chutejob.Job, bool) {
	j, ok := t.State.Job(id)
	return j, ok && !j.Rejected()
}

// Show answers with the job.
func Show(t *chutegang.Transition, from chuteevent.Origin, id chutejob.ID) {
	j, ok := acceptedJob(t, id)
	if !ok {
		AnswerUnknown(t, from, id)
		return
	}
	t.Answer(from, chutecall.JobReply{Result: chuteresult.Result{Code: chuteresult.Done}, Job: j})
}

// Explain answers with the causes that keep a job waiting; limitCause is that of its workspace's limit, empty for none.
func Explain(t *chutegang.Transition, from chuteevent.Origin, id chutejob.ID, limitCause string) {
	j, ok := acceptedJob(t, id)
	if !ok {
		AnswerUnknown(t, from, id)
		return
	}
	t.Answer(from, chutecall.ExplainReply{Job: j, Causes: chuteadmission.Causes(t, j, limitCause)})
}

// List answers with the jobs of the shard, maxListed at most.
func List(t *chutegang.Transition, from chuteevent.Origin) {
	jobs := append(t.State.Live(), t.State.Ended()...)
	jobs = slices.DeleteFunc(jobs, chutejob.Job.Rejected)
	t.Answer(from, chutecall.JobsReply{Jobs: jobs[:min(len(jobs), maxListed)]})
}

// ShowUse answers with what the workspaces use of the shard.
func ShowUse(t *chutegang.Transition, from chuteevent.Origin) {
	reply := chutecall.UseReply{Workspaces: make(map[string]chutecall.WorkspaceUse)}
	for _, j := range t.State.Live() {
		use := reply.Workspaces[j.Spec.Workspace]
		if j.Phase == chutejob.PhaseWaiting {
			use.Waiting++
		} else {
			use.InUse += j.Spec.Shape.Total()
		}
		reply.Workspaces[j.Spec.Workspace] = use
	}
	t.Answer(from, reply)
}
