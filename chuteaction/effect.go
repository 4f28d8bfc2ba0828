package chuteaction

import (
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Effect is a request to the outside: one of the types below.
//
//sumtype:decl
type Effect interface{ sealedEffect() }

// StoreEffect is a request to the store: one of WriteRows and ReadRows.
//
//sumtype:decl
type StoreEffect interface {
	Effect
	sealedStoreEffect()
}

// OrderEffect is a request to a worker, or to a service about workers: one of StartRun, StopRun, PaceRun, RenewLease,
// AskApproval, ListMachines and MaintainMachine.
//
//sumtype:decl
type OrderEffect interface {
	Effect
	sealedOrderEffect()
}

// AnswerCall answers a call of a client.
type AnswerCall struct {
	ID         CallID
	Result     chuteresult.Result
	RetryAfter time.Duration // when the client may come back; 0 to tell nothing
	Body       AnswerBody    // nil for none
}

// AnswerBody is what an answer carries: one of the types below.
//
//sumtype:decl
type AnswerBody interface{ sealedAnswerBody() }

// JobState is the state of a job.
type JobState struct{ Phase chutetask.Phase }

// QueueDepth is the number of a queue's jobs of which no task has started.
type QueueDepth struct{ Pending int }

func (JobState) sealedAnswerBody()   {}
func (QueueDepth) sealedAnswerBody() {}

// Condition is the version that a row must have for a transaction to take effect.
type Condition struct {
	RowKey
	Version RowVersion
}

// WriteRows is a transaction: all of it takes effect or nothing.
type WriteRows struct {
	Token      Token
	Conditions []Condition
	Put        []Row
	Delete     []RowKey
}

// ReadRows reads the rows of a part whose keys are at least From and less than To; an empty To sets no end.
type ReadRows struct {
	Token     Token
	Table     Table
	Partition string
	From      string
	To        string
}

// FollowTable asks for the rows of a table and for all changes from then on.
type WatchTable struct {
	Table       Table
	MinInterval time.Duration // least time between two questions
	PollTimeout time.Duration // how long the store may wait for a change
}

// UnfollowTable ends the news about a table.
type UnwatchTable struct{ Table Table }

// TellLeader tells the leading host of rows about jobs that are recorded, before it reads of them.
type ForwardRows struct {
	Address    string // of the host
	Rows       []Row
	RecordedAt time.Time // when they were recorded
}

// KnowPeers tells where the other entry hosts take requests to the store.
type SetPeers struct{ Addresses []string }

// WorkerTarget tells where an order goes and under whose authority.
type WorkerTarget struct {
	Worker  chutetask.WorkerID
	Address string
	Epoch   int64
}

// StartRun orders a worker to start a run.
type StartRun struct {
	WorkerTarget
	Run        chutegraph.RunID
	Payload    string
	LeaseEnd   time.Duration // on the worker's clock
	Checkpoint string
	Ticket     string
}

// StopRun orders a worker to stop a run.
type StopRun struct {
	WorkerTarget
	Run chutegraph.RunID
}

// PaceRun lets a run work at a share of its full speed.
type PaceRun struct {
	WorkerTarget
	Run     chutegraph.RunID
	Percent int
}

// RenewLease lets everything on a worker run on, and asks what runs there and what has ended.
type RenewLease struct {
	WorkerTarget
	LeaseEnd        time.Duration // on the worker's clock; 0 to ask only
	AcknowledgedEnd int64         // number of the latest end that the worker may forget
	PollTimeout     time.Duration // how long the worker may wait for an end
}

// ForgetWorker closes the connections to a worker.
type DisconnectWorker struct{ Worker chutetask.WorkerID }

// AskApproval asks which workers may run a step.
type RequestApproval struct {
	Step    chutegraph.StepID
	Workers []chutetask.WorkerID
}

// ListMachines asks for the platform's list of machines.
type ListMachines struct{}

// MaintainMachine takes a machine down for its maintenance.
type MaintainMachine struct {
	Machine string
	Wave    int
	Epoch   int64
}

// Count adds one to a counter.
type Count struct {
	Counter string
	Reason  string
}

// Observe enters a duration into a histogram.
type Observe struct {
	Histogram string
	Kind      string
	Duration  time.Duration
}

// LogLine is one line of the log.
type LogLine struct {
	Component string // of the program
	Text      string
	Warning   bool
	Job       chutegraph.JobID // empty if the line is about none
	Fields    []Field
}

// Field is a named input or outcome of a decision.
type Field struct {
	Name  string
	Value string
}

// Stopped tells that the planned stop is complete.
type Stopped struct{}

func (WriteRows) sealedStoreEffect()       {}
func (ReadRows) sealedStoreEffect()        {}
func (StartRun) sealedOrderEffect()        {}
func (StopRun) sealedOrderEffect()         {}
func (PaceRun) sealedOrderEffect()         {}
func (RenewLease) sealedOrderEffect()      {}
func (RequestApproval) sealedOrderEffect() {}
func (ListMachines) sealedOrderEffect()    {}
func (MaintainMachine) sealedOrderEffect() {}

func (AnswerCall) sealedEffect()       {}
func (WriteRows) sealedEffect()        {}
func (ReadRows) sealedEffect()         {}
func (WatchTable) sealedEffect()       {}
func (UnwatchTable) sealedEffect()     {}
func (ForwardRows) sealedEffect()      {}
func (SetPeers) sealedEffect()         {}
func (StartRun) sealedEffect()         {}
func (StopRun) sealedEffect()          {}
func (PaceRun) sealedEffect()          {}
func (RenewLease) sealedEffect()       {}
func (DisconnectWorker) sealedEffect() {}
func (RequestApproval) sealedEffect()  {}
func (ListMachines) sealedEffect()     {}
func (MaintainMachine) sealedEffect()  {}
func (Count) sealedEffect()            {}
func (Observe) sealedEffect()          {}
func (LogLine) sealedEffect()          {}
func (Stopped) sealedEffect()          {}
