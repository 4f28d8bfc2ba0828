package chuteevent

import (
	"time"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// Timed is an event with the moment at which it happened on this host's clock.
type TimedEvent struct {
	At    time.Time
	Event Event
}

// Event is something that happened outside the core: one of the types of this package.
//
//sumtype:decl
type Event interface{ sealedEvent() }

// RequestEvent is an event of the request router.
//
//sumtype:decl
type RequestEvent interface {
	Event
	sealedRequestEvent()
}

// WorkerEvent is an event that concerns one shard's workers.
//
//sumtype:decl
type WorkerEvent interface {
	Event
	sealedWorkerEvent()
	// ShardNumber returns the shard whose owner asked for what ended.
	ShardNumber() int
}

// CallID is a call's number on the entry host that took it.
type CallID uint64

// Token names a store operation; no two operations share one.
type Token string

// Tick marks the passing of time.
type Tick struct{}

// CallArrived brings a call, from this host's front end or forwarded by a peer.
type CallArrived struct {
	ID        CallID
	From      chutetable.HostID // empty for this host's front end
	RequestID string            // request id, for logs
	Call      chutecall.Call
}

// PeerMessageArrived brings a message of another entry host.
type PeerMessageArrived struct {
	From    chutetable.HostID
	Message PeerMessage
}

// PeerLost tells that the link to another entry host broke.
type PeerDisconnected struct {
	Host chutetable.HostID
}

// TableCommitted tells how a commit ended; the outcome is certain.
type TableCommitted struct {
	Token    Token
	Accepted bool // false: a condition did not hold and nothing was written
	Versions map[chutetable.Key]chutetable.Version
}

// TableRead brings the rows of a read.
type TableRead struct {
	Token  Token
	SentAt time.Time
	Rows   []chutetable.StoredRow
}

// TableFailed tells that a read, or a commit that certainly did not take effect, failed.
type TableFailed struct {
	Token Token
}

// StoreState is how the table service answers.
type StoreState string

// The states of the table service, as this host sees it.
const (
	StoreUp   StoreState = "up"
	StoreSlow StoreState = "slow"
	StoreDown StoreState = "down"
)

// StoreChanged tells that the table service answers otherwise than before.
type StoreStateChanged struct {
	State StoreState
}

// PlatformHost is an entry of the platform's membership list.
type PlatformHost struct {
	ID           string
	Role         Role
	Service      string // of a backend server
	Zone         string
	Rack         string
	Accelerators int
	Address      string
	Leaving      bool
}

// Role tells what a platform host does.
type Role string

// The roles of platform hosts.
const (
	RoleWorker  Role = "worker"
	RoleBackend Role = "backend-server"
)

// MembershipListed brings the platform's lagging list of hosts.
type MembershipListed struct {
	Hosts []PlatformHost
}

// WorkerPolled brings a worker's report.
type WorkerPolled struct {
	Shard      int
	Epoch      int64
	Worker     chutetopology.WorkerID
	SentAt     time.Time
	Lease      time.Duration // that the poll gave, 0 if it only asked for the report
	Report     chuteorder.Report
	ReceivedAt time.Time
}

// OrderEnded tells what became of an order.
type OrderEnded struct {
	Shard   int
	Epoch   int64
	Worker  chutetopology.WorkerID
	Order   chuteorder.Order
	Outcome chuteorder.Outcome
	Task    chuteorder.TaskReport // the task after the order; its state is empty where it is not known
}

// StopWanted asks for a planned stop.
type StopRequested struct{}

// ExchangeID is a request's number on the entry host that took it.
type ExchangeID uint64

// Class orders requests by urgency.
type Class int

// The classes of requests, most urgent first.
const (
	ClassInteractive Class = iota
	ClassNormal
	ClassBackground
	ClassCount
)

// Request describes a caller's request without its body.
type Request struct {
	Exchange    ExchangeID
	ID          string // the caller's or one made for it
	HasClientID bool   // the caller gave the id
	Service     string
	Class       Class
	Repeatable  bool
	Digest      uint64 // of method, path and body
	Deadline    time.Time
}

// RequestArrived brings a caller's request.
type RequestArrived struct {
	Request Request
}

// AttemptEnded tells how an attempt on a backend server ended.
type AttemptEnded struct {
	Exchange ExchangeID
	Attempt  int
	Backend  string
	Result   chuteresult.Result
	Answer   chutetable.Answer
	Leaving  bool // the backend server said that it is leaving
	Elapsed  time.Duration
}

// BackendProbed tells whether a backend server answered a probe.
type BackendProbed struct {
	Backend string
	Alive   bool
	Leaving bool
}

func (Tick) sealedEvent()               {}
func (CallArrived) sealedEvent()        {}
func (PeerMessageArrived) sealedEvent() {}
func (PeerDisconnected) sealedEvent()   {}
func (TableCommitted) sealedEvent()     {}
func (TableRead) sealedEvent()          {}
func (TableFailed) sealedEvent()        {}
func (StoreStateChanged) sealedEvent()  {}
func (MembershipListed) sealedEvent()   {}
func (WorkerPolled) sealedEvent()       {}
func (OrderEnded) sealedEvent()         {}
func (StopRequested) sealedEvent()      {}
func (RequestArrived) sealedEvent()     {}
func (AttemptEnded) sealedEvent()       {}
func (BackendProbed) sealedEvent()      {}

func (RequestArrived) sealedRequestEvent() {}
func (AttemptEnded) sealedRequestEvent()   {}
func (BackendProbed) sealedRequestEvent()  {}

func (WorkerPolled) sealedWorkerEvent() {}
func (OrderEnded) sealedWorkerEvent()   {}

// ShardNumber returns the shard that polled.
func (e WorkerPolled) ShardNumber() int { return e.Shard }

// ShardNumber returns the shard that gave the order.
func (e OrderEnded) ShardNumber() int { return e.Shard }
