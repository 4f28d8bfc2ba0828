package chuteintake

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutebacklog"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetask"
)

const (
	// retryDelay is the delay before a refused request to the store is sent again.
	retryDelay = 100 * time.Millisecond
	// maxRefusedTime is how long after its arrival a call is still retried while the store refuses its requests.
	maxRefusedTime = 700 * time.Millisecond
	// answerMargin is how long before its deadline a call is answered even if the store has not answered.
	answerMargin = 150 * time.Millisecond
	// clientRetryDelay is the delay after which a client may retry a call that failed because of the store.
	clientRetryDelay = time.Second
	// backlogRetryDelay is the delay after which a client may retry a job that was refused because of the jobs that wait.
	backlogRetryDelay = 5 * time.Second
	component         = "intake"
)

// View is the state of the host that the intake needs for a call.
type View struct {
	Catalog        chutecatalog.Catalog
	CatalogAge     time.Duration  // for how long there may have been a newer one that this host does not know
	CatalogCurrent bool           // no newer one must be in force
	Pending        map[string]int // number of accepted jobs of which no task has started, by queue
	PendingPartial bool           // queues that they leave out may have pending jobs
	PendingCurrent bool           // these numbers are recent enough to be shown
	StoreReachable bool           // the store has answered this host recently
	StoreClock     time.Duration  // what the store's clock shows; 0 if it has not been read
	Backlog        Backlog
}

// Backlog is the scheduler's latest report on the unfinished jobs, and how many hosts share what it leaves.
type Backlog struct {
	ID     chutebacklog.ReportID
	Report chutebacklog.Report
	Hosts  int
}

// State is the immutable state of the calls in progress.
type State struct {
	calls        *immutable.SortedMap[chuteaction.CallID, call]
	tokens       *immutable.Map[chuteaction.Token, chuteaction.CallID]
	credit       chutebacklog.Credit
	stopDeadline time.Time // when a planned stop must have answered all calls; zero for no limit
}

// New returns the state without calls.
func New() State {
	return State{
		calls:  immutable.NewSortedMap[chuteaction.CallID, call](nil),
		tokens: immutable.NewMap[chuteaction.Token, chuteaction.CallID](nil),
	}
}

// WithStopDeadline returns the state of a stopping host, which answers all calls by the deadline.
func (s State) WithStopDeadline(deadline time.Time) State {
	s.stopDeadline = deadline
	return s
}

// answerDeadline returns the time by which the call must be answered.
func (s State) answerDeadline(c call) time.Time {
	if !s.stopDeadline.IsZero() && s.stopDeadline.Before(c.deadline) {
		return s.stopDeadline
	}
	return c.deadline
}

// Len returns the number of calls in progress.
func (s State) Len() int {
	return s.calls.Len()
}

// call is the state of a call in progress.
type call struct {
	id        chuteaction.CallID
	arrivedAt time.Time
	deadline  time.Time
	job       chutegraph.JobID
	queue     string
	stage     stage
	write     chuteaction.WriteRows // set in the stages that write
	refusal   chuteresult.Result    // why the job is refused, in stageRefuseJob
	uncertain bool                  // a write got no answer, so it may have committed or may still commit
	resendAt  time.Time             // when to send the request again; zero while it waits for an answer
}

// stage is the request to the store that a call waits for.
type stage int

const (
	stageRecordJob      stage = iota + 1 // write of the submission
	stageReadProgress                    // read of the job's progress, to answer with its phase
	stageReadSubmission                  // read of the submission and cancellation of a job that has no progress row
	stageFindJob                         // read of the submission of a job that is to be cancelled
	stageRecordCancel                    // write of the cancellation of a recorded job
	stageRejectJob                       // write of the cancellation of a job that is not recorded
	stageRefuseJob                       // write of the cancellation of a job that its workspace's quota never allows, unless it is recorded
)

// writes reports whether the request is a write.
func (s stage) writes() bool {
	return s == stageRecordJob || s == stageRecordCancel || s == stageRejectJob || s == stageRefuseJob
}

func (c call) withStage(s stage) call {
	c.stage = s
	c.resendAt = time.Time{}
	return c
}

func (c call) withResendAt(at time.Time) call {
	c.resendAt = at
	return c
}

func (c call) withUncertain() call {
	c.uncertain = true
	return c
}

func (c call) withWrite(w chuteaction.WriteRows) call {
	c.write = w
	return c
}

func (s State) withCall(c call) State {
	s.calls = s.calls.Set(c.id, c)
	return s
}

func (s State) withoutCall(id chuteaction.CallID) State {
	s.calls = s.calls.Delete(id)
	return s
}

// Owns reports whether the token belongs to a request whose answer the intake still expects. The call itself may have
// been answered already.
func (s State) Owns(token chuteaction.Token) bool {
	_, ok := s.tokens.Get(token)
	return ok
}

func (s State) resolveToken(token chuteaction.Token) (State, call, bool) {
	id, ok := s.tokens.Get(token)
	if !ok {
		return s, call{}, false
	}
	s.tokens = s.tokens.Delete(token)
	c, ok := s.calls.Get(id)
	return s, c, ok
}

func (s State) answer(t *chuteaction.Transition, c call, result chuteresult.Result, retryAfter time.Duration, body chuteaction.AnswerBody) State {
	t.Emit(chuteaction.AnswerCall{ID: c.id, Result: result, RetryAfter: retryAfter, Body: body})
	if result.Code.Class() != chuteresult.ClassRan {
		t.Count("call-refused", result.Code.String())
		t.Warn(component, "call not served", c.job, "code", result.Code, "detail", result.Detail, "queue", c.queue,
			"waited", t.Now.Sub(c.arrivedAt), "retry-after", retryAfter)
	}
	return s.withoutCall(c.id)
}

func (s State) answerPhase(t *chuteaction.Transition, c call, phase chutetask.Phase) State {
	return s.answer(t, c, chuteresult.Result{Code: chuteresult.Done}, 0, chuteaction.JobState{Phase: phase})
}
