package chuteplanner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutefreshness"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutetask"
)

// figures are those that the configuration states of the approval service.
var figures = chutecatalog.Approval{DecisionTime: 500 * time.Millisecond, TimePerWorker: 20 * time.Millisecond, Validity: ticketValidity}

const (
	tickInterval    = 20 * time.Millisecond
	maxServiceQueue = 32
)

// waitingRequest is a request at the approval service.
type waitingRequest struct {
	request  chuteaction.RequestApproval
	giveUpAt time.Time // when the scheduler takes it as unanswered
	givenUp  bool
}

// slowService handles one request at a time, also those that have been given up.
type slowService struct {
	*scheduler
	slowdown  int // how many times as long as configured it takes
	queue     []*waitingRequest
	handledAt time.Time // when it has handled the first request of the queue
	handled   int
	busiest   int // longest queue so far
}

func newSlowService(s *scheduler, slowdown int) *slowService {
	s.environment.Catalog.Queues[0].Approval = &figures
	return &slowService{scheduler: s, slowdown: slowdown}
}

// run lets the time pass, with a planning pass at each tick.
func (s *slowService) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); {
		s.now = s.now.Add(tickInterval)
		s.state.List = chutefreshness.New(s.now, 0)
		t := chuterunner.NewTransition(chuteaction.NewTransition(s.now, 0), s.state, s.environment)
		s.serve(t)
		s.planner = s.planner.Plan(t)
		for _, effect := range t.Effects {
			if request, ok := effect.(chuteaction.RequestApproval); ok {
				s.receive(t, request)
			}
		}
		s.state = t.State
	}
}

func (s *slowService) receive(t *chuterunner.Transition, request chuteaction.RequestApproval) {
	if len(s.queue) >= maxServiceQueue {
		s.planner = s.planner.HandleStepApproved(t, chuteaction.StepApproved{Step: request.Step, Workers: request.Workers, Outcome: chuteaction.ApprovalRefused})
		return
	}
	s.queue = append(s.queue, &waitingRequest{request: request, giveUpAt: s.now.Add(request.Timeout)})
	s.busiest = max(s.busiest, len(s.queue))
	if len(s.queue) == 1 {
		s.begin()
	}
}

func (s *slowService) begin() {
	s.handledAt = s.now.Add(figures.RequestTime(len(s.queue[0].request.Workers)) * time.Duration(s.slowdown))
}

// serve gives the scheduler the answers and the missing ones that are due.
func (s *slowService) serve(t *chuterunner.Transition) {
	for _, w := range s.queue {
		if !w.givenUp && !s.now.Before(w.giveUpAt) {
			w.givenUp = true
			s.planner = s.planner.HandleStepApproved(t, chuteaction.StepApproved{Step: w.request.Step, Workers: w.request.Workers, Outcome: chuteaction.ApprovalNoAnswer})
		}
	}
	if len(s.queue) == 0 || s.now.Before(s.handledAt) {
		return
	}
	first := s.queue[0]
	s.queue = s.queue[1:]
	s.handled++
	if !first.givenUp {
		s.planner = s.planner.HandleStepApproved(t, approveAll(first.request))
	}
	if len(s.queue) > 0 {
		s.begin()
	}
}

func approveAll(request chuteaction.RequestApproval) chuteaction.StepApproved {
	approved := chuteaction.StepApproved{
		Step: request.Step, Workers: request.Workers, Outcome: chuteaction.ApprovalAnswered, Validity: ticketValidity,
		Tickets: make(map[chutetask.WorkerID]string),
	}
	for _, id := range request.Workers {
		approved.Tickets[id] = "ticket"
	}
	return approved
}

// addJobs adds jobs like the first one, each with the step.
func (s *slowService) addJobs(count int, step chutegraph.Step) []chutegraph.JobID {
	j, _ := s.state.Job(testID)
	step.Request = j.Spec.Steps[0].Request
	var ids []chutegraph.JobID
	for i := range count {
		submission := j.Submission
		submission.ID = chutegraph.JobID(fmt.Sprintf("%016x", i))
		submission.Spec = chutegraph.Spec{Steps: []chutegraph.Step{step}}
		s.state.Live = s.state.Live.Set(submission.ID, chutetask.New(submission, int64(i+2), s.now).WithOccurrenceBegun(0))
		ids = append(ids, submission.ID)
	}
	return ids
}

// begun returns how many of the jobs have a task with a run.
func (s *slowService) begun(ids ...chutegraph.JobID) int {
	count := 0
	for _, id := range ids {
		if j, ok := s.state.Job(id); ok && j.AnyActive() {
			count++
		}
	}
	return count
}

// TestABurstOfStepsIsApprovedInTurn guards against jobs that never start since the requests of a burst wait for each other at
// the approval service, are given up and sent again.
func TestABurstOfStepsIsApprovedInTurn(t *testing.T) {
	is := is.New(t)
	s := newSlowService(newScheduler(chutegraph.Step{Count: 1}), 1)
	ids := append(s.addJobs(9, chutegraph.Step{Count: 1}), testID)
	s.run(time.Duration(len(ids))*figures.RequestTime(30) + time.Second)
	is.Equal(s.begun(ids...), len(ids))
	is.True(s.busiest <= 4)
}

// TestAnApprovalThatTakesLongerThanConfiguredIsAwaited guards against a step that never starts since each request is given up before
// its answer, however long the service takes.
func TestAnApprovalThatTakesLongerThanConfiguredIsAwaited(t *testing.T) {
	for _, slowdown := range []int{4, 16} {
		is := is.New(t)
		s := newSlowService(newScheduler(chutegraph.Step{Count: 1}), slowdown)
		s.run(time.Duration(8*slowdown) * figures.RequestTime(30))
		is.Equal(s.begun(testID), 1)
	}
}

// TestAnApprovalServiceWithAFullQueueIsNotFloodedWithRequests guards against a step that keeps the queue of the service full.
func TestAnApprovalServiceWithAFullQueueIsNotFloodedWithRequests(t *testing.T) {
	is := is.New(t)
	s := newSlowService(newScheduler(chutegraph.Step{Count: 1}), 1)
	for range maxServiceQueue {
		s.queue = append(s.queue, &waitingRequest{request: chuteaction.RequestApproval{Step: chutegraph.StepID{Job: "other"}}, givenUp: true})
	}
	s.begin()
	s.run(maxServiceQueue*figures.DecisionTime + 15*time.Second)
	is.Equal(s.begun(testID), 1)
	is.True(s.handled <= maxServiceQueue+3)
}

// TestAStepWithoutRoomLeavesItsTurnToOneThatCanStart guards against a job that waits beside idle workers for the approvals of
// steps that cannot start yet.
func TestAStepWithoutRoomLeavesItsTurnToOneThatCanStart(t *testing.T) {
	is := is.New(t)
	s := newSlowService(newScheduler(chutegraph.Step{Count: workerCount + 1, Gang: true}), 1)
	s.addJobs(6, chutegraph.Step{Count: workerCount + 1, Gang: true})
	s.run(time.Second)
	j, _ := s.state.Job(testID)
	small := j.Submission
	small.ID, small.Spec = "00000000000000ff", chutegraph.Spec{Steps: []chutegraph.Step{{Count: 1, Request: j.Spec.Steps[0].Request}}}
	s.state.Live = s.state.Live.Set(small.ID, chutetask.New(small, 99, s.now).WithOccurrenceBegun(0))
	s.run(4 * figures.RequestTime(30))
	is.Equal(s.begun(small.ID), 1)
}
