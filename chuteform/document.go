package chuteform

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// MaxDocumentBytes is the largest size of a document file.
const MaxDocumentBytes = 4 << 20

// The states of an availability zone in a document file.
const (
	zoneIn  = "in"
	zoneOut = "out"
)

// documentFile is the TOML form of the operators' document. A section that is absent is not changed. Errors of the
// decoder, which clients get, contain the names of this and the following types and of their fields.
type documentFile struct {
	Team       string             `toml:"team"`
	Override   bool               `toml:"override,omitempty"`
	Base       map[string]int     `toml:"base"`
	Workspaces []workspaceSection `toml:"workspaces"`
	Zones      []zoneSection      `toml:"availability-zones"`
	Policy     *policySection     `toml:"policy"`
	Teams      []teamSection      `toml:"teams"`
}

type workspaceSection struct {
	Name       string             `toml:"name"`
	Team       string             `toml:"team"`
	Quota      int                `toml:"quota"`
	Guarantees []guaranteeSection `toml:"guarantees"`
}

type guaranteeSection struct {
	Count        int    `toml:"count"`
	Parts        int    `toml:"parts"`
	Accelerators int    `toml:"accelerators"`
	Within       string `toml:"within"`
}

type zoneSection struct {
	Name  string `toml:"name"`
	State string `toml:"state"`
}

type teamSection struct {
	Name     string   `toml:"name"`
	Quota    int      `toml:"quota"`
	Sections []string `toml:"sections"`
}

type policySection struct {
	Shards          int      `toml:"shards"`
	Quantum         Duration `toml:"quantum"`
	Patience        Duration `toml:"patience"`
	CheckpointGrace Duration `toml:"checkpoint-grace"`
	ZoneGrace       Duration `toml:"zone-grace"`
	MaxFailures     int      `toml:"max-failures"`
	SurviveZoneOut  bool     `toml:"survive-zone-out"`
	IntentRetention Duration `toml:"intent-retention"`
	OpenFrom        int      `toml:"open-from"`
	OpenUntil       int      `toml:"open-until"`
}

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

// DecodeTOML reads TOML into the value. It rejects unknown fields with an error that names all of them; other errors
// name the line, the column and the field.
func DecodeTOML(text []byte, value any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var names []string
		for _, e := range unknown.Errors {
			names = append(names, strings.Join(e.Key(), "."))
		}
		return errors.Errorf("unknown fields: %s", strings.Join(names, ", "))
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		row, column := malformed.Position()
		return errors.Errorf("line %d, column %d, field %q: %s", row, column, strings.Join(malformed.Key(), "."), malformed.Error())
	}
	return errors.WithStack(err)
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
		w := chutedocument.Workspace{Name: s.Name, Team: s.Team, Quota: s.Quota}
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

func (p policySection) toPolicy() chutedocument.Policy {
	return chutedocument.Policy{
		Shards: p.Shards, Quantum: time.Duration(p.Quantum), Patience: time.Duration(p.Patience),
		CheckpointGrace: time.Duration(p.CheckpointGrace), ZoneGrace: time.Duration(p.ZoneGrace),
		MaxFailures: p.MaxFailures, SurviveZoneOut: p.SurviveZoneOut, IntentRetention: time.Duration(p.IntentRetention),
		OpenFrom: p.OpenFrom, OpenUntil: p.OpenUntil,
	}
}

func newPolicySection(p chutedocument.Policy) policySection {
	return policySection{
		Shards: p.Shards, Quantum: Duration(p.Quantum), Patience: Duration(p.Patience),
		CheckpointGrace: Duration(p.CheckpointGrace), ZoneGrace: Duration(p.ZoneGrace),
		MaxFailures: p.MaxFailures, SurviveZoneOut: p.SurviveZoneOut, IntentRetention: Duration(p.IntentRetention),
		OpenFrom: p.OpenFrom, OpenUntil: p.OpenUntil,
	}
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
		section := workspaceSection{Name: w.Name, Team: w.Team, Quota: w.Quota}
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
