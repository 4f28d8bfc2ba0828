package chuteentry

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutebacklog"
	"monsoonchute.example/monsoonchute/chuteclock"
	"monsoonchute.example/monsoonchute/chuteexplain"
	"monsoonchute.example/monsoonchute/chutefreshness"
	"monsoonchute.example/monsoonchute/chuteintake"
	"monsoonchute.example/monsoonchute/chuteleader"
	"monsoonchute.example/monsoonchute/chuteledger"
	"monsoonchute.example/monsoonchute/chuteoperator"
	"monsoonchute.example/monsoonchute/chutescheduler"
)

const (
	// maxContactAge is the age of the store's latest answer beyond which the host refuses calls that need the store.
	maxContactAge = 2500 * time.Millisecond
	// maxContactGap is the longest time between two answers of the store that still counts as unbroken contact.
	maxContactGap = 2 * time.Second
	// minPollInterval is the shortest time between two polls of the leaders' or the hosts' table.
	minPollInterval = 400 * time.Millisecond
	// leaderPollTimeout is how long the store holds a poll of the leaders' table while nothing changes.
	leaderPollTimeout = 600 * time.Millisecond
	// listAfter is the time without an answer after which a table whose rows are often overwritten is listed again.
	listAfter = 2 * time.Second
	// maxPendingAge is the age beyond which the number of pending jobs in the leader's row is not shown.
	maxPendingAge = 3 * time.Second
	// maxBatchRows is the maximum number of rows in one write of the scheduler, not counting the leader's own row.
	maxBatchRows = 95
	// hostsPollTimeout is how long the store holds a poll of the hosts' table while nothing changes.
	hostsPollTimeout = 10 * time.Second
	// listHostsAfter is the time without an answer after which the hosts' table is listed again.
	listHostsAfter = 20 * time.Second
	// hostRowRetryDelay is the delay before a failed write of this host's row is retried.
	hostRowRetryDelay = time.Second
	// largerHostRatio is the ratio of CPU shares above which another host should lead instead of this one.
	largerHostRatio = 1.5
	// smallHostTakeoverDelay is how much longer a host waits before it takes over if a larger host exists.
	smallHostTakeoverDelay = 2500 * time.Millisecond
	// handOverStep is the difference between the delays of two hosts that started one after the other.
	handOverStep = 75 * time.Millisecond
	// maxHandOverDelay is the longest such delay. Hosts that started later may be gone.
	maxHandOverDelay = 450 * time.Millisecond
	component        = "entry"
)

// Settings are the fixed parameters of the core of one entry host process.
type Settings struct {
	Host         string
	Process      string        // unique id of this process; a restart gets a new one
	RelayAddress string        // where this host accepts store requests of other hosts; empty if it accepts none
	CPUShare     float64       // number of CPU cores that this host may use
	MemoryLimit  int64         // bytes of memory that the process may use; 0 if there is no limit
	Jitter       time.Duration // delay that keeps hosts from taking over at the same time
	Bounds       chuteledger.Bounds
}

// State is the immutable state of an entry host.
type State struct {
	settings     Settings
	token        chuteaction.Token
	started      bool
	operators    chuteoperator.State
	leaders      chutefreshness.Freshness // of the leaders' table, while this host does not lead
	contactAt    time.Time                // time of the store's latest answer
	contactSince time.Time                // start of the current unbroken contact with the store
	storeClock   chuteclock.Store
	leader       chuteleader.State
	intake       chuteintake.State
	scheduler    *chutescheduler.State // nil unless this host leads
	stopping     bool
	// hostRowWrite is the token of the latest write of this host's row, which replaces the row of hostRowVersion; a failed
	// write is retried at hostRowRetryAt, which is zero while no retry is due.
	hostRowWrite   chuteaction.Token
	hostRowVersion chuteaction.RowVersion
	hostRowRetryAt time.Time
	hostRows       *immutable.SortedMap[string, chuteaction.Row] // rows of all entry hosts by host name
	peerAddresses  *immutable.SortedMap[string, string]          // relay addresses of the other hosts by host name
	backlogLimit   int64                                         // memory in bytes that unfinished jobs may take on any host; 0 means no limit
	stopped        bool
	explainRate    chuteexplain.Rate
}

