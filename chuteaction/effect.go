package chuteaction

import (
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Effect is an action that the core asks its caller to carry out: one of the types below.
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

// OrderEffect is a request to a worker, to the approval service or to the platform: one of StartRun, StopRun, PaceRun,
// RenewLease, RequestApproval, ListMachines and MaintainMachine.
//
//sumtype:decl
type OrderEffect interface {
	Effect
	sealedOrderEffect()
}

// AnswerCall sends the answer of a client's call.
type AnswerCall struct {
	ID         CallID
	Result     chuteresult.Result
	RetryAfter time.Duration // time after which the client may retry; 0 for no such hint
	Body       AnswerBody    // nil if the answer has no body
}

// AnswerBody is the body of an answer: one of the types below.
//
//sumtype:decl
type AnswerBody interface{ sealedAnswerBody() }

// JobState is the body that holds the phase of a job.
type JobState struct{ Phase chutetask.Phase }

// QueueDepth is the body that holds the number of a queue's accepted jobs of which no task has started.
type QueueDepth struct{ Pending int }

func (JobState) sealedAnswerBody()   {}
func (QueueDepth) sealedAnswerBody() {}

// Condition is the version that a row must have for a transaction to commit; version 0 requires that the row is absent.
type Condition struct {
	RowKey
	Version RowVersion
}

// WriteRows runs a transaction: the store checks all conditions and applies all changes, or none.
type WriteRows struct {
	Token      Token
	Conditions []Condition
	Put        []Row
	Delete     []RowKey
}

// ReadRows reads the rows of a partition whose keys are at least From and less than To; an empty To sets no upper bound.
type ReadRows struct {
	Token     Token
	Table     Table
	Partition string
	From      string
	To        string
}

// WatchTable subscribes to a table: the core gets its rows and then all changes as TableChanged events.
type WatchTable struct {
	Watch       Token // in each event of this subscription; an event of an earlier one may come late
	Table       Table
	MinInterval time.Duration // shortest time between two polls
	PollTimeout time.Duration // how long the store holds a poll while nothing changes
	// ListAfter is the time since the latest answer after which the table is listed again rather than polled for all changes
	// since then, whose answer has no bound; 0 for never.
	ListAfter time.Duration
}

// UnwatchTable ends the subscription to a table.
type UnwatchTable struct{ Table Table }

// ForwardRows sends recorded rows about jobs to the leading host, before its watch of the store delivers them.
type ForwardRows struct {
	Address    string // relay address of the leading host
	Rows       []Row
	RecordedAt time.Time // time at which the store's confirmation arrived
}

// SetPeers replaces the list of relay addresses at which other entry hosts accept requests to the store.
type SetPeers struct{ Addresses []string }

// WorkerTarget is the worker that an order goes to and the epoch under which the scheduler sends it.
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
	LeaseEnd   time.Duration // reading of the worker's clock at which the lease expires
	Checkpoint string
	Ticket     string
	Timeout    time.Duration // time without an answer after which the outcome counts as unknown
	SendBefore time.Time     // latest time at which the order may be sent
}

// StopRun orders a worker to stop a run.
type StopRun struct {
	WorkerTarget
	Run chutegraph.RunID
}

// PaceRun orders a worker to limit a run to a percentage of its full speed.
type PaceRun struct {
	WorkerTarget
	Run     chutegraph.RunID
	Percent int
}

// RenewLease extends the lease of all runs on a worker, and requests a report of its running and ended runs.
type RenewLease struct {
	WorkerTarget
	LeaseEnd        time.Duration // reading of the worker's clock at which the lease expires; 0 requests a report only
	AcknowledgedEnd int64         // number of the latest end that the worker may delete
	PollTimeout     time.Duration // how long the worker may hold the request until a run ends
}

// DisconnectWorker closes the connections to a worker.
type DisconnectWorker struct{ Worker chutetask.WorkerID }

// RequestApproval asks the approval service which of the workers may run a step.
type RequestApproval struct {
	Step    chutegraph.StepID
	Workers []chutetask.WorkerID
	Timeout time.Duration // time after which the request counts as unanswered
}

// ListMachines requests the platform's list of machines.
type ListMachines struct{}

// MaintainMachine orders the platform to take a machine down for maintenance.
type MaintainMachine struct {
	Machine string
	Wave    int
	Epoch   int64
}

// Count increments a counter, labelled with a reason.
type Count struct {
	Counter string
	Reason  string
}

// Observe adds a duration to a histogram, labelled with a kind.
type Observe struct {
	Histogram string
	Kind      string
	Duration  time.Duration
}

// SetGauge sets a gauge with the labels to a value.
type SetGauge struct {
	Gauge  string
	Labels []Field
	Value  float64
}

// LogLine writes one line to the log.
type LogLine struct {
	Component string // component of the program that writes the line
	Text      string
	Warning   bool
	Job       chutegraph.JobID // empty if the line does not concern a job
	Fields    []Field
}

// Field is an attribute of a log line.
type Field struct {
	Name  string
	Value string
}

// Stopped reports that the planned stop is complete.
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
func (SetGauge) sealedEffect()         {}
func (LogLine) sealedEffect()          {}
func (Stopped) sealedEffect()          {}
