package chutedocument_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutesimulation"
	"monsoonchute.example/monsoonchute/chutetopology"
)

var (
	topology = chutesimulation.Topology(2, 1, 2, 4)
	now      = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)
)

// baseVersions returns a base with the versions of the first sections.
func baseVersions(versions ...int) map[chutedocument.Section]int {
	base := make(map[chutedocument.Section]int)
	for i, v := range versions {
		base[chutedocument.Sections()[i]] = v
	}
	return base
}

// ownedDocument returns a document in which team a owns the workspaces and team b the policy.
func ownedDocument(t *testing.T) chutedocument.Document {
	t.Helper()
	teams := []chutedocument.Team{
		{Name: "a", Sections: []chutedocument.Section{chutedocument.SectionWorkspaces}},
		{Name: "b", Sections: []chutedocument.Section{chutedocument.SectionPolicy}},
	}
	workspaces := []chutedocument.Workspace{{Name: "w", Team: "a"}}
	document, err := chutedocument.New().Apply(chutedocument.Change{Team: "a", Teams: &teams, Workspaces: &workspaces}, topology, now)
	is.New(t).NoErr(err)
	return document
}

// guaranteedWorkspaces returns a workspace with one guarantee.
func guaranteedWorkspaces(count, parts, accelerators int, level chutetopology.Level) *[]chutedocument.Workspace {
	return &[]chutedocument.Workspace{{Name: "w", Team: "a", Guarantees: []chutedocument.Guarantee{
		{Count: count, Shape: chutetopology.Shape{Parts: parts, Accelerators: accelerators, Within: level}},
	}}}
}

// limitedWorkspace returns a change to a workspace with eight guaranteed accelerators, the limit and the weight.
func limitedWorkspace(limit int, weight float64) chutedocument.Change {
	workspaces := guaranteedWorkspaces(1, 2, 4, chutetopology.LevelRack)
	(*workspaces)[0].Limit.Accelerators, (*workspaces)[0].Weight = limit, weight
	return chutedocument.Change{Team: "a", Override: true, Workspaces: workspaces}
}

func TestRefusedChanges(t *testing.T) {
	policy := chutedocument.DefaultPolicy()
	bad := policy
	bad.Shards = 0
	cases := []struct {
		name   string
		change chutedocument.Change
		code   chuteresult.Code
		detail string
	}{
		{"no team", chutedocument.Change{Policy: &policy}, chuteresult.Malformed, "team"},
		{"no section", chutedocument.Change{Team: "a"}, chuteresult.Malformed, "no section"},
		{"another team's section", chutedocument.Change{Team: "a", Policy: &policy}, chuteresult.Forbidden, "belongs to team b"},
		{"stale base", chutedocument.Change{Team: "a", Workspaces: guaranteedWorkspaces(1, 1, 1, chutetopology.LevelWorker)}, chuteresult.StaleBase, "team a made version 1"},
		{"bad policy", chutedocument.Change{Team: "b", Policy: &bad}, chuteresult.Malformed, "policy.shards"},
		{"too many guarantees", chutedocument.Change{Team: "a", Base: baseVersions(1), Workspaces: guaranteedWorkspaces(9, 1, 2, chutetopology.LevelWorker)}, chuteresult.GuaranteesNotMet, "workspace w: shape 1x2 in worker"},
		{"fits in no rack", chutedocument.Change{Team: "a", Base: baseVersions(1), Workspaces: guaranteedWorkspaces(1, 3, 4, chutetopology.LevelRack)}, chuteresult.GuaranteesNotMet, "workspace w: shape 3x4 in rack"},
		{"negative limit", limitedWorkspace(-1, 0), chuteresult.Malformed, "workspaces[0].limit.accelerators"},
		{"negative weight", limitedWorkspace(0, -1), chuteresult.Malformed, "workspaces[0].weight"},
		{"weight that is no number", limitedWorkspace(0, math.NaN()), chuteresult.Malformed, "workspaces[0].weight"},
		{"limit under the guarantee", limitedWorkspace(7, 0), chuteresult.Malformed, "workspaces[0].limit.accelerators: 7 is under the guaranteed 8"},
		{"several parts within one worker", chutedocument.Change{Team: "a", Base: baseVersions(1), Workspaces: guaranteedWorkspaces(1, 2, 1, chutetopology.LevelWorker)}, chuteresult.Malformed, "workspaces[0].guarantees[0].parts"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			document := ownedDocument(t)
			after, err := document.Apply(c.change, topology, now)
			is.True(err != nil)
			is.Equal(chuteresult.FromError(err).Code, c.code)
			is.True(strings.Contains(err.Error(), c.detail)) // the error names the team or field
			is.Equal(after, document)                        // the document is unchanged
		})
	}
}

