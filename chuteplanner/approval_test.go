package chuteplanner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutefreshness"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteplanner"
	"monsoonchute.example/monsoonchute/chutepool"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	testID         = chutegraph.JobID("00000000000000aa")
	workerCount    = 40
	ticketValidity = 20 * time.Second
)

// scheduler plans the only step of a job, on workers that hold one task each. The approval service approves each fourth
// worker that a request names.
type scheduler struct {
	state       chuteledger.State
	planner     chuteplanner.Planner
	environment chuteledger.Environment
	refused     map[chutegraph.JobID]bool // jobs for which no worker is approved
	now         time.Time
}

func newScheduler(step chutegraph.Step) *scheduler {
	now := time.Unix(1_800_000_000, 0)
	s := &scheduler{now: now, refused: make(map[chutegraph.JobID]bool), planner: chuteplanner.New(), state: chuteledger.New(1, chuteledger.Bounds{}, now)}
	s.environment.Catalog.Queues = []chutecatalog.Queue{{Name: "queue", Service: "service", Priority: 1, Approval: &chutecatalog.Approval{}}}
	step.Request = chutecapacity.Resources{Processor: 1000}
	for i := range workerCount {
		w := chutepool.NewWorker(chutepool.Listing{
			ID: chutetask.WorkerID(fmt.Sprintf("w%02d", i)), Service: "service", Zone: fmt.Sprintf("zone-%d", i/10), Capacity: step.Request,
		}, now)
		w.Contacted = true
		s.state.Pool = s.state.Pool.With(w)
	}
	submission := chutetask.Submission{ID: testID, Queue: "queue", Spec: chutegraph.Spec{Steps: []chutegraph.Step{step}}}
	s.state.Live = s.state.Live.Set(testID, chutetask.New(submission, 1, now).WithOccurrenceBegun(0))
	return s
}

// plan lets a planning pass take place after a second and the approval service answer it, and returns the number of
// workers that the pass asked for.
func (s *scheduler) plan() int {
	s.now = s.now.Add(time.Second)
	s.state.List = chutefreshness.New(s.now, 0)
	t := chuterunner.NewTransition(chuteaction.NewTransition(s.now, 0), s.state, s.environment)
	s.planner = s.planner.Plan(t)
	asked := 0
	for _, effect := range t.Effects {
		if request, ok := effect.(chuteaction.RequestApproval); ok {
			asked += len(request.Workers)
			s.planner = s.planner.HandleStepApproved(t, s.approve(request))
		}
	}
	s.state = t.State
	return asked
}

func (s *scheduler) approve(request chuteaction.RequestApproval) chuteaction.StepApproved {
	approved := chuteaction.StepApproved{Step: request.Step, Outcome: chuteaction.ApprovalAnswered, Validity: ticketValidity, Tickets: make(map[chutetask.WorkerID]string)}
	for _, id := range request.Workers {
		if last := id[len(id)-1]; !s.refused[request.Step.Job] && (last == '1' || last == '5') {
			approved.Tickets[id] = "ticket"
		}
	}
	return approved
}

// started returns the number of tasks that have a run.
func (s *scheduler) started() int {
	j, _ := s.state.Job(testID)
	count := 0
	j.ForEachTask(func(_ chutegraph.TaskID, task chutetask.Task) {
		if task.Phase == chutetask.TaskActive {
			count++
		}
	})
	return count
}

// TestAGangStartsOnWorkersOfSeveralApprovals guards against a gang that waits for good since no request names enough workers for it.
func TestAGangStartsOnWorkersOfSeveralApprovals(t *testing.T) {
	is := is.New(t)
	s := newScheduler(chutegraph.Step{Count: 8, Gang: true})
	for range 60 {
		s.plan()
	}
	is.Equal(s.started(), 8)
}

// TestAStepDoesNotWaitForTicketsOfWorkersThatMayNotStartIt guards against a step that waits until its tickets expire.
func TestAStepDoesNotWaitForTicketsOfWorkersThatMayNotStartIt(t *testing.T) {
	is := is.New(t)
	s := newScheduler(chutegraph.Step{Count: 1})
	is.Equal(s.plan(), 30)
	s.environment.EvacuatedZones = map[string]bool{"zone-0": true, "zone-1": true, "zone-2": true}
	for range 3 {
		s.plan()
	}
	is.Equal(s.started(), 1)
}

// TestAStepThatMayNotStartAnywhereAsksForEachWorkerOnce guards against requests without end while no approved worker may start the step.
func TestAStepThatMayNotStartAnywhereAsksForEachWorkerOnce(t *testing.T) {
	is := is.New(t)
	s := newScheduler(chutegraph.Step{Count: 9, Gang: true})
	asked := 0
	for range 15 {
		asked += s.plan()
	}
	is.Equal(asked, workerCount)
}

// TestStepsThatNobodyMayRunLeaveRequestsToOthers guards against a step that is never asked for since refused ones ask again without end.
func TestStepsThatNobodyMayRunLeaveRequestsToOthers(t *testing.T) {
	is := is.New(t)
	s := newScheduler(chutegraph.Step{Count: 1})
	j, _ := s.state.Job(testID)
	for i := range 5 {
		refused := j.Submission
		refused.ID = chutegraph.JobID(fmt.Sprintf("%016x", i))
		s.refused[refused.ID] = true
		s.state.Live = s.state.Live.Set(refused.ID, chutetask.New(refused, int64(i), s.now).WithOccurrenceBegun(0))
	}
	for range 20 {
		s.plan()
	}
	is.Equal(s.started(), 1)
}
