package chutesimulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// limitChange returns a change of the workspaces of initialChange to these limits.
func limitChange(limitA, limitB int) chutedocument.Change {
	workspaces := *initialChange(1).Workspaces
	workspaces[0].Limit.Accelerators, workspaces[1].Limit.Accelerators = limitA, limitB
	workspaces[1].Weight = 2
	return chutedocument.Change{Team: "ops", Override: true, Workspaces: &workspaces}
}

// TestLimitsHoldThroughFaultsAndChanges guards against a start that raises a workspace above its limit while owners are
// replaced, the store fails, jobs start and end, and limits are introduced, lowered, raised and removed; and against jobs
// that a limit holds back for good.
func TestLimitsHoldThroughFaultsAndChanges(t *testing.T) {
	for _, seed := range Seeds(1, 12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := newHistory(seed, 3)
			policy := *initialChange([]int{1, 3, 4}[seed%3]).Policy
			h.apply(0, chutedocument.Change{Team: "ops", Override: true, Policy: &policy})
			h.simulation.Run(5 * time.Second)
			fault := faultKinds[seed%uint64(len(faultKinds))]
			for range 60 {
				switch h.random.IntN(10) {
				case 0:
					h.apply(h.randomHost(), limitChange([]int{0, 12, 12, 14, 20}[h.random.IntN(5)], []int{0, 8, 8, 10, 16}[h.random.IntN(5)]))
				case 1:
					h.injectFault(fault)
				case 2:
					h.cancelRandomJob()
				default:
					h.submitRandomJob()
				}
				h.simulation.Run(time.Duration(1+h.random.IntN(3000)) * time.Millisecond)
			}
			h.simulation.Run(16 * time.Second) // until the store is back
			last := limitChange(16, 16)
			(*last.Workspaces)[0].Guarantees = nil // jobs that must not run twice never fit beside them in a small shard
			h.apply(0, last)
			h.endFaults()
			h.verify()
			if s := h.simulation; s.Violation != "" {
				t.Fatalf("fault %s: %s, counters %v", fault, s.Violation, s.Counters)
			}
		})
	}
}

// limitedHistory returns a history with workers in the shards 1 and 2, in which workspace b has the limit 8 and the
// guarantees.
func limitedHistory(guarantees ...chutedocument.Guarantee) *history {
	h := newHistory(1, 2)
	change := limitChange(0, 8)
	(*change.Workspaces)[0].Guarantees, (*change.Workspaces)[1].Guarantees = nil, guarantees
	change.Policy = initialChange(3).Policy
	h.apply(0, change)
	h.simulation.Run(20 * time.Second)
	return h
}

// submit submits a job of workspace b to the shard, under the first name that the entry hosts map to it.
func (h *history) submit(shard, parts, accelerators int, command string) chutejob.ID {
	for n := range 100 {
		name := chutejob.ID(fmt.Sprintf("%d-%d", len(h.calls), n))
		call := h.simulation.Call(0, chutecall.SubmitJob{Job: name, Spec: chutejob.Spec{
			Name: "job", Workspace: "b", Checkpoint: true, Command: command,
			Shape: chutetopology.Shape{Parts: parts, Accelerators: accelerators, Within: chutetopology.LevelRack},
		}})
		h.simulation.Run(100 * time.Millisecond)
		reply, _ := h.simulation.Replies[call].Reply.(chutecall.JobReply)
		if reply.Job.ID == chutejob.ID(fmt.Sprintf("%04d-%s", shard, name)) {
			h.calls[call] = string(name)
			return reply.Job.ID
		}
		h.simulation.Call(0, chutecall.CancelJob{Job: reply.Job.ID})
	}
	return ""
}

func (h *history) job(id chutejob.ID) chutejob.Job {
	for _, j := range h.simulation.Jobs() {
		if j.ID == id {
			return j
		}
	}
	return chutejob.Job{}
}

