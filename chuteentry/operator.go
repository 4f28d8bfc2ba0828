package chuteentry

import (
	"maps"
	"slices"

	"monsoonchute.example/monsoonchute/chuteaction"
)

// operatorChanged adopts newer configurations and the zones in which nothing may start.
func (t *turn) operatorChanged(e chuteaction.TableChanged) {
	present := make(map[string]bool)
	for _, r := range e.Rows {
		value, ok := r.Value.(chuteaction.OperatorRow)
		if !ok {
			continue
		}
		switch row := value.(type) {
		case chuteaction.CatalogRow:
			if row.Version > t.state.catalog.Version {
				t.Log(part, "configuration in force", "", "version", row.Version, "former", t.state.catalog.Version,
					"queues", len(row.Queues), "workspaces", len(row.Workspaces))
				t.state.catalog = row.Catalog
			}
		case chuteaction.WaveRow:
			t.state.waves = append(slices.Clone(t.state.waves), row)
		case chuteaction.EvacuationRow:
			if row.Ended {
				t.zoneBack(row.Zone, r.Version)
				continue
			}
			present[row.Zone] = true
			t.zoneOut(row.Zone, r.Version)
		}
	}
	if !e.Complete {
		return
	}
	for zone := range t.state.zonesOut {
		if !present[zone] {
			t.zoneBack(zone, 0)
		}
	}
}

func (t *turn) zoneOut(zone string, version chuteaction.RowVersion) {
	if t.state.zonesOut[zone] {
		return
	}
	t.Log(part, "zone is out", "", "zone", zone, "version", version)
	out := maps.Clone(t.state.zonesOut)
	out[zone] = true
	t.state.zonesOut = out
}

func (t *turn) zoneBack(zone string, version chuteaction.RowVersion) {
	if !t.state.zonesOut[zone] {
		return
	}
	t.Log(part, "zone is back", "", "zone", zone, "version", version)
	out := maps.Clone(t.state.zonesOut)
	delete(out, zone)
	t.state.zonesOut = out
}
