package chutesimulation

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// outdatedOwner returns a history of two hosts in which the owner of shard 0 hears nothing from the other host, which
// has just committed a document with the workspace "new". It returns the index of the owner.
func outdatedOwner(t *testing.T) (*history, int) {
	t.Helper()
	h := newHistory(2, 2)
	s := h.simulation
	owner := s.owner(0)
	other := 1 - owner
	s.SetLinkCut(owner, other, true)
	s.SetLinkCut(other, owner, true)
	workspaces := []chutedocument.Workspace{{Name: "new"}}
	version := len(s.documents)
	h.apply(other, chutedocument.Change{Team: "ops", Workspaces: &workspaces, Override: true})
	for range 1000 {
		s.Run(time.Millisecond)
		if len(s.documents) > version {
			break
		}
	}
	if len(s.documents) == version || s.Hosts[owner].State.Document().Version > version {
		t.Fatal("the owner already knows the new document, or there is none")
	}
	return h, owner
}

func (s *Simulation) submitTo(host int, workspace string) chuteevent.CallID {
	return s.Call(host, chutecall.SubmitJob{Job: "j", Spec: chutejob.Spec{Name: "j", Workspace: workspace, Command: "run 1s", Shape: chutetopology.Shape{
		Parts: 1, Accelerators: 1, Within: chutetopology.LevelWorker,
	}}})
}

// code returns the result code of the reply to the call, and 0 if there is no reply yet.
func (s *Simulation) code(id chuteevent.CallID) chuteresult.Code {
	switch r := s.Replies[id].Reply.(type) {
	case chutecall.JobReply:
		return r.Result.Code
	case chutecall.ResultReply:
		return r.Result.Code
	}
	return 0
}

// TestAnOutdatedDocumentRefusesNoJob guards against an owner that refuses a job because it has not read the document in
// which the job's workspace is new.
func TestAnOutdatedDocumentRefusesNoJob(t *testing.T) {
	is := is.New(t)
	h, owner := outdatedOwner(t)
	known := h.simulation.submitTo(owner, "new")
	unknown := h.simulation.submitTo(owner, "absent")
	h.simulation.Run(1500 * time.Millisecond)
	is.Equal(h.simulation.code(known), chuteresult.Accepted)
	is.Equal(h.simulation.code(unknown), chuteresult.NotFound) // the head, read since the call arrived, has no such workspace
	is.Equal(h.simulation.Violation, "")
}

// TestAnUnconfirmedDocumentIsNoReasonToRefuse checks that an owner that cannot read the head says that it is not ready.
func TestAnUnconfirmedDocumentIsNoReasonToRefuse(t *testing.T) {
	is := is.New(t)
	h, owner := outdatedOwner(t)
	h.simulation.SetStoreCut(owner, true)
	id := h.simulation.submitTo(owner, "new")
	h.simulation.Run(3 * time.Second)
	is.Equal(h.simulation.code(id), chuteresult.NotReady)
}

// TestAJobIsNotUnknownToAnOwnerWithoutALease guards against an owner that was paused past its lease and answers that a
// job does not exist, although the next owner of the shard has accepted it.
func TestAJobIsNotUnknownToAnOwnerWithoutALease(t *testing.T) {
	for _, call := range []chutecall.ShardCall{chutecall.ShowJob{Job: "0000-j"}, chutecall.CancelJob{Job: "0000-j"}, chutecall.ExplainJob{Job: "0000-j"}} {
		is := is.New(t)
		h := newHistory(2, 2)
		s := h.simulation
		owner := s.owner(0)
		s.Pause(owner)
		s.timeWithoutOwner(0, owner)
		accepted := s.submitTo(1-owner, "a")
		s.Run(time.Second)
		is.Equal(s.code(accepted), chuteresult.Accepted)
		id := s.Call(owner, call) // arrives during the pause and is handled first after it
		s.Resume(owner)
		s.Run(10 * time.Millisecond)
		is.True(s.code(id) != chuteresult.NotFound)
	}
}
