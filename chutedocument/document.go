package chutedocument

import (
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chuteguarantee"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// Section identifies a part of the document that has its own version and may be owned by one team.
type Section string

// The sections of the document.
const (
	SectionWorkspaces Section = "workspaces"
	SectionZones      Section = "availability-zones"
	SectionPolicy     Section = "policy"
	SectionTeams      Section = "teams"
)

// Sections returns all sections in the order of the document.
func Sections() []Section {
	return []Section{SectionWorkspaces, SectionZones, SectionPolicy, SectionTeams}
}

// Guarantee is a number of equal shapes that the jobs of a workspace can claim at any time.
type Guarantee struct {
	Count int                 `json:"count"`
	Shape chutetopology.Shape `json:"shape"`
}

// Workspace is a customer's share of the cluster.
type Workspace struct {
	Name       string      `json:"name"`
	Team       string      `json:"team"`
	Quota      int         `json:"quota"` // limit on the accelerators held at once; 0 means no limit
	Guarantees []Guarantee `json:"guarantees"`
	Limit      Limit       `json:"limit"`
	Weight     float64     `json:"weight"` // share of the accelerators, relative to other workspaces, when all are in use
}

// Limit is what the jobs of a workspace may have in use across all shards. Apply maintains the versions.
type Limit struct {
	Accelerators int `json:"accelerators"` // 0 means no limit
	Since        int `json:"since"`        // version of the document since which there has been a limit for the same shards
	Version      int `json:"version"`      // version of the document that set Accelerators to the present value
}

// Guaranteed returns the number of accelerators in the guarantees of the workspace.
func (w Workspace) Guaranteed() int {
	sum := 0
	for _, g := range w.Guarantees {
		sum += g.Count * g.Shape.Total()
	}
	return sum
}

// ShareWeight returns the weight of the workspace, where an absent one counts as 1.
func (w Workspace) ShareWeight() float64 {
	if w.Weight == 0 {
		return 1
	}
	return w.Weight
}

// Zone is the setting of the operators for one availability zone.
type Zone struct {
	Name string `json:"name"`
	Out  bool   `json:"out"` // whether the zone is taken out of service
}

// Team is a group of operators that owns sections and workspaces; its quota covers all its workspaces.
type Team struct {
	Name     string    `json:"name"`
	Quota    int       `json:"quota"` // limit on the accelerators held at once; 0 means no limit
	Sections []Section `json:"sections"`
}

// Policy is the section with the settings that operators choose for the system.
type Policy struct {
	Shards          int           `json:"shards"`
	Quantum         time.Duration `json:"quantum"`          // shortest run of a borrower before a non-urgent borrower may preempt it
	Patience        time.Duration `json:"patience"`         // wait after which a job may also preempt borrowers with less run time
	CheckpointGrace time.Duration `json:"checkpoint-grace"` // longest wait for a checkpoint before a job is stopped
	ZoneGrace       time.Duration `json:"zone-grace"`       // longest time that work still runs in a zone taken out of service
	MaxFailures     int           `json:"max-failures"`     // number of distinct workers with failures that ends a job
	SurviveZoneOut  bool          `json:"survive-zone-out"` // whether the guarantees must fit with any one zone out of service
	IntentRetention time.Duration `json:"intent-retention"` // time for which request ids and ended jobs are kept
	OpenFrom        int           `json:"open-from"`        // hour (UTC) from which interactive work has priority
	OpenUntil       int           `json:"open-until"`       // hour (UTC) at which that ends; equal hours mean always
}

// DefaultPolicy returns the policy of a document without a policy section.
func DefaultPolicy() Policy {
	return Policy{
		Shards: 1, Quantum: 2 * time.Minute, Patience: 10 * time.Minute, CheckpointGrace: 4 * time.Second,
		ZoneGrace: 30 * time.Minute, MaxFailures: 3, IntentRetention: 24 * time.Hour,
	}
}

// Stamp describes the last change of a section.
type Stamp struct {
	Version  int       `json:"version"` // version of the section, 0 before its first change
	Team     string    `json:"team"`
	At       time.Time `json:"at"`
	Override bool      `json:"override"` // whether the change ignored a newer version or another owner
}

// Allotment assigns one guaranteed cell to a shard.
type Allotment struct {
	Shard     int                 `json:"shard"`
	Workspace string              `json:"workspace"`
	Number    int                 `json:"number"` // index among the guaranteed shapes of the workspace, from zero
	Shape     chutetopology.Shape `json:"shape"`
}

// Document is the immutable content of the operators' document.
type Document struct {
	Version    int               `json:"version"` // grows by one with each accepted change
	Workspaces []Workspace       `json:"workspaces"`
	Zones      []Zone            `json:"availability-zones"`
	Policy     Policy            `json:"policy"`
	Teams      []Team            `json:"teams"`
	Stamps     map[Section]Stamp `json:"stamps"`
	Allotments []Allotment       `json:"allotments"`
}

// New returns the document as it is before its first change.
func New() Document {
	return Document{Policy: DefaultPolicy(), Stamps: map[Section]Stamp{}}
}

// ZoneOut reports whether the zone is taken out of service.
func (d Document) ZoneOut(zone chutetopology.ZoneID) bool {
	return slices.ContainsFunc(d.Zones, func(z Zone) bool { return z.Name == string(zone) && z.Out })
}

// Workspace returns the workspace with the name, and false if there is none.
func (d Document) Workspace(name string) (Workspace, bool) {
	index := slices.IndexFunc(d.Workspaces, func(w Workspace) bool { return w.Name == name })
	if index < 0 {
		return Workspace{}, false
	}
	return d.Workspaces[index], true
}

// HasWeights reports whether any workspace has a weight.
func (d Document) HasWeights() bool {
	return slices.ContainsFunc(d.Workspaces, func(w Workspace) bool { return w.Weight > 0 })
}

// Team returns the team with the name, and false if there is none.
func (d Document) Team(name string) (Team, bool) {
	index := slices.IndexFunc(d.Teams, func(t Team) bool { return t.Name == name })
	if index < 0 {
		return Team{}, false
	}
	return d.Teams[index], true
}

// Cells returns the guaranteed cells that are allotted to the shard, without accelerators.
func (d Document) Cells(shard int) []chuteguarantee.Cell {
	var cells []chuteguarantee.Cell
	for _, a := range d.Allotments {
		if a.Shard == shard {
			cells = append(cells, chuteguarantee.Cell{Workspace: a.Workspace, Shape: a.Shape, Number: a.Number})
		}
	}
	return cells
}

// AllCells returns the guaranteed cells of all workspaces, without accelerators. Cell numbers start from zero in each
// workspace.
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
