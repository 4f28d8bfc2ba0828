package chuteform

import (
	"time"

	"monsoonchute.example/monsoonchute/chutedocument"
)

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
	Weight     float64            `toml:"weight,omitempty"`
	Limit      *limitSection      `toml:"limit,omitempty"`
	Guarantees []guaranteeSection `toml:"guarantees"`
}

type limitSection struct {
	Accelerators int `toml:"accelerators"`
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
