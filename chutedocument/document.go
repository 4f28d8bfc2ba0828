package chutedocument

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteguarantee"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// Section names a part of the document that one team owns.
type Section string

// The sections.
const (
	SectionWorkspaces Section = "workspaces"
	SectionZones      Section = "availability-zones"
	SectionPolicy     Section = "policy"
	SectionTeams      Section = "teams"
)

// Sections returns all sections in order.
func Sections() []Section {
	return []Section{SectionWorkspaces, SectionZones, SectionPolicy, SectionTeams}
}

// Guarantee is a number of equal shapes that a workspace can always reclaim.
type Guarantee struct {
	Count int                 `json:"count"`
	Shape chutetopology.Shape `json:"shape"`
}

// Workspace is a customer's part of the cluster.
type Workspace struct {
	Name       string      `json:"name"`
	Team       string      `json:"team"`
	Quota      int         `json:"quota"` // accelerators held at once, 0 for no limit
	Guarantees []Guarantee `json:"guarantees"`
}

// Zone is the operators' decision on one availability zone.
type Zone struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

// Team owns sections and has a quota over all its workspaces.
type Team struct {
	Name     string    `json:"name"`
	Quota    int       `json:"quota"` // accelerators held at once, 0 for no limit
	Sections []Section `json:"sections"`
}

// Policy is the part of the behaviour that operators choose.
type Policy struct {
	Shards          int           `json:"shards"`
	Quantum         time.Duration `json:"quantum"`          // shortest run before a job yields to one with less service
	Patience        time.Duration `json:"patience"`         // wait after which a job may displace any borrower
	CheckpointGrace time.Duration `json:"checkpoint-grace"` // longest wait for a checkpoint before a stop
	ZoneGrace       time.Duration `json:"zone-grace"`       // longest stay of running work in a zone taken out
	MaxFailures     int           `json:"max-failures"`     // distinct workers on which a job may fail
	SurviveZoneOut  bool          `json:"survive-zone-out"` // guarantees must fit with any one zone out
	IntentRetention time.Duration `json:"intent-retention"` // how long a request id is remembered
	OpenFrom        int           `json:"open-from"`        // hour of the day, UTC, from which interactive work has priority
	OpenUntil       int           `json:"open-until"`       // hour at which that ends; equal hours mean always
}

// DefaultPolicy returns the policy of a document without a policy section.
func DefaultPolicy() Policy {
	return Policy{
		Shards: 1, Quantum: 2 * time.Minute, Patience: 10 * time.Minute, CheckpointGrace: 4 * time.Second,
		ZoneGrace: 30 * time.Minute, MaxFailures: 3, IntentRetention: 24 * time.Hour,
	}
}

// Stamp tells who last changed a section and when.
type Stamp struct {
	Version  int       `json:"version"` // of the section, 0 before its first change
	Team     string    `json:"team"`
	At       time.Time `json:"at"`
	Override bool      `json:"override"` // the change ignored a newer version or another owner
}

// Allotment gives the guaranteed cells of one shard.
type Allotment struct {
	Shard     int                 `json:"shard"`
	Workspace string              `json:"workspace"`
	Number    int                 `json:"number"`
	Shape     chutetopology.Shape `json:"shape"`
}

// Document is the immutable whole that is in force.
type Document struct {
	Version    int               `json:"version"` // grows by one with each accepted change
	Workspaces []Workspace       `json:"workspaces"`
	Zones      []Zone            `json:"availability-zones"`
	Policy     Policy            `json:"policy"`
	Teams      []Team            `json:"teams"`
	Stamps     map[Section]Stamp `json:"stamps"`
	Allotments []Allotment       `json:"allotments"`
}

// New returns the document before its first change.
func New() Document {
	return Document{Policy: DefaultPolicy(), Stamps: map[Section]Stamp{}}
}

// ZoneOut reports whether the zone is taken out of service.
func (d Document) ZoneOut(zone chutetopology.ZoneID) bool {
	return slices.ContainsFunc(d.Zones, func(z Zone) bool { return z.Name == string(zone) && z.Out })
}

// Workspace returns the workspace of the name, and false if there is none.
func (d Document) Workspace(name string) (Workspace, bool) {
	at := slices.IndexFunc(d.Workspaces, func(w Workspace) bool { return w.Name == name })
	if at < 0 {
		return Workspace{}, false
	}
	return d.Workspaces[at], true
}

// Team returns the team of the name, and false if there is none.
func (d Document) Team(name string) (Team, bool) {
	at := slices.IndexFunc(d.Teams, func(t Team) bool { return t.Name == name })
	if at < 0 {
		return Team{}, false
	}
	return d.Teams[at], true
}

// Cells returns the guaranteed cells of the shard, without accelerators yet.
func (d Document) Cells(shard int) []chuteguarantee.Cell {
	var cells []chuteguarantee.Cell
	for _, a := range d.Allotments {
		if a.Shard == shard {
			cells = append(cells, chuteguarantee.Cell{Workspace: a.Workspace, Shape: a.Shape, Number: a.Number})
		}
	}
	return cells
}

// AllCells returns every guaranteed cell of the workspaces, numbered within each workspace.
func (d Document) AllCells() []chuteguarantee.Cell {
	var cells []chuteguarantee.Cell
	for _, w := range d.Workspaces {
		number := 0
		for _, g := range w.Guarantees {
			for range g.Count {
				cells = append(cells, chuteguarantee.Cell{Workspace: w.Name, Shape: g.Shape, Number: number})
				number++
			}
		}
	}
	return cells
}