func TestOverrideIsRecorded(t *testing.T) {
	is := is.New(t)
	policy := chutedocument.DefaultPolicy()
	after, err := ownedDocument(t).Apply(chutedocument.Change{Team: "a", Policy: &policy, Override: true}, topology, now)
	is.NoErr(err)
	is.True(after.Stamps[chutedocument.SectionPolicy].Override)
	is.Equal(after.Stamps[chutedocument.SectionPolicy].Team, "a")
	is.Equal(after.Version, 2)
}

func TestSurviveZoneOut(t *testing.T) {
	is := is.New(t)
	policy := chutedocument.DefaultPolicy()
	policy.SurviveZoneOut = true
	change := chutedocument.Change{Team: "a", Override: true, Policy: &policy, Workspaces: guaranteedWorkspaces(1, 2, 4, chutetopology.LevelRack)}
	_, err := ownedDocument(t).Apply(change, topology, now)
	is.NoErr(err)
	change.Workspaces = guaranteedWorkspaces(2, 2, 4, chutetopology.LevelRack)
	_, err = ownedDocument(t).Apply(change, topology, now)
	is.True(err != nil)
	is.Equal(chuteresult.FromError(err).Code, chuteresult.GuaranteesNotMet)
	policy.SurviveZoneOut = false
	after, err := ownedDocument(t).Apply(change, topology, now)
	is.NoErr(err)
	is.Equal(len(after.ZoneOutEffect(topology).UnpackedByZone), 2) // without either zone, one shape cannot be packed
}

func TestZoneChangesNeedNoBase(t *testing.T) {
	is := is.New(t)
	document := ownedDocument(t)
	for _, out := range []bool{true, false, true} {
		after, err := document.Apply(chutedocument.Change{Team: "x", SetZone: &chutedocument.Zone{Name: "zone-a", Out: out}}, topology, now)
		is.NoErr(err)
		document = after
		is.Equal(document.ZoneOut("zone-a"), out)
	}
	is.Equal(document.Stamps[chutedocument.SectionZones].Version, 3)
}

// TestLimitsAreNumbered guards against entries of an earlier limit that count for a later one: Since must change when
// the limit was absent in between or the shards change, and must not change with the value.
func TestLimitsAreNumbered(t *testing.T) {
	is := is.New(t)
	document := ownedDocument(t)
	policy := chutedocument.DefaultPolicy()
	policy.Shards = 2
	moreShards := chutedocument.Change{Team: "b", Override: true, Policy: &policy}
	for _, c := range []struct {
		change  chutedocument.Change
		since   int
		version int
	}{
		{limitedWorkspace(8, 0), 2, 2},
		{limitedWorkspace(8, 1), 2, 2},
		{limitedWorkspace(12, 1), 2, 4},
		{limitedWorkspace(0, 1), 0, 0},
		{limitedWorkspace(12, 1), 6, 6},
		{moreShards, 7, 7},
	} {
		after, err := document.Apply(c.change, topology, now)
		is.NoErr(err)
		document = after
		is.Equal(document.Workspaces[0].Limit.Since, c.since)
		is.Equal(document.Workspaces[0].Limit.Version, c.version)
	}
}