// New returns the state of a host that has not read anything from the store.
func New(settings Settings) State {
	settings.Bounds.UnconfirmedLimit = chuteleader.UnconfirmedLimit
	return State{
		settings: settings, peerAddresses: immutable.NewSortedMap[string, string](nil),
		hostRows: immutable.NewSortedMap[string, chuteaction.Row](nil), operators: chuteoperator.New(settings.Bounds.ApplyTime),
		leader: chuteleader.New(settings.Host, settings.Process, settings.Jitter).
			WithLongestLeases(settings.Bounds.LongestLease(), settings.Bounds.LongestUnconfirmedLease()),
		intake: chuteintake.New(), backlogLimit: chutebacklog.Limit(settings.MemoryLimit),
	}
}

// Serving reports whether the host should receive new connections: it knows the configuration in force, reaches the store
// and is not stopping.
func (s State) Serving(now time.Time) bool {
	return s.operators.Current(now) && !s.stopping && s.inContact(now)
}

// BodyLimit returns the largest body of a call in bytes by the configuration, or 0 if the configuration is not known or has
// no limit.
func (s State) BodyLimit() int {
	return s.operators.Catalog().Limits.MaxBodyBytes
}

// Leads reports whether this host is the scheduler.
func (s State) Leads() bool {
	return s.scheduler != nil
}

func (s State) inContact(now time.Time) bool {
	return !s.contactAt.IsZero() && now.Sub(s.contactAt) <= maxContactAge
}

func (s State) environment(now time.Time) chuteledger.Environment {
	return chuteledger.Environment{
		Catalog: s.operators.Catalog(), EvacuatedZones: s.operators.EvacuatedZones(), OperatorsOld: s.operators.OperatorsOld(now), Waves: s.operators.Waves(),
		BacklogLimit: s.backlogLimit, ConfirmedAt: s.leader.ConfirmedAt(), ContactSince: s.contactSince, StoreClock: s.storeClock,
	}
}

func (s State) intakeView(now time.Time) chuteintake.View {
	row := s.leader.Row()
	pending, partial, current := row.Pending, row.Partial, s.pendingAge(now) <= maxPendingAge
	if s.scheduler != nil && s.scheduler.Pending() != nil {
		pending, partial, current = s.scheduler.Pending(), false, true
	}
	return chuteintake.View{
		Catalog: s.operators.Catalog(), CatalogAge: s.operators.Age(now), CatalogCurrent: s.operators.Current(now),
		Pending: pending, PendingPartial: partial, PendingCurrent: current, StoreReachable: s.inContact(now),
		StoreClock: s.storeClock.Reading(now), Backlog: s.backlog(),
	}
}

// pendingAge returns the age of the number of pending jobs in the leader's row: since when the leader may have changed it, or since
// it was counted if that is longer ago.
func (s State) pendingAge(now time.Time) time.Duration {
	age := s.leaders.Age(now)
	if counted := s.leader.Row().CountedAt; counted > 0 && s.storeClock.Known() {
		age = max(age, s.storeClock.Reading(now)-counted)
	}
	return age
}

// backlog returns the latest report on the unfinished jobs in the leader's row, or that no jobs are known yet.
func (s State) backlog() chuteintake.Backlog {
	row := s.leader.Row()
	if row.Backlog.Limit == 0 {
		return chuteintake.Backlog{Report: chutebacklog.Report{Limit: s.backlogLimit}, Hosts: s.hostRows.Len()}
	}
	return chuteintake.Backlog{
		ID: chutebacklog.ReportID{Epoch: row.Epoch, Sequence: row.Sequence}, Report: row.Backlog, Hosts: s.hostRows.Len(),
	}
}
