package chutecore

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chuteadmission"
	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// handleCall handles a call that arrived at this host's front end.
func (t *transition) handleCall(e chuteevent.CallArrived) {
	if !t.state.revision.Ready() {
		t.answer(e.ID, chutecall.Refuse(chuteresult.NotReady, "the document's head has not been read yet"))
		return
	}
	if t.state.stopping {
		t.answer(e.ID, chutecall.Refuse(chuteresult.Stopping, "this entry host is stopping"))
		return
	}
	switch c := e.Call.(type) {
	case chutecall.ShardCall:
		t.handleShardCall(e, c)
	case chutecall.ApplyDocument:
		t.applyRevision(t.state.revision.Apply(t.revisionEnvironment(), chuteevent.Origin{ID: e.ID}, c))
	case chutecall.ShowDocument:
		t.answer(e.ID, t.state.revision.Show())
	case chutecall.ListWorkspaces:
		t.answer(e.ID, t.state.revision.Workspaces())
	case chutecall.Status:
		t.answer(e.ID, t.status())
	}
}

func (t *transition) answer(id chuteevent.CallID, reply chutecall.Reply) {
	t.emit(chuteevent.AnswerCall{ID: id, Reply: reply})
}

// handleShardCall answers the call from the shard's state if this host owns the shard, and forwards it to the owner
// otherwise.
func (t *transition) handleShardCall(e chuteevent.CallArrived, call chutecall.ShardCall) {
	arrived := arrivedCall{origin: chuteevent.Origin{ID: e.ID}, requestID: e.RequestID, call: call, arrivedAt: t.now}
	call, shard, refusal := t.assignShard(call)
	if refusal != nil {
		if !chuteadmission.FollowsDocument(refusal.Code) || !t.deferCall(arrived) {
			t.answer(e.ID, chutecall.ResultReply{Result: *refusal})
		}
		return
	}
	if s, ok := t.state.shards.Get(shard); ok {
		t.callShard(s, arrived, call)
		return
	}
	owner, _ := t.state.host.Owner(shard)
	if owner == "" || owner == t.state.self.Host {
		t.answer(e.ID, chutecall.Refuse(chuteresult.NoOwner, "shard %d has no owner at the moment", shard))
		return
	}
	if !t.linked(owner) {
		t.answer(e.ID, chutecall.Refuse(chuteresult.NoOwner, "shard %d: its owner %s cannot be reached from here", shard, owner))
		return
	}
	t.state.forwards = t.state.forwards.Set(e.ID, forwardedCall{owner: owner, deadline: t.now.Add(forwardTimeout), mutating: mutates(call)})
	t.emit(chuteevent.SendPeerMessage{To: owner, Message: chuteevent.ForwardCall{ID: e.ID, RequestID: e.RequestID, Call: call}})
}

// mutates reports whether the call may change a job.
func mutates(call chutecall.ShardCall) bool {
	switch call.(type) {
	case chutecall.SubmitJob, chutecall.CancelJob:
		return true
	case chutecall.ShowJob, chutecall.ExplainJob, chutecall.ListJobs, chutecall.ShowUse:
		return false
	}
	return true
}

// assignShard returns the call and the number of its shard, or the reason why no shard takes it. It chooses the shard
// of a submitted job and puts the number in front of the job's id.
func (t *transition) assignShard(call chutecall.ShardCall) (chutecall.ShardCall, int, *chuteresult.Result) {
	submit, ok := call.(chutecall.SubmitJob)
	if !ok {
		return call, callShard(call), nil
	}
	shard, refusal := t.chooseShard(submit)
	submit.Job = chutejob.ID(fmt.Sprintf("%04d-%s", shard, submit.Job))
	return submit, shard, refusal
}

