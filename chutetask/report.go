package chutetask

import "monsoonchute.example/monsoonchute/chutegraph"

// EndKind is the way in which a run ended.
type EndKind int

// The kinds of end.
const (
	EndDone           EndKind = iota + 1
	EndFailed                 // it or its worker failed
	EndStopped                // a stop order ended it
	EndLeaseExpired           // the worker's lease expired
	EndGangBroken             // another member of its gang ended
	EndGangIncomplete         // the other members of its gang did not start in time
	EndLost                   // its worker is lost, or does not have it
)

var endNames = []string{"", "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}

// String returns the kebab-case name of the kind.
func (k EndKind) String() string {
	if k < EndDone || k > EndLost {
		return "invalid"
	}
	return endNames[k]
}

// RunEnd is the end of a run as its worker reports it.
type RunEnd struct {
	Number     int64 // number of the end; it ascends within one incarnation of the worker
	Run        chutegraph.RunID
	Kind       EndKind
	Checkpoint string
}

// RunReport is the state of a run in progress as its worker reports it.
type RunReport struct {
	Run        chutegraph.RunID
	Checkpoint string
	Percent    int // progress; 100 for a long-running task that is working
	Usage      int // processor use in thousandths of a core; for a serving task the tail latency in milliseconds
}
