package chuteworker

import (
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// The paths of a worker's agent.
const (
	OrderPath = "/v1/order"
	PollPath  = "/v1/poll"
)

// OrderKind names what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	KindStart      OrderKind = "start"
	KindCheckpoint OrderKind = "checkpoint"
	KindStop       OrderKind = "stop"
)

// OrderRequest is an order in the agent's protocol.
type OrderRequest struct {
	Kind       OrderKind          `json:"kind"`
	Fence      chuteorder.Fence   `json:"fence"`
	Task       chuteorder.TaskID  `json:"task"`
	Mask       chutetopology.Mask `json:"mask"`
	Command    string             `json:"command"`
	Resume     time.Duration      `json:"resume"`
	Document   int                `json:"document"`
	ValidUntil time.Duration      `json:"valid-until"`
}

// OrderAnswer is the agent's answer to an order.
type OrderResponse struct {
	Accepted bool                  `json:"taken"`
	Cause    string                `json:"cause"`
	Task     chuteorder.TaskReport `json:"task"`
}

// PollAnswer is the agent's answer to a poll.
type PollResponse struct {
	Accepted bool              `json:"taken"` // false: the fence's epoch is older than one seen before
	Report   chuteorder.Report `json:"report"`
}

// EncodeOrder returns the order in the agent's protocol.
func EncodeOrder(fence chuteorder.Fence, order chuteorder.Order) OrderRequest {
	switch o := order.(type) {
	case chuteorder.StartTask:
		return OrderRequest{
			Kind: KindStart, Fence: fence, Task: o.Task, Mask: o.Mask, Command: o.Command, Resume: o.Resume,
			Document: o.Document, ValidUntil: o.ValidUntil,
		}
	case chuteorder.CheckpointTask:
		return OrderRequest{Kind: KindCheckpoint, Fence: fence, Task: o.Task}
	case chuteorder.StopTask:
		return OrderRequest{Kind: KindStop, Fence: fence, Task: o.Task}
	}
	return OrderRequest{}
}

// Order returns the order that the request encodes, or an error that names the field.
func (r OrderRequest) Order() (chuteorder.Order, error) {
	switch r.Kind {
	case KindStart:
		return chuteorder.StartTask{
			Task: r.Task, Mask: r.Mask, Command: r.Command, Resume: r.Resume, Document: r.Document, ValidUntil: r.ValidUntil,
		}, nil
	case KindCheckpoint:
		return chuteorder.CheckpointTask{Task: r.Task}, nil
	case KindStop:
		return chuteorder.StopTask{Task: r.Task}, nil
	}
	return nil, errors.Errorf("kind: %q is unknown", r.Kind)
}
