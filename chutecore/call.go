package chutecore

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chuterevision"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// call handles a call of this host's front end.
func (t *turn) call(e chuteevent.CallArrived) {
	if !t.state.keeper.Ready() {
		t.answer(e.ID, chutecall.Refuse(chuteresult.NotReady, "the document's head has not been read yet"))
		return
	}
	if t.state.stopping {
		t.answer(e.ID, chutecall.Refuse(chuteresult.Stopping, "this entry host is stopping"))
		return
	}
	switch c := e.Call.(type) {
	case chutecall.ShardCall:
		t.shardCall(e, c)
	case chutecall.ApplyDocument:
		t.enterKeeper(t.state.keeper.Apply(t.keeperEnvironment(), chuterevision.Origin{ID: e.ID}, c))
	case chutecall.ShowDocument:
		t.answer(e.ID, t.state.keeper.Show())
	case chutecall.ListWorkspaces:
		t.answer(e.ID, t.state.keeper.Workspaces())
	case chutecall.Status:
		t.answer(e.ID, t.status())
	}
}

func (t *turn) answer(id chuteevent.CallID, reply chutecall.Reply) {
	t.emit(chuteevent.AnswerCall{ID: id, Reply: reply})
}

// shardCall answers a call from the shard's state if this host owns it, and forwards it to the owner otherwise.
func (t *turn) shardCall(e chuteevent.CallArrived, call chutecall.ShardCall) {
	call, shard, refusal := t.placeCall(call)
	if refusal != nil {
		t.answer(e.ID, chutecall.ResultReply{Result: *refusal})
		return
	}
	if s, ok := t.state.shards.Get(shard); ok {
		t.enterShard(s.Call(t.shardEnvironment(shard), e.ID, "", call))
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
	t.state.forwards = t.state.forwards.Set(e.ID, forwarded{to: owner, deadline: t.now.Add(forwardLimit), changes: changes(call)})
	t.emit(chuteevent.SendPeerMessage{To: owner, Message: chuteevent.ForwardCall{ID: e.ID, RequestID: e.RequestID, Call: call}})
}

// changes reports whether the call may change something.
func changes(call chutecall.ShardCall) bool {
	switch call.(type) {
	case chutecall.SubmitJob, chutecall.CancelJob:
		return true
	case chutecall.ShowJob, chutecall.ExplainJob, chutecall.ListJobs:
		return false
	}
	return true
}

// placeCall returns the call with the shard that it belongs to. A submitted job is given its shard here.
func (t *turn) placeCall(call chutecall.ShardCall) (chutecall.ShardCall, int, *chuteresult.Result) {
	submit, ok := call.(chutecall.SubmitJob)
	if !ok {
		return call, shardOfCall(call), nil
	}
	shard, refusal := t.placeJob(submit)
	submit.Job = chutejob.ID(fmt.Sprintf("%04d-%s", shard, submit.Job))
	return submit, shard, refusal
}

// shardOfCall returns the shard that the call or its job names, -1 if it names none.
func shardOfCall(call chutecall.ShardCall) int {
	switch c := call.(type) {
	case chutecall.ListJobs:
		return c.Shard
	case chutecall.SubmitJob:
		return shardOfJob(c.Job)
	case chutecall.ShowJob:
		return shardOfJob(c.Job)
	case chutecall.CancelJob:
		return shardOfJob(c.Job)
	case chutecall.ExplainJob:
		return shardOfJob(c.Job)
	}
	return -1
}

// shardOfJob returns the shard that a job's id names, -1 if it names none.
func shardOfJob(id chutejob.ID) int {
	prefix, _, ok := strings.Cut(string(id), "-")
	shard, err := strconv.Atoi(prefix)
	if !ok || err != nil {
		return -1
	}
	return shard
}

// placeJob chooses the shard of a job: one with a guaranteed cell for it if there is one, else any that could ever
// hold it. The same id is given the same shard by every entry host with the same document and topology.
func (t *turn) placeJob(c chutecall.SubmitJob) (int, *chuteresult.Result) {
	if err := c.Spec.Check(); err != nil {
		result := chuteresult.FromError(err)
		return 0, &result
	}
	document := t.state.keeper.Document()
	var candidates []int
	for _, a := range document.Allotments {
		if a.Workspace == c.Spec.Workspace && a.Shape.Contains(c.Spec.Shape) && !slices.Contains(candidates, a.Shard) {
			candidates = append(candidates, a.Shard)
		}
	}
	if len(candidates) == 0 {
		candidates = t.shardsThatFit(c.Spec.Shape, document)
	}
	if len(candidates) == 0 {
		result := chuteresult.New(chuteresult.NeverFits, "shape: %s fits no shard, even when empty", c.Spec.Shape)
		return 0, &result
	}
	return slices.MaxFunc(candidates, func(a, b int) int {
		return cmp.Compare(jobWeight(c.Job, a), jobWeight(c.Job, b))
	}), nil
}

func jobWeight(id chutejob.ID, shard int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", id, shard))
}

func (t *turn) shardsThatFit(shape chutetopology.Shape, document chutedocument.Document) []int {
	var shards []int
	for shard := range document.Policy.Shards {
		if _, ok := chuteaccelerator.New(t.shardTopology(shard)).Place(shape); ok {
			shards = append(shards, shard)
		}
	}
	return shards
}

// status answers with this host's view.
func (t *turn) status() chutecall.Reply {
	reply := chutecall.StatusReply{
		Host: t.state.self.Host, Document: t.state.keeper.Document().Version, Age: t.state.keeper.Age(t.now),
		Store: string(t.state.store), Backends: t.state.router.Status(),
	}
	reply.Hosts = append(reply.Hosts, chutecall.HostStatus{
		Host: t.state.self.Host, Address: t.state.self.PeerAddress, Front: t.state.self.FrontAddress,
		Live: t.state.host.LeaseValid(t.now), Linked: true, Document: reply.Document,
	})
	for _, row := range t.state.host.Peers(t.now) {
		reply.Hosts = append(reply.Hosts, chutecall.HostStatus{
			Host: row.Host, Address: row.PeerAddress, Front: row.FrontAddress, Live: true, Linked: t.linked(row.Host),
			Document: t.state.keeper.PeerVersion(row.Host),
		})
	}
	for number := range t.state.keeper.Document().Policy.Shards {
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
