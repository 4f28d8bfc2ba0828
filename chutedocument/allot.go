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

// ShardOf returns the index, from zero, of the shard to which the rack belongs if there are that many shards.
func ShardOf(rack chutetopology.RackID, shards int) int {
	if shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(string(rack)) % uint64(shards))
}

// ShardTopology returns the topology of the workers in one of the shards.
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

// ZoneOutEffect describes what taking a zone out of service would mean for the guarantees of a document.
type ZoneOutEffect struct {
	UnpackedByZone map[chutetopology.ZoneID][]string // descriptions of the guaranteed shapes that do not fit without the zone
}

// withAllotments returns the document with every guaranteed cell allotted to a shard that can pack it beside the shard's
// other cells, and previous with an error if that is impossible. Zones that are out of service count as present, so that
// a document stays valid when a zone is taken out. An unchanged set of guarantees keeps its allotments.
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
	unpackedByZone := d.ZoneOutEffect(topology).UnpackedByZone
	for _, zone := range topology.Zones() {
		if unpacked := unpackedByZone[zone]; len(unpacked) > 0 {
			return previous, chuteresult.New(chuteresult.GuaranteesNotMet, "%s does not fit with zone %s out", unpacked[0], zone)
		}
	}
	return d, nil
}

// maxRepacks limits how often one allocation packs a shard from scratch because a cell finds no place beside the others.
const maxRepacks = 16

// allocation is the state of distributing cells over the shards.
type allocation struct {
	all     []chuteaccelerator.Space // all accelerators of each shard
	free    []chuteaccelerator.Space // accelerators of each shard that its cells leave free
	cells   [][]chuteguarantee.Cell  // cells of each shard
	repacks int                      // shards packed from scratch so far
}

// allot distributes the cells over the shards, the largest first, each to the shard with the most accelerators left in
// which it fits.
func allot(cells []chuteguarantee.Cell, topology chutetopology.Topology, shards int) ([]Allotment, error) {
	a := &allocation{cells: make([][]chuteguarantee.Cell, shards)}
	for s := range shards {
		a.all = append(a.all, chuteaccelerator.New(ShardTopology(topology, s, shards)))
	}
	a.free = slices.Clone(a.all)
	order := slices.Clone(cells)
	slices.SortStableFunc(order, func(a, b chuteguarantee.Cell) int { return -cmp.Compare(a.Shape.Total(), b.Shape.Total()) })
	for _, c := range order {
		if !a.add(c) {
			return nil, chuteresult.New(chuteresult.GuaranteesNotMet, "workspace %s: shape %s cannot be packed beside the others",
				c.Workspace, c.Shape)
		}
	}
	var allotments []Allotment
	for s, group := range a.cells {
		for _, c := range group {
			allotments = append(allotments, Allotment{Shard: s, Workspace: c.Workspace, Number: c.Number, Shape: c.Shape})
		}
	}
	return allotments, nil
}

// add gives the cell to a shard in which it fits, after packing all cells of the shard from scratch if necessary, and
// reports whether there is such a shard.
func (a *allocation) add(c chuteguarantee.Cell) bool {
	shards := a.shardsByFree()
	for _, s := range shards {
		if blocks, ok := a.free[s].Place(c.Shape); ok {
			a.free[s] = a.free[s].Without(blocks)
			a.cells[s] = append(a.cells[s], c)
			return true
		}
	}
	for _, s := range shards {
		if a.free[s].Total() < c.Shape.Total() || a.repacks == maxRepacks {
			return false
		}
		a.repacks++
		packed, unpacked := chuteguarantee.Pack(a.all[s], append(slices.Clone(a.cells[s]), c))
		if len(unpacked) > 0 {
			continue
		}
		a.cells[s], a.free[s] = packed, a.all[s]
		for _, p := range packed {
			a.free[s] = a.free[s].Without(p.Blocks)
		}
		return true
	}
	return false
}

// shardsByFree returns the indexes of the shards, those with the most accelerators left first.
func (a *allocation) shardsByFree() []int {
	shards := make([]int, len(a.free))
	for s := range shards {
		shards[s] = s
	}
	slices.SortStableFunc(shards, func(x, y int) int { return -cmp.Compare(a.free[x].Total(), a.free[y].Total()) })
	return shards
}

// ZoneOutEffect packs the guarantees of the document without each zone of the topology in turn and returns the result.
func (d Document) ZoneOutEffect(topology chutetopology.Topology) ZoneOutEffect {
	effect := ZoneOutEffect{UnpackedByZone: make(map[chutetopology.ZoneID][]string)}
	for _, zone := range topology.Zones() {
		remaining := topology.WithoutZone(zone)
		for s := range d.Policy.Shards {
			_, unpacked := chuteguarantee.Pack(chuteaccelerator.New(ShardTopology(remaining, s, d.Policy.Shards)), d.Cells(s))
			for _, c := range unpacked {
				effect.UnpackedByZone[zone] = append(effect.UnpackedByZone[zone], "workspace "+c.Workspace+": shape "+c.Shape.String())
			}
		}
	}
	return effect
}
