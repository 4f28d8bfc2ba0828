package chutedocument

import (
	"math"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteresult"
)

const (
	maxNameBytes      = 128
	maxPolicyDuration = 30 * 24 * time.Hour
	maxWeight         = 1e6
)

// malformed returns a Malformed error with the formatted detail.
func malformed(format string, values ...any) error {
	return chuteresult.New(chuteresult.Malformed, format, values...)
}

// check returns an error if the change has no valid team, affects no section or contradicts itself.
func (c Change) check() error {
	if c.Team == "" || len(c.Team) > maxNameBytes {
		return malformed("team: must have 1 to %d bytes", maxNameBytes)
	}
	if len(c.Sections()) == 0 {
		return malformed("document: changes no section")
	}
	if c.SetZone != nil && c.Zones != nil {
		return malformed("set-zone: excludes availability-zones")
	}
	return nil
}

// check returns an error that names the first field that violates a rule of the document.
func (d Document) check() error {
	for _, check := range []func() error{d.checkTeams, d.checkWorkspaces, d.checkZones, d.Policy.check} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (d Document) checkTeams() error {
	if len(d.Teams) > MaxTeams {
		return malformed("teams: more than %d", MaxTeams)
	}
	names := make(map[string]bool)
	owners := make(map[Section]string)
	for i, t := range d.Teams {
		if err := checkName(names, t.Name, "teams", i); err != nil {
			return err
		}
		if t.Quota < 0 {
			return malformed("teams[%d].quota: must not be negative", i)
		}
		for _, s := range t.Sections {
			if !slices.Contains(Sections(), s) {
				return malformed("teams[%d].sections: %q is not a section", i, s)
			}
			if other, taken := owners[s]; taken {
				return malformed("teams[%d].sections: %s belongs to team %s already", i, s, other)
			}
			owners[s] = t.Name
		}
	}
	return nil
}

// checkName checks the name of the entry at the index of the list and adds it to the names seen.
func checkName(seen map[string]bool, name, list string, index int) error {
	if name == "" || len(name) > maxNameBytes {
		return malformed("%s[%d].name: must have 1 to %d bytes", list, index, maxNameBytes)
	}
	if seen[name] {
		return malformed("%s[%d].name: %q stands twice", list, index, name)
	}
	seen[name] = true
	return nil
}

func (d Document) checkWorkspaces() error {
	if len(d.Workspaces) > MaxWorkspaces {
		return malformed("workspaces: more than %d", MaxWorkspaces)
	}
	names := make(map[string]bool)
	cells := 0
	for i, w := range d.Workspaces {
		if err := checkName(names, w.Name, "workspaces", i); err != nil {
			return err
		}
		if w.Quota < 0 {
			return malformed("workspaces[%d].quota: must not be negative", i)
		}
		if err := checkLimit(i, w); err != nil {
			return err
		}
		if _, known := d.Team(w.Team); w.Team != "" && len(d.Teams) > 0 && !known {
			return malformed("workspaces[%d].team: %q is not a team", i, w.Team)
		}
		count, err := checkGuarantees(i, w)
		if err != nil {
			return err
		}
		cells += count
	}
	if cells > MaxCells {
		return malformed("workspaces: more than %d guaranteed shapes", MaxCells)
	}
	return nil
}

// checkLimit checks the limit and the weight of the workspace at the index. That the limit covers the guarantees is
// checked with them.
func checkLimit(index int, w Workspace) error {
	if w.Limit.Accelerators < 0 {
		return malformed("workspaces[%d].limit.accelerators: must not be negative", index)
	}
	if math.IsNaN(w.Weight) || w.Weight < 0 || w.Weight > maxWeight || w.Weight > 0 && w.Weight < 1/maxWeight {
		return malformed("workspaces[%d].weight: must be 0 or %v to %v", index, 1/maxWeight, maxWeight)
	}
	return nil
}

// checkGuarantees checks the guarantees of the workspace at the index and returns the number of its guaranteed shapes.
func checkGuarantees(index int, w Workspace) (int, error) {
	cells, accelerators := 0, 0
	for j, g := range w.Guarantees {
		if g.Count < 1 || g.Count > MaxCells {
			return 0, malformed("workspaces[%d].guarantees[%d].count: must be 1 to %d", index, j, MaxCells)
		}
		if err := g.Shape.Check(); err != nil {
			return 0, malformed("workspaces[%d].guarantees[%d].%s", index, j, chuteresult.FromError(err).Detail)
		}
		cells += g.Count
		accelerators += g.Count * g.Shape.Total()
	}
	if w.Quota > 0 && accelerators > w.Quota {
		return 0, malformed("workspaces[%d].quota: %d is under the guaranteed %d", index, w.Quota, accelerators)
	}
	if w.Limit.Accelerators > 0 && accelerators > w.Limit.Accelerators {
		return 0, malformed("workspaces[%d].limit.accelerators: %d is under the guaranteed %d", index, w.Limit.Accelerators, accelerators)
	}
	return cells, nil
}

func (d Document) checkZones() error {
	if len(d.Zones) > MaxZones {
		return malformed("availability-zones: more than %d", MaxZones)
	}
	names := make(map[string]bool)
	for i, z := range d.Zones {
		if err := checkName(names, z.Name, "availability-zones", i); err != nil {
			return err
		}
	}
	return nil
}

func (p Policy) check() error {
	durations := []struct {
		name    string
		value   time.Duration
		minimum time.Duration
	}{
		{"quantum", p.Quantum, time.Second},
		{"patience", p.Patience, time.Second},
		{"checkpoint-grace", p.CheckpointGrace, 0},
		{"zone-grace", p.ZoneGrace, 0},
		{"intent-retention", p.IntentRetention, time.Minute},
	}
	for _, d := range durations {
		if d.value < d.minimum || d.value > maxPolicyDuration {
			return malformed("policy.%s: must be %s to %s", d.name, d.minimum, maxPolicyDuration)
		}
	}
	switch {
	case p.Shards < 1 || p.Shards > MaxShards:
		return malformed("policy.shards: must be 1 to %d", MaxShards)
	case p.MaxFailures < 1 || p.MaxFailures > 100:
		return malformed("policy.max-failures: must be 1 to 100")
	case p.OpenFrom < 0 || p.OpenFrom > 23:
		return malformed("policy.open-from: must be 0 to 23")
	case p.OpenUntil < 0 || p.OpenUntil > 23:
		return malformed("policy.open-until: must be 0 to 23")
	}
	return nil
}
