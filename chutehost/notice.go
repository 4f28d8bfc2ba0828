package chutehost

import "monsoonchute.example/monsoonchute/chutetable"

// Notice tells the caller about the ownership of a shard: one of the types below.
//
//sumtype:decl
type Notice interface{ sealedNotice() }

// Acquired reports that this host has become the owner of the shard, with the version of the shard's row.
type Acquired struct {
	Shard   int
	Epoch   int64
	Version chutetable.Version
}

// Lost reports that another host has taken the shard from this one.
type Lost struct {
	Shard int
}

// HandOverRequested asks the caller to release the shard because another host is preferred for it.
type HandOverRequested struct {
	Shard int
}

func (Acquired) sealedNotice()          {}
func (Lost) sealedNotice()              {}
func (HandOverRequested) sealedNotice() {}
