package chuteevent

import (
	"time"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutetable"
)

// PeerMessage is a message between entry hosts: one of the types of this package.
//
//sumtype:decl
type PeerMessage interface{ sealedPeerMessage() }

// Heartbeat asks a peer for an answer and tells what the sender has in force.
type Heartbeat struct {
	Sequence        int64 `json:"sequence"`
	DocumentVersion int   `json:"document"`
}

// HeartbeatAnswer answers a heartbeat. Its document version was proved current an age before it was sent.
type HeartbeatAnswer struct {
	Sequence        int64         `json:"sequence"`
	DocumentVersion int           `json:"document"`
	DocumentAge     time.Duration `json:"age"`
	Loads           []BackendLoad `json:"loads"`
	Leaving         []string      `json:"leaving"` // backend servers known to be leaving
}

// BackendLoad tells how many requests a host has running on a backend server.
type BackendLoad struct {
	Backend string `json:"backend"`
	Running int    `json:"running"`
}

// ForwardCall hands a call to the owner of its shard.
type ForwardCall struct {
	ID        CallID         `json:"id"`
	RequestID string         `json:"request"`
	Call      chutecall.Call `json:"call"`
}

// ForwardReply answers a forwarded call.
type ForwardReply struct {
	ID    CallID          `json:"id"`
	Reply chutecall.Reply `json:"reply"`
}

// ShardFreed tells that a shard has no owner now.
type ShardReleased struct {
	Shard int `json:"shard"`
}

// DocumentChanged tells that a new version was accepted.
type DocumentChanged struct {
	DocumentVersion int `json:"document"`
}

func (Heartbeat) sealedPeerMessage()       {}
func (HeartbeatAnswer) sealedPeerMessage() {}
func (ForwardCall) sealedPeerMessage()     {}
func (ForwardReply) sealedPeerMessage()    {}
func (ShardReleased) sealedPeerMessage()   {}
func (DocumentChanged) sealedPeerMessage() {}

// Peer tells where an entry host's peer listener is.
type Peer struct {
	Host    chutetable.HostID
	Address string
}
