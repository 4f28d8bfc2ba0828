package chuteoperator

import (
	"maps"
	"slices"

	"monsoonchute.example/monsoonchute/chuteaction"
)

// transition is the handling of one answer about the table. The state has copies of the waves and zones.
type transition struct {
	*chuteaction.Transition
	State
}

// HandleTableChanged applies changes by the operators: configurations, waves of maintenance and evacuations of zones.
func (s State) HandleTableChanged(r *chuteaction.Transition, e chuteaction.TableChanged) State {
	t := &transition{Transition: r, State: s}
	t.waves, t.evacuatedZones = slices.Clone(s.waves), maps.Clone(s.evacuatedZones)
	present := make(map[string]bool)
	for _, row := range e.Rows {
		value, ok := row.Value.(chuteaction.OperatorRow)
		if !ok {
			continue
		}
		switch v := value.(type) {
		case chuteaction.CatalogRow:
			t.applyCatalog(v)
		case chuteaction.WaveRow:
			t.addWave(v)
		case chuteaction.EvacuationRow:
			if v.Ended {
				t.restoreZone(v.Zone, row.Version)
				continue
			}
			present[v.Zone] = true
			t.evacuateZone(v.Zone, row.Version)
		}
	}
	if e.Complete {
		t.restoreOthers(present)
	}
	return t.withFreshness(r, e)
}

// applyCatalog puts a configuration in force unless it is older than the one that is.
func (t *transition) applyCatalog(row chuteaction.CatalogRow) {
	if row.Version <= t.catalog.Version {
		return
	}
	t.Log(component, "configuration in force", "", "version", row.Version, "former", t.catalog.Version,
		"queues", len(row.Queues), "workspaces", len(row.Workspaces))
	t.catalog = row.Catalog
}

// addWave adds a wave, or replaces an earlier version of it.
func (t *transition) addWave(row chuteaction.WaveRow) {
	known := slices.IndexFunc(t.waves, func(w chuteaction.WaveRow) bool { return w.Wave == row.Wave })
	if known >= 0 {
		t.waves[known] = row
		return
	}
	t.waves = append(t.waves, row)
}

// evacuateZone takes a zone out.
func (t *transition) evacuateZone(zone string, version chuteaction.RowVersion) {
	if t.evacuatedZones[zone] {
		return
	}
	t.Log(component, "zone is out", "", "zone", zone, "version", version)
	t.evacuatedZones[zone] = true
}

// restoreZone takes a zone back.
func (t *transition) restoreZone(zone string, version chuteaction.RowVersion) {
	if !t.evacuatedZones[zone] {
		return
	}
	t.Log(component, "zone is back", "", "zone", zone, "version", version)
	delete(t.evacuatedZones, zone)
}

// restoreOthers takes back all zones that a complete answer does not name.
func (t *transition) restoreOthers(present map[string]bool) {
	for zone := range t.evacuatedZones {
		if !present[zone] {
			t.restoreZone(zone, 0)
		}
	}
}
