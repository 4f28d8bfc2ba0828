package chuteplanner

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuterunner"
)

const (
	part = "scheduler"
	// planInterval is the longest time between two planning passes.
	planInterval = 500 * time.Millisecond
	// planPause is the least time between two planning passes.
	planPause = 20 * time.Millisecond
)

// Memory is what the planner keeps between its passes.
type Planner struct {
	plannedAt time.Time
	listedAt  time.Time // when all workers had been read
	approvals *immutable.SortedMap[chutegraph.StepID, approval]
	questions int // to the approval service that are on the way
	// waiting tells since when gangs have had no room.
	waiting *immutable.SortedMap[chutegraph.StepID, time.Time]
}

// New returns the memory of a planner that has not planned yet.
func New() Planner {
	return Planner{
		approvals: immutable.NewSortedMap[chutegraph.StepID, approval](chutegraph.StepOrder{}),
		waiting:   immutable.NewSortedMap[chutegraph.StepID, time.Time](chutegraph.StepOrder{}),
	}
}

// WithWorkersListed returns the memory after all workers had been read at the moment.
func (m Planner) WithWorkersListed(now time.Time) Planner {
	m.listedAt = now
	return m
}

// turn is one planning pass.
type turn struct {
	*chuterunner.Transition
	Planner
}
