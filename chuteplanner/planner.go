package chuteplanner

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteapproval"
	"monsoonchute.example/monsoonchute/chutefit"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chutequota"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutestarvation"
	"monsoonchute.example/monsoonchute/chutetask"
	"monsoonchute.example/monsoonchute/chuteusage"
	"monsoonchute.example/monsoonchute/chutewait"
)

const (
	component = "scheduler" // the planner logs as part of the scheduler
	// maxPlanInterval is the longest time between two planning passes.
	maxPlanInterval = 500 * time.Millisecond
	// minPlanInterval is the shortest time between two planning passes.
	minPlanInterval = 20 * time.Millisecond
)

// Planner is the immutable state that is kept between planning passes.
type Planner struct {
	plannedAt       time.Time // time of the latest planning pass
	workersListedAt time.Time // when all workers had been read from the list
	approvals       chuteapproval.State
	// nominated is the worker on which capacity is kept for a waiting task, as the latest pass decided.
	nominated map[chutegraph.StepID]map[int]chutetask.WorkerID // never changed once stored
	// waitingSince is the time since when each gang has waited for capacity.
	waitingSince *immutable.SortedMap[chutegraph.StepID, time.Time]
	// quarantineDueSince is the time since when tasks of each step have waited for a quarantine.
	quarantineDueSince *immutable.SortedMap[chutegraph.StepID, time.Time]
	waits              chutewait.Report
	standing           chutestarvation.State
	// heldSince is the time since when a quota has held back tasks of each step that still waits; never changed once stored.
	heldSince map[chutegraph.StepID]time.Time
	// reservedFor is the step for which the free part of each workspace's quota is reserved; never changed once stored.
	reservedFor map[string]chutegraph.StepID
	// fitChecks tells of the steps that quotas hold back whether they would fit on the workers; never changed once stored.
	fitChecks chutefit.Checks
	usage     chuteusage.Report
}

// New returns the state of a planner that has not planned yet.
func New() Planner {
	return Planner{
		approvals:    chuteapproval.New(),
		waitingSince: immutable.NewSortedMap[chutegraph.StepID, time.Time](chutegraph.StepOrder{}),

		quarantineDueSince: immutable.NewSortedMap[chutegraph.StepID, time.Time](chutegraph.StepOrder{}),
	}
}

// WithWorkersListed returns the planner with all workers read from the list at the given time.
func (p Planner) WithWorkersListed(now time.Time) Planner {
	p.workersListedAt = now
	return p
}

// pass is one planning pass.
type pass struct {
	*chuterunner.Transition
	Planner
	guaranteed map[chutegraph.JobID]bool // jobs that their workspaces' guarantees cover
	use        chutequota.Ledger         // at the beginning of the pass, if the configuration has quotas or weights
	weights    map[string]float64        // of the workspaces; nil if the configuration has none
	quotas     *chutequota.Draft         // what the workspaces may still start beside what this pass has started
	storeRoom  map[chutegraph.JobID]int  // bytes left for the progress of the large jobs that have been looked at
	// awaitingApproval are the steps that no quota holds back but that lack an approval.
	awaitingApproval []chutegraph.StepID
	// needApproval are the demands that need approval and that no quota holds back, with and without tickets.
	needApproval []rankedDemand
	// quarantineWaits becomes quarantineDueSince after the pass.
	quarantineWaits *immutable.SortedMap[chutegraph.StepID, time.Time]
	trial           Trial // what Try returns of the decisions
}
