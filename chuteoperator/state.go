package chuteoperator

import (
	"time"

	"monsoonchute.example/monsoonchute/chuteaction"
	"monsoonchute.example/monsoonchute/chutecatalog"
	"monsoonchute.example/monsoonchute/chutefreshness"
)

const (
	// PollTimeout is how long the store holds a poll of the operators' table while nothing changes.
	PollTimeout = time.Second
	// defaultApplyTime is the time within which changes must be in force if the settings do not tell.
	defaultApplyTime = 2 * time.Second
	// maxZonesAge is the age of the table beyond which nothing starts, since zones may have been taken out.
	maxZonesAge = 3 * time.Second
	component   = "operators"
)

// State is what a host knows of the operators' table. It is immutable; its maps and slices are copied on write.
type State struct {
	catalog        chutecatalog.Catalog
	waves          []chuteaction.WaveRow
	evacuatedZones map[string]bool // zones in which nothing may start
	freshness      chutefreshness.Freshness
	applyTime      time.Duration // time within which changes must be in force
	outOfDate      bool          // the age has been logged
}

// New returns the state of a host that has not read the table. Changes must be in force within the apply time; 0 stands for a
// default.
func New(applyTime time.Duration) State {
	if applyTime <= 0 {
		applyTime = defaultApplyTime
	}
	return State{evacuatedZones: make(map[string]bool), applyTime: applyTime}
}

// Catalog returns the configuration in force; it is not loaded before the table was read.
func (s State) Catalog() chutecatalog.Catalog {
	return s.catalog
}

// Waves returns the waves of maintenance that operators have requested. The caller does not modify them.
func (s State) Waves() []chuteaction.WaveRow {
	return s.waves
}

// EvacuatedZones returns the zones in which nothing may start. The caller does not modify them.
func (s State) EvacuatedZones() map[string]bool {
	return s.evacuatedZones
}

// Age returns for how long operators may have made changes that the host does not know.
func (s State) Age(now time.Time) time.Duration {
	return s.freshness.Age(now)
}

// Current reports whether the host knows a configuration and all changes that must be in force. A call that arrives later than the
// apply time after a change is decided by that change or a later one.
func (s State) Current(now time.Time) bool {
	return s.catalog.Loaded() && s.Age(now) <= s.applyTime
}

// OperatorsOld reports whether the operators may have changed zones, waves or quotas too long ago for tasks or maintenance to begin. It
// is so as well while no configuration is known, since a start might exceed a quota in it.
func (s State) OperatorsOld(now time.Time) bool {
	return !s.catalog.Loaded() || s.Age(now) > maxZonesAge
}

// Tick logs that the table has become out of date.
func (s State) Tick(t *chuteaction.Transition) State {
	if s.outOfDate || !s.freshness.Known() || s.Age(t.Now) <= s.applyTime {
		return s
	}
	s.outOfDate = true
	t.Count("operators-out-of-date", "age")
	t.Warn(component, "the operators' table is out of date", "", "age", s.Age(t.Now), "version", s.catalog.Version)
	return s
}

// withFreshness returns the state with the freshness after an answer, and records how old the table had become.
func (s State) withFreshness(t *chuteaction.Transition, e chuteaction.TableChanged) State {
	if s.freshness.Known() {
		t.Emit(chuteaction.Observe{Histogram: "table-age", Kind: e.Table.String(), Duration: s.Age(t.Now)})
	}
	former := s.Age(t.Now)
	s.freshness = s.freshness.WithAnswer(e, t.Now)
	if s.outOfDate && s.Age(t.Now) <= s.applyTime {
		s.outOfDate = false
		t.Log(component, "the operators' table is up to date again", "", "was", former, "age", s.Age(t.Now),
			"version", s.catalog.Version, "rows", len(e.Rows), "complete", e.Complete)
	}
	return s
}
