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

// Heartbeat requests an answer from a peer and reports the document version in force at the sender.
type Heartbeat struct {
	Sequence        int64 `json:"sequence"`
	DocumentVersion int   `json:"document"`
}

// HeartbeatAnswer answers a heartbeat. DocumentAge is the time since the sender last knew that DocumentVersion was the
// current version, and negative if it has not read the document yet.
type HeartbeatAnswer struct {
	Sequence        int64         `json:"sequence"`
	DocumentVersion int           `json:"document"`
	DocumentAge     time.Duration `json:"age"`
	Loads           []BackendLoad `json:"loads"`
	Leaving         []string      `json:"leaving"` // ids of the backend servers that are leaving
}

// BackendLoad is the number of requests that a host has running on a backend server.
type BackendLoad struct {
	Backend string `json:"backend"`
	Running int    `json:"running"`
}

// ForwardCall forwards a call to the owner of its shard.
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

// ShardReleased reports that a shard no longer has an owner.
type ShardReleased struct {
	Shard int `json:"shard"`
}

// DocumentChanged reports that a new version of the document was accepted.
type DocumentChanged struct {
	DocumentVersion int `json:"document"`
}

func (Heartbeat) sealedPeerMessage()       {}
func (HeartbeatAnswer) sealedPeerMessage() {}
func (ForwardCall) sealedPeerMessage()     {}
func (ForwardReply) sealedPeerMessage()    {}
func (ShardReleased) sealedPeerMessage()   {}
func (DocumentChanged) sealedPeerMessage() {}

// Peer is an entry host with the address of its peer listener.
type Peer struct {
	Host    chutetable.HostID
	Address string
}
