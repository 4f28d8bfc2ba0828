package chuteentry

import (
	"maps"
	"slices"

	"monsoonchute.example/monsoonchute/chuteaction"
)

// operatorChanged applies changes by the operators: configurations, maintenance waves and zone evacuations.
func (t *transition) operatorChanged(e chuteaction.TableChanged) {
	present := make(map[string]bool)
	for _, r := range e.Rows {
		value, ok := r.Value.(chuteaction.OperatorRow)
		if !ok {
			continue
		}
		switch row := value.(type) {
		case chuteaction.CatalogRow:
			if row.Version > t.state.catalog.Version {
				t.Log(component, "configuration in force", "", "version", row.Version, "former", t.state.catalog.Version,
					"queues", len(row.Queues), "workspaces", len(row.Workspaces))
				t.state.catalog = row.Catalog
			}
		case chuteaction.WaveRow:
			t.state.waves = append(slices.Clone(t.state.waves), row)
		case chuteaction.EvacuationRow:
			if row.Ended {
				t.restoreZone(row.Zone, r.Version)
				continue
			}
			present[row.Zone] = true
			t.evacuateZone(row.Zone, r.Version)
		}
	}
	if !e.Complete {
		return
	}
	for zone := range t.state.evacuatedZones {
		if !present[zone] {
			t.restoreZone(zone, 0)
		}
	}
}

func (t *transition) evacuateZone(zone string, version chuteaction.RowVersion) {
	if t.state.evacuatedZones[zone] {
		return
	}
	t.Log(component, "zone is out", "", "zone", zone, "version", version)
	evacuated := maps.Clone(t.state.evacuatedZones)
	evacuated[zone] = true
	t.state.evacuatedZones = evacuated
}

func (t *transition) restoreZone(zone string, version chuteaction.RowVersion) {
	if !t.state.evacuatedZones[zone] {
		return
	}
	t.Log(component, "zone is back", "", "zone", zone, "version", version)
	evacuated := maps.Clone(t.state.evacuatedZones)
	delete(evacuated, zone)
	t.state.evacuatedZones = evacuated
}
