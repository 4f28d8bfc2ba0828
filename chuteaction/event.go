package chuteaction

import (
	"time"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutemaintenance"
	"monsoonchute.example/monsoonchute/chutetask"
)

// Token names one request of the core to the outside, so that its answer can be matched.
type Token int64

// CallID names a call of a client within this process.
type CallID int64

// Timed is an event with the time at which it happened.
type TimedEvent struct {
	At    time.Time
	Event Event
}

// Event is something that happened outside: one of the types below.
//
//sumtype:decl
type Event interface{ sealedEvent() }

// Tick lets time pass.
type Tick struct{}

// CallArrived is a call of a client.
type CallArrived struct {
	ID       CallID
	Deadline time.Time // after which nobody waits for the answer
	Host     string
	Path     string
	Key      string // empty if the call has none
	Call     Call
}

// Call is what a client wants: one of the types below.
//
//sumtype:decl
type Call interface{ sealedCall() }

// SubmitJob hands in a job; the path names its id.
type SubmitJob struct {
	Spec       chutegraph.Spec
	ParseError string // why the body could not be read; empty if it could
}

// ShowJob asks for the state of the job, or for the number of pending jobs if the path names a queue alone.
type ShowJob struct{}

// CancelJob cancels the job.
type CancelJob struct{}

func (SubmitJob) sealedCall() {}
func (ShowJob) sealedCall()   {}
func (CancelJob) sealedCall() {}

// CallLeft tells that nobody waits for the answer of a call any more.
type CallAbandoned struct{ ID CallID }

// StoreOutcome tells what became of a request to the store.
type StoreOutcome int

// The outcomes of a request to the store.
const (
	StoreDone     StoreOutcome = iota + 1
	StoreConflict              // a condition did not hold; nothing was written
	StoreRefused               // nothing was done
	StoreUnknown               // no answer: it may have been done, or may be done later
)

// RowsWritten is the end of a transaction.
type RowsWritten struct {
	Token   Token
	Outcome StoreOutcome
	Version RowVersion // of the rows that were written
	Current []Row      // after a conflict: the rows of the conditions that exist
}

// RowsRead is the end of a read.
type RowsRead struct {
	Token   Token
	Outcome StoreOutcome
	Rows    []Row
}

// TableChanged tells of the rows of a followed table, also if none has changed.
type TableChanged struct {
	Table    Table
	Complete bool // the rows are all that there are
	Rows     []Row
}

// RowsTold is what another host tells of jobs: rows that are recorded.
type RowsForwarded struct{ Rows []Row }

// TableSilent tells that the store did not answer about a followed table.
type TableUnavailable struct{ Table Table }

// OrderOutcome tells what became of a request to a worker.
type OrderOutcome int

// The outcomes of a request to a worker.
const (
	OrderAccepted    OrderOutcome = iota + 1
	OrderRefused                  // nothing was done; the reason tells why
	OrderUnhealthy                // the worker is unhealthy and has done nothing
	OrderMisdirected              // another worker answers at the address; nothing was done
	OrderUnknown                  // no answer: it may have been carried out, or may be later
)

// RefusalReason tells why a worker refused an order.
type RefusalReason int

// The reasons of workers.
const (
	RefusedInvalid  RefusalReason = iota + 1
	RefusedFenced                 // it has seen a higher epoch
	RefusedStale                  // this run or a later one was stopped or has ended there
	RefusedExpired                // the lease of the order has run out
	RefusedCapacity               // it does not fit
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

// RunStarted is the end of a start order.
type RunStarted struct {
	Epoch   int64
	Worker  chutetask.WorkerID
	Run     chutegraph.RunID
	Outcome OrderOutcome
	Reason  RefusalReason
	Clock   time.Duration // reading of the worker's clock; 0 if unknown
}

// RunStopped is the end of a stop order.
type RunStopped struct {
	Epoch   int64
	Worker  chutetask.WorkerID
	Run     chutegraph.RunID
	Outcome OrderOutcome
	Reason  RefusalReason
}

// LeaseRenewed is the end of a renewal, with what the worker runs.
type LeaseRenewed struct {
	Epoch       int64
	Worker      chutetask.WorkerID
	SentAt      time.Time
	Outcome     OrderOutcome
	Reason      RefusalReason
	Clock       time.Duration
	Incarnation int64
	Running     []chutetask.RunReport
	Ended       []chutetask.RunEnd
}

// StepApproved is the answer of the approval service.
type StepApproved struct {
	Step     chutegraph.StepID
	Workers  []chutetask.WorkerID
	Answered bool
	Tickets  map[chutetask.WorkerID]string
	Validity time.Duration
}

// MachinesListed is the platform's list of machines.
type MachinesListed struct {
	Answered bool
	Machines []chutemaintenance.Machine
}

// MachineMaintained is the end of an order to maintain a machine. OrderElsewhere tells that there is no such machine.
type MachineMaintained struct {
	Epoch   int64
	Machine string
	Wave    int
	Outcome OrderOutcome
	Reason  string
}

// StopWanted asks for a planned stop.
type StopRequested struct {
	Timeout time.Duration // until all calls must have been answered; 0 for no limit
}

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