// TestAJobOverItsLimitIsRefused guards against a job that is accepted although it can never start.
func TestAJobOverItsLimitIsRefused(t *testing.T) {
	h := limitedHistory()
	h.apply(0, limitChange(0, 7))
	h.simulation.Run(5 * time.Second)
	id := h.simulation.Call(0, chutecall.SubmitJob{Job: "j", Spec: chutejob.Spec{
		Name: "j", Workspace: "b", Shape: chutetopology.Shape{Parts: 4, Accelerators: 2, Within: chutetopology.LevelRack},
	}})
	h.simulation.Run(5 * time.Second)
	is.New(t).Equal(h.simulation.code(id), chuteresult.OverQuota)
}

// TestTheWholeLimitReachesAShard guards against parts of the limit that stay with a shard which does not use them.
func TestTheWholeLimitReachesAShard(t *testing.T) {
	is := is.New(t)
	h := limitedHistory()
	h.simulation.Run(time.Minute)
	for _, shard := range []int{1, 2} {
		id := h.submit(shard, 4, 2, "run 5s")
		h.simulation.Run(time.Minute)
		is.Equal(h.job(id).Result.Code, chuteresult.Done)
	}
}

// TestAGangIsNotStarvedBySmallJobsOfItsWorkspace guards against small jobs on another shard that take each part of the
// limit that becomes free while a gang waits for all of it.
func TestAGangIsNotStarvedBySmallJobsOfItsWorkspace(t *testing.T) {
	is := is.New(t)
	h := limitedHistory()
	for range 8 {
		h.submit(1, 1, 2, "run 8s")
	}
	gang := h.submit(2, 4, 2, "run 5s")
	submitted := h.simulation.Now
	for h.job(gang).Phase != chutejob.PhaseEnded && h.simulation.Now.Sub(submitted) < time.Minute {
		h.submit(1, 1, 2, "run 8s")
		h.simulation.Run(time.Second)
	}
	is.Equal(h.job(gang).Result.Code, chuteresult.Done)
	is.Equal(h.simulation.Violation, "")
}

// TestExplainNamesTheLimit guards against a job that waits for its limit and gives another reason.
func TestExplainNamesTheLimit(t *testing.T) {
	is := is.New(t)
	h := limitedHistory()
	h.submit(1, 4, 2, "run 2m")
	h.simulation.Run(20 * time.Second) // the shards asked for the limit before may give it back after 10 s
	held := h.submit(2, 1, 2, "run 1s")
	h.simulation.Run(3 * time.Second)
	id := h.simulation.Call(0, chutecall.ExplainJob{Job: held})
	h.simulation.Run(time.Second)
	reply, ok := h.simulation.Replies[id].Reply.(chutecall.ExplainReply)
	is.True(ok)
	is.Equal(reply.Causes[0], "limit: workspace b may hold 8 accelerators; 8 are allotted to its jobs on all shards, 0 to this shard, of which 0 are in use")
}

// TestACoveredJobStopsBorrowersOfItsWorkspace guards against a guarantee that cannot be claimed because borrowers of the
// same workspace on another shard use up the limit.
func TestACoveredJobStopsBorrowersOfItsWorkspace(t *testing.T) {
	is := is.New(t)
	h := limitedHistory(chutedocument.Guarantee{Count: 1, Shape: chutetopology.Shape{Parts: 1, Accelerators: 4, Within: chutetopology.LevelWorker}})
	covering := h.simulation.Hosts[0].State.Document().Allotments[0].Shard
	borrower := h.submit(3-covering, 2, 4, "run 10m") // fits into no cell, so that the hosts take either shard
	h.simulation.Run(10 * time.Second)
	is.Equal(h.job(borrower).Phase, chutejob.PhaseRunning)
	covered := h.submit(covering, 1, 4, "run 1s")
	h.simulation.Run(15 * time.Second)
	is.Equal(h.job(covered).Result.Code, chuteresult.Done)
	is.Equal(h.simulation.Violation, "")
}
