package chutedocument

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chuteguarantee"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// ShardOf returns the shard, from zero, to which a rack belongs among the number of shards.
func ShardOf(rack chutetopology.RackID, shards int) int {
	if shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(string(rack)) % uint64(shards))
}

// ShardTopology returns the workers of one shard.
func ShardTopology(topology chutetopology.Topology, shard, shards int) chutetopology.Topology {
	if shards <= 1 {
		return topology
	}
	var kept []chutetopology.Worker
	for _, w := range topology.Workers() {
		if ShardOf(w.Rack, shards) == shard {
			kept = append(kept, w)
		}
	}
	return chutetopology.New(kept)
}

// Effect tells what accepting a document means for its guarantees.
type Effect struct {
	UnpackedByZone map[chutetopology.ZoneID][]string // guaranteed shapes that cannot be packed with the zone out
}

// withAllotments gives every guaranteed cell to a shard that can pack it beside its others. The zones that are out
// count as present: a document stays valid while a zone leaves. An unchanged set of guarantees keeps its allotments.
func (d Document) withAllotments(previous Document, topology chutetopology.Topology) (Document, error) {
	cells := d.AllCells()
	if slices.EqualFunc(cells, previous.AllCells(), chuteguarantee.Cell.SameGuarantee) &&
		d.Policy.Shards == previous.Policy.Shards && d.Policy.SurviveZoneOut == previous.Policy.SurviveZoneOut {
		return d, nil
	}
	if len(cells) == 0 {
		d.Allotments = nil
		return d, nil
	}
	allotted, err := allot(cells, topology, d.Policy.Shards)
	if err != nil {
		return previous, err
	}
	d.Allotments = allotted
	if !d.Policy.SurviveZoneOut {
		return d, nil
	}
	for zone, lost := range d.ZoneOutEffect(topology).UnpackedByZone {
		return previous, chuteresult.New(chuteresult.GuaranteesNotMet, "%s does not fit with zone %s out", lost[0], zone)
	}
	return d, nil
}

// maxRepacks bounds the shards that are packed anew for cells that find no room beside the others.
const maxRepacks = 16

// allotment is the placing of cells into shards, under way.
type allotment struct {
	whole   []chuteaccelerator.Space // of each shard
	left    []chuteaccelerator.Space // what the shard's cells leave
	members [][]chuteguarantee.Cell  // of each shard
	repacks int
}

// allot places the cells shard by shard, the largest first, each in the shard with the most accelerators left.
func allot(cells []chuteguarantee.Cell, topology chutetopology.Topology, shards int) ([]Allotment, error) {
	a := &allotment{members: make([][]chuteguarantee.Cell, shards)}
	for s := range shards {
		a.whole = append(a.whole, chuteaccelerator.New(ShardTopology(topology, s, shards)))
	}
	a.left = slices.Clone(a.whole)
	order := slices.Clone(cells)
	slices.SortStableFunc(order, func(a, b chuteguarantee.Cell) int { return -cmp.Compare(a.Shape.Total(), b.Shape.Total()) })
	for _, c := range order {
		if !a.add(c) {
			return nil, chuteresult.New(chuteresult.GuaranteesNotMet, "workspace %s: shape %s cannot be packed beside the others",
				c.Workspace, c.Shape)
		}
	}
	var allotments []Allotment
	for s, group := range a.members {
		for _, c := range group {
			allotments = append(allotments, Allotment{Shard: s, Workspace: c.Workspace, Number: c.Number, Shape: c.Shape})
		}
	}
	return allotments, nil
}

// add gives the cell to a shard that has room for it, packing the shard's other cells anew if need be, and reports
// whether one was found.
func (a *allotment) add(c chuteguarantee.Cell) bool {
	shards := a.roomiest()
	for _, s := range shards {
		if blocks, ok := a.left[s].Place(c.Shape); ok {
			a.left[s] = a.left[s].Without(blocks)
			a.members[s] = append(a.members[s], c)
			return true
		}
	}
	for _, s := range shards {
		if a.left[s].Total() < c.Shape.Total() || a.repacks == maxRepacks {
			return false
		}
		a.repacks++
		packed, lost := chuteguarantee.Pack(a.whole[s], append(slices.Clone(a.members[s]), c))
		if len(lost) > 0 {
			continue
		}
		a.members[s], a.left[s] = packed, a.whole[s]
		for _, p := range packed {
			a.left[s] = a.left[s].Without(p.Blocks)
		}
		return true
	}
	return false
}

// roomiest returns the shards, those with the most accelerators left first.
func (a *allotment) roomiest() []int {
	shards := make([]int, len(a.left))
	for s := range shards {
		shards[s] = s
	}
	slices.SortStableFunc(shards, func(x, y int) int { return -cmp.Compare(a.left[x].Total(), a.left[y].Total()) })
	return shards
}

// Effects returns what the document's guarantees mean on the topology with each zone out in turn.
func (d Document) ZoneOutEffect(topology chutetopology.Topology) Effect {
	effect := Effect{UnpackedByZone: make(map[chutetopology.ZoneID][]string)}
	for _, zone := range topology.Zones() {
		rest := topology.WithoutZone(zone)
		for s := range d.Policy.Shards {
			_, lost := chuteguarantee.Pack(chuteaccelerator.New(ShardTopology(rest, s, d.Policy.Shards)), d.Cells(s))
			for _, c := range lost {
				effect.UnpackedByZone[zone] = append(effect.UnpackedByZone[zone], "workspace "+c.Workspace+": shape "+c.Shape.String())
			}
		}
	}
	return effect
}
