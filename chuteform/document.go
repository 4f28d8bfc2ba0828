package chuteform

import (
	"bytes"
	"fmt"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// MaxDocumentBytes is the largest size of a document file.
const MaxDocumentBytes = 4 << 20

// ParseDocument reads a change of the document from TOML. Its errors are results; that of a malformed document names
// the field.
func ParseDocument(text []byte) (chutedocument.Change, error) {
	if len(text) > MaxDocumentBytes {
		return chutedocument.Change{}, chuteresult.New(chuteresult.TooLarge, "document: over %d bytes", MaxDocumentBytes)
	}
	file, err := decodeDocument(text, nil)
	if err == nil && file.Policy != nil {
		defaults := newPolicySection(chutedocument.DefaultPolicy())
		file, err = decodeDocument(text, &defaults)
	}
	if err != nil {
		return chutedocument.Change{}, chuteresult.New(chuteresult.Malformed, "%s", err.Error())
	}
	return file.toChange()
}

// decodeDocument reads a document file. Fields that are absent from its policy section have the values of policy.
func decodeDocument(text []byte, policy *policySection) (documentFile, error) {
	file := documentFile{Policy: policy}
	err := DecodeTOML(text, &file)
	return file, err
}

// toChange returns the change of the document that the file describes.
func (f documentFile) toChange() (chutedocument.Change, error) {
	change := chutedocument.Change{Team: f.Team, Override: f.Override, Base: make(map[chutedocument.Section]int)}
	for name, version := range f.Base {
		change.Base[chutedocument.Section(name)] = version
	}
	if f.Workspaces != nil {
		workspaces, err := parseWorkspaces(f.Workspaces)
		if err != nil {
			return change, err
		}
		change.Workspaces = &workspaces
	}
	if f.Zones != nil {
		zones, err := parseZones(f.Zones)
		if err != nil {
			return change, err
		}
		change.Zones = &zones
	}
	if f.Policy != nil {
		policy := f.Policy.toPolicy()
		change.Policy = &policy
	}
	if f.Teams != nil {
		teams := parseTeams(f.Teams)
		change.Teams = &teams
	}
	return change, nil
}

func parseWorkspaces(sections []workspaceSection) ([]chutedocument.Workspace, error) {
	workspaces := make([]chutedocument.Workspace, 0, len(sections))
	for i, s := range sections {
		w := chutedocument.Workspace{Name: s.Name, Team: s.Team, Quota: s.Quota, Weight: s.Weight}
		if s.Limit != nil {
			w.Limit.Accelerators = s.Limit.Accelerators
		}
		for j, g := range s.Guarantees {
			level, ok := chutetopology.ParseLevel(g.Within)
			if !ok {
				return nil, chuteresult.New(chuteresult.Malformed,
					"workspaces[%d].guarantees[%d].within: %q is not worker, rack or zone", i, j, g.Within)
			}
			w.Guarantees = append(w.Guarantees, chutedocument.Guarantee{
				Count: g.Count, Shape: chutetopology.Shape{Parts: g.Parts, Accelerators: g.Accelerators, Within: level},
			})
		}
		workspaces = append(workspaces, w)
	}
	return workspaces, nil
}

func parseZones(sections []zoneSection) ([]chutedocument.Zone, error) {
	zones := make([]chutedocument.Zone, 0, len(sections))
	for i, s := range sections {
		out, err := ParseZoneState(s.State)
		if err != nil {
			return nil, chuteresult.New(chuteresult.Malformed, "availability-zones[%d].%s", i, err.Error())
		}
		zones = append(zones, chutedocument.Zone{Name: s.Name, Out: out})
	}
	return zones, nil
}

// ParseZoneState returns whether an availability zone of the given state is out of service. The state is "in" or "out";
// others are errors.
func ParseZoneState(state string) (bool, error) {
	switch state {
	case zoneIn:
		return false, nil
	case zoneOut:
		return true, nil
	}
	return false, errors.Errorf("state: %q is not in or out", state)
}

func parseTeams(sections []teamSection) []chutedocument.Team {
	teams := make([]chutedocument.Team, 0, len(sections))
	for _, s := range sections {
		t := chutedocument.Team{Name: s.Name, Quota: s.Quota}
		for _, name := range s.Sections {
			t.Sections = append(t.Sections, chutedocument.Section(name))
		}
		teams = append(teams, t)
	}
	return teams
}

// FormatDocument returns the document as TOML that can be edited and applied again. Its base has the versions of all
// sections, by which a concurrent change of a section is detected.
func FormatDocument(document chutedocument.Document) ([]byte, error) {
	policy := newPolicySection(document.Policy)
	file := documentFile{Base: make(map[string]int), Policy: &policy}
	for _, s := range chutedocument.Sections() {
		file.Base[string(s)] = document.Stamps[s].Version
	}
	for _, w := range document.Workspaces {
		section := workspaceSection{Name: w.Name, Team: w.Team, Quota: w.Quota, Weight: w.Weight}
		if w.Limit.Accelerators > 0 {
			section.Limit = &limitSection{Accelerators: w.Limit.Accelerators}
		}
		for _, g := range w.Guarantees {
			section.Guarantees = append(section.Guarantees, guaranteeSection{
				Count: g.Count, Parts: g.Shape.Parts, Accelerators: g.Shape.Accelerators, Within: g.Shape.Within.String(),
			})
		}
		file.Workspaces = append(file.Workspaces, section)
	}
	for _, z := range document.Zones {
		state := zoneIn
		if z.Out {
			state = zoneOut
		}
		file.Zones = append(file.Zones, zoneSection{Name: z.Name, State: state})
	}
	for _, t := range document.Teams {
		section := teamSection{Name: t.Name, Quota: t.Quota}
		for _, s := range t.Sections {
			section.Sections = append(section.Sections, string(s))
		}
		file.Teams = append(file.Teams, section)
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "# version %d\n", document.Version)
	err := toml.NewEncoder(&text).Encode(file)
	return text.Bytes(), errors.WithStack(err)
}
