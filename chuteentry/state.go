package chuteentry

import (
	"time"

	"github.com/benbjohnson/immutable"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chuteintake"
	"monsoonchute.example/monsoonchute/chuteleader"
	"monsoonchute.example/monsoonchute/chuterunner"
	"monsoonchute.example/monsoonchute/chutescheduler"
)

const (
	// contactLimit is the age of the store's latest answer over which calls that need it are refused.
	contactLimit = 2500 * time.Millisecond
	// steadyGap is the time without an answer of the store that counts as a gap.
	steadyGap = 2 * time.Second
	// operatorWait is how long the store may wait for a change by the operators.
	operatorWait = 1500 * time.Millisecond
	// leaderPause is the least time between two questions about the leader's row.
	leaderPause = 400 * time.Millisecond
	// leaderWait is how long the store may wait for a change of the leader's row.
	leaderWait = 600 * time.Millisecond
	// maxBatchRows is the number of rows of one write of the scheduler, beside the leader's own.
	maxBatchRows = 95
	// hostsWait is how long the store may wait for a change of the hosts.
	hostsWait = 10 * time.Second
	// announcePause is the wait before the record of this process is written again.
	announcePause = time.Second
	// muchLarger is how many times the share of this host another one has that should lead instead.
	muchLarger = 1.5
	// smallHostPatience is how much longer a host waits before it takes over while there is a much larger one.
	smallHostPatience = 2500 * time.Millisecond
	part              = "entry"
)

// Settings are what the core is told at its start.
type Settings struct {
	Host         string
	Process      string        // new at each start
	RelayAddress string        // address where this host takes requests to the store from others; empty for none
	CPUShare     float64       // of a core that this host may use
	Jitter       time.Duration // spreads the moments at which hosts take over
	Bounds       chuterunner.Bounds
}

// State is the immutable state of an entry host.
type State struct {
	settings  Settings
	token     chuteaction.Token
	started   bool
	catalog   chutecatalog.Catalog
	waves     []chuteaction.WaveRow // never changed once stored
	zonesOut  map[string]bool       // zones in which nothing may start; never changed once stored
	contactAt time.Time             // of the store's latest answer
	steadyAt  time.Time             // since when it has answered without a gap
	leader    chuteleader.State
	intake    chuteintake.State
	scheduler *chutescheduler.State // nil unless this host leads
	stopping  bool
	// announcement is the token of the write that tells which process runs; it is repeated at announceAt, if set.
	announcement chuteaction.Token
	announceAt   time.Time
	processes    *immutable.SortedMap[string, chuteaction.Row] // of the hosts, by their names
	peers        *immutable.SortedMap[string, string]          // addresses of the other hosts, by name
	releasing    bool                                          // the leadership is being given up
	stopped      bool
}

// New returns the state of a host that has read nothing.
func New(settings Settings) State {
	settings.Bounds.UnconfirmedLimit = chuteleader.UnconfirmedLimit
	return State{
		settings: settings, peers: immutable.NewSortedMap[string, string](nil),
		processes: immutable.NewSortedMap[string, chuteaction.Row](nil), zonesOut: make(map[string]bool),
		leader: chuteleader.New(settings.Host, settings.Process, settings.Jitter), intake: chuteintake.New(),
	}
}

// Serving reports whether the host should get new connections: it has a configuration, reaches the store and is not
// stopping.
func (s State) Serving(now time.Time) bool {
	return s.catalog.Loaded() && !s.stopping && s.inContact(now)
}

// Leads reports whether this host is the scheduler.
func (s State) Leads() bool {
	return s.scheduler != nil
}

func (s State) inContact(now time.Time) bool {
	return !s.contactAt.IsZero() && now.Sub(s.contactAt) <= contactLimit
}

func (s State) environment() chuterunner.Environment {
	return chuterunner.Environment{Catalog: s.catalog, EvacuatedZones: s.zonesOut, Waves: s.waves, ConfirmedAt: s.leader.ConfirmedAt(), ContactSince: s.steadyAt}
}

func (s State) intakeView(now time.Time) chuteintake.View {
	pending := s.leader.Row().Pending
	if s.scheduler != nil && s.scheduler.Ready() {
		pending = s.scheduler.Pending()
	}
	return chuteintake.View{Catalog: s.catalog, Pending: pending, StoreReachable: s.inContact(now)}
}
