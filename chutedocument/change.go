package chutedocument

import (
	"maps"
	"slices"
	"strings"
	"time"

	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// Limits on the lists of one document.
const (
	MaxWorkspaces = 4096
	MaxTeams      = 4096
	MaxZones      = 64
	MaxShards     = 1024
	MaxCells      = 4096
)

// Change is a proposed change of the document. Sections that are nil stay as they are.
type Change struct {
	Team       string          `json:"team"`
	Base       map[Section]int `json:"base"`     // version of each changed section on which the change is based
	Override   bool            `json:"override"` // apply the change despite a stale base or another owner
	Workspaces *[]Workspace    `json:"workspaces"`
	Zones      *[]Zone         `json:"availability-zones"`
	Policy     *Policy         `json:"policy"`
	Teams      *[]Team         `json:"teams"`
	SetZone    *Zone           `json:"set-zone"` // changes one zone, whatever the current version is
}

// Sections returns the sections that the change affects, in the order of the document.
func (c Change) Sections() []Section {
	touched := map[Section]bool{
		SectionWorkspaces: c.Workspaces != nil,
		SectionZones:      c.Zones != nil || c.SetZone != nil,
		SectionPolicy:     c.Policy != nil,
		SectionTeams:      c.Teams != nil,
	}
	return slices.DeleteFunc(Sections(), func(s Section) bool { return !touched[s] })
}

// Apply returns the document with the whole change, stamped with the time now. If the change is invalid, it returns the
// unchanged document and an error of the class not run: Malformed, Forbidden, StaleBase or GuaranteesNotMet. It uses the
// topology to pack the guarantees and allot them to shards.
func (d Document) Apply(change Change, topology chutetopology.Topology, now time.Time) (Document, error) {
	if err := change.check(); err != nil {
		return d, err
	}
	if err := d.checkAllowed(change); err != nil {
		return d, err
	}
	next := d.withSections(change)
	next.Version = d.Version + 1
	next.Stamps = maps.Clone(d.Stamps)
	if next.Stamps == nil {
		next.Stamps = map[Section]Stamp{}
	}
	for _, s := range change.Sections() {
		next.Stamps[s] = Stamp{Version: d.Stamps[s].Version + 1, Team: change.Team, At: now, Override: change.Override}
	}
	if err := next.check(); err != nil {
		return d, err
	}
	return next.withLimitVersions(d).withAllotments(d, topology)
}

// withSections returns the document with the new values of the changed sections.
func (d Document) withSections(change Change) Document {
	if change.Workspaces != nil {
		d.Workspaces = slices.Clone(*change.Workspaces)
	}
	if change.Zones != nil {
		d.Zones = slices.Clone(*change.Zones)
	}
	if change.Policy != nil {
		d.Policy = *change.Policy
	}
	if change.Teams != nil {
		d.Teams = slices.Clone(*change.Teams)
	}
	if change.SetZone != nil {
		d.Zones = withZone(d.Zones, *change.SetZone)
	}
	return d
}

// withLimitVersions returns the document with the versions of its limits set, given the document before the change.
func (d Document) withLimitVersions(previous Document) Document {
	limits := make(map[string]Limit, len(previous.Workspaces))
	for _, w := range previous.Workspaces {
		limits[w.Name] = w.Limit
	}
	d.Workspaces = slices.Clone(d.Workspaces)
	for i, w := range d.Workspaces {
		old, limit := limits[w.Name], w.Limit.Accelerators
		w.Limit = Limit{Accelerators: limit, Since: old.Since, Version: old.Version}
		switch {
		case limit == 0:
			w.Limit = Limit{}
		case old.Accelerators == 0 || d.Policy.Shards != previous.Policy.Shards:
			w.Limit.Since, w.Limit.Version = d.Version, d.Version
		case old.Accelerators != limit:
			w.Limit.Version = d.Version
		}
		d.Workspaces[i] = w
	}
	return d
}

// withZone returns the zones, sorted by name, with the zone added or replaced.
func withZone(zones []Zone, zone Zone) []Zone {
	next := slices.DeleteFunc(slices.Clone(zones), func(z Zone) bool { return z.Name == zone.Name })
	next = append(next, zone)
	slices.SortFunc(next, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
	return next
}

// checkAllowed returns an error if the change has a stale base or affects a section that another team owns, unless the
// change overrides these rules. A change of a single zone needs no base.
func (d Document) checkAllowed(change Change) error {
	if change.Override {
		return nil
	}
	for _, s := range change.Sections() {
		if owner, ok := d.sectionOwner(s); ok && owner != change.Team {
			return chuteresult.New(chuteresult.Forbidden, "%s: belongs to team %s", s, owner)
		}
		if s == SectionZones && change.SetZone != nil && change.Zones == nil {
			continue
		}
		stamp := d.Stamps[s]
		if base := change.Base[s]; base != stamp.Version {
			return chuteresult.New(chuteresult.StaleBase, "%s: based on version %d, but team %s made version %d at %s",
				s, base, stamp.Team, stamp.Version, stamp.At.UTC().Format(time.RFC3339))
		}
	}
	return nil
}

// sectionOwner returns the name of the team that owns the section, and false if no team does.
func (d Document) sectionOwner(section Section) (string, bool) {
	for _, t := range d.Teams {
		if slices.Contains(t.Sections, section) {
			return t.Name, true
		}
	}
	return "", false
}
