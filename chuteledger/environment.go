package chuteledger

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chuteclock"
)

// Bounds are the time limits that the workers and the operators set.
type Bounds struct {
	MaxLease    time.Duration // longest lease that a worker grants
	GangTimeout time.Duration // how long members of a gang wait for the others
	StopTimeout time.Duration // longest time that a run takes to stop
	// ApplyTime is the time within which a change of the configuration must be in force; 0 if unknown.
	ApplyTime time.Duration
	// HeartbeatInterval is the time between two heartbeats of a worker; 0 if unknown.
	HeartbeatInterval time.Duration
	// UnconfirmedLimit is how long a scheduler renews leases without a successful write to the store.
	UnconfirmedLimit time.Duration
}

// Environment is the state of other parts of the host that the scheduler reads with each event.
type Environment struct {
	Catalog        chutecatalog.Catalog
	EvacuatedZones map[string]bool // zones in which no run may start
	OperatorsOld   bool            // zones and waves may have changed too long ago for tasks or maintenance to begin
	Waves          []chuteaction.WaveRow
	ConfirmedAt    time.Time // send time of the latest successful write as leader
	ContactSince   time.Time // start of the time in which the store has answered without a gap
	StoreClock     chuteclock.Store
	BacklogLimit   int64 // memory in bytes that unfinished jobs may take; 0 means no limit
}
