package chuteaction

import (
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutemaintenance"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Token identifies a request of the core to the store, so that the core can match the answer.
type Token int64

// CallID identifies a client's call within this process.
type CallID int64

// TimedEvent is an event with the time at which it happened.
type TimedEvent struct {
	At    time.Time
	Event Event
}

// Event is something that happened outside the core: one of the types below.
//
//sumtype:decl
type Event interface{ sealedEvent() }

// OrderResult is the result of an OrderEffect: one of RunStarted, RunStopped, LeaseRenewed, StepApproved, MachinesListed
// and MachineMaintained.
//
//sumtype:decl
type OrderResult interface {
	Event
	sealedOrderResult()
}

// Tick is the periodic event that drives timeouts and retries.
type Tick struct{}

// CallArrived is the arrival of a client's call.
type CallArrived struct {
	ID       CallID
	Deadline time.Time // time after which the client no longer waits
	Host     string
	Path     string
	Key      string // API key; empty if the call has none
	Call     Call
}

// Call is the operation that a client requests: one of the types below.
//
//sumtype:decl
type Call interface{ sealedCall() }

// SubmitJob submits a job; the path of the call holds its id.
type SubmitJob struct {
	Spec       chutegraph.Spec
	ParseError string // why the body cannot be decoded; empty if it can
}

// ShowJob queries the phase of the job, or the number of pending jobs if the path of the call holds no job id.
type ShowJob struct{}

// CancelJob cancels the job whose id the path of the call holds.
type CancelJob struct{}

func (SubmitJob) sealedCall() {}
func (ShowJob) sealedCall()   {}
func (CancelJob) sealedCall() {}

// CallAbandoned reports that the client no longer waits for the answer of its call.
type CallAbandoned struct{ ID CallID }

// StoreOutcome is the outcome of a request to the store.
type StoreOutcome int

// The outcomes of a request to the store.
const (
	StoreDone     StoreOutcome = iota + 1
	StoreConflict              // a condition did not hold; the store wrote nothing
	StoreRefused               // the store did not execute the request
	StoreUnknown               // no answer: the store may have executed the request, or may still execute it
	StoreRejected              // the store does not take the rows, and never will; it wrote nothing
)

// RowsWritten is the result of a WriteRows effect.
type RowsWritten struct {
	Token   Token
	Outcome StoreOutcome
	Version RowVersion // version of the written rows
	Current []Row      // after a conflict: the existing rows that the conditions name
}

// RowsRead is the result of a ReadRows effect.
type RowsRead struct {
	Token   Token
	Outcome StoreOutcome
	Rows    []Row
}

// TableChanged is an answer of the store about a watched table; it holds no rows if none has changed.
type TableChanged struct {
	Watch      Token // of the WatchTable effect
	Table      Table
	SentAt     time.Time     // when the request was sent
	HeldFor    time.Duration // how long the store held the request, a poll, if Rows is empty
	StoreClock time.Duration // the store's steady clock when it answered; 0 if unknown
	Complete   bool          // Rows holds all rows of the table, not only changes
	Rows       []Row
}

// RowsForwarded holds recorded rows about jobs that another host has sent.
type RowsForwarded struct{ Rows []Row }

// TableUnavailable reports that the store did not answer a poll of a watched table.
type TableUnavailable struct{ Table Table }

// OrderOutcome is the outcome of an order.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderAccepted    OrderOutcome = iota + 1
	OrderRefused                  // the worker did not execute the order, for the reason given
	OrderUnhealthy                // the worker is unhealthy, or the order was not sent; it was not executed
	OrderUnreachable              // no connection to the worker could be made; the order was not executed
	OrderMisdirected              // another worker answered at the address and did not execute the order
	OrderUnknown                  // no answer: the worker may have executed the order, or may still execute it
	OrderNotSent                  // the host did not send the order, which says nothing about the worker
)

// RefusalReason is the reason for which a worker refused an order.
type RefusalReason int

// The reasons for which workers refuse orders.
const (
	RefusedInvalid  RefusalReason = iota + 1
	RefusedFenced                 // the worker has seen a higher epoch
	RefusedStale                  // this run or a later run of its task was stopped or has ended on the worker
	RefusedExpired                // the lease that the order grants has expired
	RefusedCapacity               // the run does not fit on the worker
	RefusedTicket                 // the approval is missing or has expired
)

