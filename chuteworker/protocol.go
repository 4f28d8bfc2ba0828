package chuteworker

import (
	"time"

	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chuteorder"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// HTTP paths of the agent that runs on a worker.
const (
	OrderPath = "/v1/order"
	PollPath  = "/v1/poll"
)

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	KindStart      OrderKind = "start"
	KindCheckpoint OrderKind = "checkpoint"
	KindStop       OrderKind = "stop"
)

// OrderRequest is the JSON form of an order to an agent. Only starts use the fields from Mask on.
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

// OrderResponse is the agent's response to an order, with the cause of a refusal.
type OrderResponse struct {
	Accepted bool                  `json:"taken"`
	Cause    string                `json:"cause"`
	Task     chuteorder.TaskReport `json:"task"`
}

// PollResponse is the agent's response to a poll.
type PollResponse struct {
	Accepted bool              `json:"taken"` // false if the agent has seen a later epoch than the fence's
	Report   chuteorder.Report `json:"report"`
}

// EncodeOrder converts the order to its JSON form.
func EncodeOrder(fence chuteorder.Fence, order chuteorder.Order) OrderRequest {
	switch o := order.(type) {
	case chuteorder.StartTask:
		return OrderRequest{
			Kind: KindStart, Fence: fence, Task: o.Task, Mask: o.Mask, Command: o.Command, Resume: o.ResumeFrom,
			Document: o.DocumentVersion, ValidUntil: o.ValidUntil,
		}
	case chuteorder.CheckpointTask:
		return OrderRequest{Kind: KindCheckpoint, Fence: fence, Task: o.Task}
	case chuteorder.StopTask:
		return OrderRequest{Kind: KindStop, Fence: fence, Task: o.Task}
	}
	return OrderRequest{}
}

// Order converts the request back to an order. It returns an error if the kind is unknown.
func (r OrderRequest) Order() (chuteorder.Order, error) {
	switch r.Kind {
	case KindStart:
		return chuteorder.StartTask{
			Task: r.Task, Mask: r.Mask, Command: r.Command, ResumeFrom: r.Resume, DocumentVersion: r.Document, ValidUntil: r.ValidUntil,
		}, nil
	case KindCheckpoint:
		return chuteorder.CheckpointTask{Task: r.Task}, nil
	case KindStop:
		return chuteorder.StopTask{Task: r.Task}, nil
	}
	return nil, errors.Errorf("kind: %q is unknown", r.Kind)
}
