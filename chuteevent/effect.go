package chuteevent

import (
	"time"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// Effect is an operation that the core asks its surroundings to carry out: one of the types of this package.
//
//sumtype:decl
type Effect interface{ sealedEffect() }

// StoreEffect is an effect on the table service.
//
//sumtype:decl
type StoreEffect interface {
	Effect
	sealedStoreEffect()
}

// WorkerEffect is an effect on a worker.
//
//sumtype:decl
type WorkerEffect interface {
	Effect
	sealedWorkerEffect()
	// WorkerID returns the worker to which the effect is sent.
	WorkerID() chutetopology.WorkerID
}

// BackendEffect is an effect on a backend server.
//
//sumtype:decl
type BackendEffect interface {
	Effect
	sealedBackendEffect()
}

// CommitTable writes rows in one transaction, if all conditions hold.
type CommitTable struct {
	Token      Token
	Conditions []chutetable.Condition
	Writes     []chutetable.Write
	SendBefore time.Time // a commit not sent by then fails instead; zero for no limit
}

// ReadTable reads all rows whose keys have the prefix, or the one row whose key it is.
type ReadTable struct {
	Token  Token
	Prefix chutetable.Key
	Exact  bool // the prefix is the whole key
}

// SendOrder sends an order to a worker, unless the time Expires has passed.
type SendOrder struct {
	Worker  chutetopology.WorkerID
	Address string
	Fence   chuteorder.Fence
	Order   chuteorder.Order
	Expires time.Time
}

// PollWorker renews the leases of a worker's tasks and requests its report, unless the time Expires has passed.
type PollWorker struct {
	Worker  chutetopology.WorkerID
	Address string
	Poll    chuteorder.Poll
	Expires time.Time
}

// SendPeerMessage sends a message to another entry host.
type SendPeerMessage struct {
	To      chutetable.HostID
	Message PeerMessage
}

// LinkPeers sets the entry hosts to which this host keeps a link.
type SetPeers struct {
	Peers []Peer
}

// AnswerCall answers a call that arrived at this host's front end.
type AnswerCall struct {
	ID    CallID
	Reply chutecall.Reply
}

// Dispatch sends one attempt of a request to a backend server.
type Dispatch struct {
	Exchange  ExchangeID
	RequestID string
	Attempt   int
	Backend   string
	Address   string
	Deadline  time.Time
}

// ProbeBackend sends a health probe to a backend server on a new connection.
type ProbeBackend struct {
	Backend string
	Address string
}

// AnswerRequest answers a client's request.
type AnswerRequest struct {
	Exchange ExchangeID
	Result   chuteresult.Result
	Answer   chutetable.Answer
	Attempts int
}

// Count adds one to a counter.
type Count struct {
	Counter string // kebab-case
	Reason  string // kebab-case
}

// LogLine writes a line to the log.
type LogLine struct {
	Component string // prefix of the line
	Warning   bool
	Text      string
}

// Stopped reports that a planned stop is complete.
type Stopped struct{}

func (CommitTable) sealedEffect()     {}
func (ReadTable) sealedEffect()       {}
func (SendOrder) sealedEffect()       {}
func (PollWorker) sealedEffect()      {}
func (SendPeerMessage) sealedEffect() {}
func (SetPeers) sealedEffect()        {}
func (AnswerCall) sealedEffect()      {}
func (Dispatch) sealedEffect()        {}
func (ProbeBackend) sealedEffect()    {}
func (AnswerRequest) sealedEffect()   {}
func (Count) sealedEffect()           {}
func (LogLine) sealedEffect()         {}
func (Stopped) sealedEffect()         {}

func (CommitTable) sealedStoreEffect() {}
func (ReadTable) sealedStoreEffect()   {}

func (Dispatch) sealedBackendEffect()     {}
func (ProbeBackend) sealedBackendEffect() {}

func (SendOrder) sealedWorkerEffect()  {}
func (PollWorker) sealedWorkerEffect() {}

// WorkerID returns the worker that gets the order.
func (e SendOrder) WorkerID() chutetopology.WorkerID { return e.Worker }

// WorkerID returns the worker that is polled.
func (e PollWorker) WorkerID() chutetopology.WorkerID { return e.Worker }