var refusalNames = []string{"", "invalid", "fence", "old", "late", "room", "ticket"}

// String returns the kebab-case name of the reason.
func (r RefusalReason) String() string {
	if r < RefusedInvalid || r > RefusedTicket {
		return "none"
	}
	return refusalNames[r]
}

// RunStarted is the result of a StartRun effect.
type RunStarted struct {
	Epoch   int64
	Worker  chutetask.WorkerID
	Address string // to which the order was sent
	Run     chutegraph.RunID
	Outcome OrderOutcome
	Reason  RefusalReason
	Clock   time.Duration // reading of the worker's clock; 0 if unknown
}

// RunStopped is the result of a StopRun effect.
type RunStopped struct {
	Epoch   int64
	Worker  chutetask.WorkerID
	Address string // to which the order was sent
	SentAt  time.Time
	Run     chutegraph.RunID
	Outcome OrderOutcome
	Reason  RefusalReason
}

// LeaseRenewed is the result of a RenewLease effect, with the worker's running and ended runs.
type LeaseRenewed struct {
	Epoch       int64
	Worker      chutetask.WorkerID
	Address     string // to which the order was sent
	SentAt      time.Time
	Outcome     OrderOutcome
	Reason      RefusalReason
	Clock       time.Duration
	Incarnation int64
	Running     []chutetask.RunReport
	Ended       []chutetask.RunEnd
	MoreEnded   bool // Ended holds only the first of the ended runs that the worker keeps
}

// StepApproved is the result of a RequestApproval effect: the tickets of the approved workers and their validity.
type StepApproved struct {
	Step     chutegraph.StepID
	Workers  []chutetask.WorkerID
	Outcome  ApprovalOutcome
	Tickets  map[chutetask.WorkerID]string // of the approved workers, if the request was answered
	Validity time.Duration
}

// ApprovalOutcome tells what became of a RequestApproval effect.
type ApprovalOutcome int

// The outcomes of a request to the approval service.
const (
	ApprovalNotSent  ApprovalOutcome = iota // the service does not know of the request
	ApprovalAnswered                        // the service has decided
	ApprovalRefused                         // too many requests wait at the service, which has dropped this one
	ApprovalNoAnswer                        // the request may still wait at the service
)

var approvalOutcomeNames = []string{"not-sent", "answered", "refused", "no-answer"}

// String returns the kebab-case name of the outcome.
func (o ApprovalOutcome) String() string {
	if o < ApprovalNotSent || o > ApprovalNoAnswer {
		return "invalid"
	}
	return approvalOutcomeNames[o]
}

// MachinesListed is the result of a ListMachines effect.
type MachinesListed struct {
	SentAt   time.Time // when the list was requested
	Answered bool
	Machines []chutemaintenance.Machine
}

// MachineMaintained is the result of a MaintainMachine effect. The outcome OrderMisdirected means that the platform
// does not know the machine.
type MachineMaintained struct {
	Epoch   int64
	Machine string
	Wave    int
	Outcome OrderOutcome
	Reason  string
}

// StopRequested requests a planned stop of the host.
type StopRequested struct {
	Timeout time.Duration // time within which the host answers all calls; 0 for no limit
}

func (RunStarted) sealedOrderResult()        {}
func (RunStopped) sealedOrderResult()        {}
func (LeaseRenewed) sealedOrderResult()      {}
func (StepApproved) sealedOrderResult()      {}
func (MachinesListed) sealedOrderResult()    {}
func (MachineMaintained) sealedOrderResult() {}

func (Tick) sealedEvent()              {}
func (CallArrived) sealedEvent()       {}
func (CallAbandoned) sealedEvent()     {}
func (RowsWritten) sealedEvent()       {}
func (RowsRead) sealedEvent()          {}
func (TableChanged) sealedEvent()      {}
func (RowsForwarded) sealedEvent()     {}
func (TableUnavailable) sealedEvent()  {}
func (RunStarted) sealedEvent()        {}
func (RunStopped) sealedEvent()        {}
func (LeaseRenewed) sealedEvent()      {}
func (StepApproved) sealedEvent()      {}
func (MachinesListed) sealedEvent()    {}
func (MachineMaintained) sealedEvent() {}
func (StopRequested) sealedEvent()     {}