// callShard returns the shard that the call or its job id names, or -1 if there is none.
func callShard(call chutecall.ShardCall) int {
	switch c := call.(type) {
	case chutecall.ListJobs:
		return c.Shard
	case chutecall.ShowUse:
		return c.Shard
	case chutecall.SubmitJob:
		return jobShard(c.Job)
	case chutecall.ShowJob:
		return jobShard(c.Job)
	case chutecall.CancelJob:
		return jobShard(c.Job)
	case chutecall.ExplainJob:
		return jobShard(c.Job)
	}
	return -1
}

// jobShard returns the shard number at the front of a job id, or -1 if there is none.
func jobShard(id chutejob.ID) int {
	prefix, _, ok := strings.Cut(string(id), "-")
	shard, err := strconv.Atoi(prefix)
	if !ok || err != nil {
		return -1
	}
	return shard
}

// chooseShard returns the shard for a job, or the reason why none takes it. It prefers shards with a guaranteed cell
// whose shape contains the job's and otherwise takes any shard in which the job would fit if nothing ran there.
// Rendezvous hashing makes every entry host with the same document and topology choose the same shard for the same job
// id.
func (t *transition) chooseShard(c chutecall.SubmitJob) (int, *chuteresult.Result) {
	if len(t.state.topology.Workers()) == 0 {
		result := chuteresult.New(chuteresult.NotReady, "the workers have not been listed yet")
		return 0, &result
	}
	if err := c.Spec.Check(); err != nil {
		result := chuteresult.FromError(err)
		return 0, &result
	}
	document := t.state.revision.Document()
	var candidates []int
	for _, a := range document.Allotments {
		if a.Workspace == c.Spec.Workspace && a.Shape.Contains(c.Spec.Shape) && !slices.Contains(candidates, a.Shard) {
			candidates = append(candidates, a.Shard)
		}
	}
	if len(candidates) == 0 {
		candidates = t.shardsFitting(c.Spec.Shape, document)
	}
	if len(candidates) == 0 {
		result := chuteresult.New(chuteresult.NeverFits, "shape: %s fits no shard, even when empty", c.Spec.Shape)
		return 0, &result
	}
	return slices.MaxFunc(candidates, func(a, b int) int {
		return cmp.Compare(rendezvousWeight(c.Job, a), rendezvousWeight(c.Job, b))
	}), nil
}

func rendezvousWeight(id chutejob.ID, shard int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", id, shard))
}

// shardsFitting returns the shards in which the shape would fit if nothing ran there.
func (t *transition) shardsFitting(shape chutetopology.Shape, document chutedocument.Document) []int {
	var shards []int
	for shard := range document.Policy.Shards {
		if _, ok := chuteaccelerator.New(t.shardTopology(shard)).Place(shape); ok {
			shards = append(shards, shard)
		}
	}
	return shards
}

// status returns the state of the system as this host sees it.
func (t *transition) status() chutecall.Reply {
	reply := chutecall.StatusReply{
		Host: t.state.self.Host, DocumentVersion: t.state.revision.Document().Version, Age: t.state.revision.Age(t.now),
		Store: string(t.state.store), Backends: t.state.router.Status(),
	}
	reply.Hosts = append(reply.Hosts, chutecall.HostStatus{
		Host: t.state.self.Host, Address: t.state.self.PeerAddress, Front: t.state.self.FrontAddress,
		Live: t.state.host.LeaseValid(t.now), Linked: true, DocumentVersion: reply.DocumentVersion,
	})
	for _, row := range t.state.host.Peers(t.now) {
		reply.Hosts = append(reply.Hosts, chutecall.HostStatus{
			Host: row.Host, Address: row.PeerAddress, Front: row.FrontAddress, Live: true, Linked: t.linked(row.Host),
			DocumentVersion: t.state.revision.PeerVersion(row.Host),
		})
	}
	for number := range t.state.revision.Document().Policy.Shards {
		owner, epoch := t.state.host.Owner(number)
		status := chutecall.ShardStatus{Shard: number, Owner: owner, Epoch: epoch}
		if s, ok := t.state.shards.Get(number); ok {
			status = s.Status()
			status.Owner = t.state.self.Host
		}
		reply.Shards = append(reply.Shards, status)
	}
	return reply
}
