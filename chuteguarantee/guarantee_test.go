package chuteguarantee_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonchute.example/monsoonchute/chuteaccelerator"
	"monsoonchute.example/monsoonchute/chuteguarantee"
	"monsoonchute.example/monsoonchute/chutesimulation"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// drawTopology draws a topology that is small enough for an exhaustive search.
func drawTopology(t *rapid.T) chutetopology.Topology {
	var workers []chutetopology.Worker
	zones := rapid.IntRange(1, 2).Draw(t, "zones")
	accelerators := rapid.SampledFrom([]int{2, 4}).Draw(t, "accelerators")
	for z := range zones {
		for r := range rapid.IntRange(1, 2).Draw(t, "racks") {
			for w := range rapid.IntRange(1, 2).Draw(t, "workers") {
				rack := fmt.Sprintf("%d-%d", z, r)
				workers = append(workers, chutetopology.Worker{
					ID: chutetopology.WorkerID(fmt.Sprintf("%s-%d", rack, w)), Zone: chutetopology.ZoneID(fmt.Sprint(z)),
					Rack: chutetopology.RackID(rack), Accelerators: accelerators,
				})
			}
		}
	}
	return chutetopology.New(workers)
}

// drawSpace draws the accelerators of the topology that are free.
func drawSpace(t *rapid.T, topology chutetopology.Topology) chuteaccelerator.Space {
	space := chuteaccelerator.New(topology)
	for _, w := range topology.Workers() {
		busy := chutetopology.Mask(rapid.IntRange(0, 1<<w.Accelerators-1).Draw(t, "busy"))
		if rapid.Bool().Draw(t, "idle") {
			busy = 0
		}
		space = space.WithMask(w.ID, space.Mask(w.ID)&^busy)
	}
	return space
}

// drawCells draws guaranteed cells without blocks.
func drawCells(t *rapid.T) []chuteguarantee.Cell {
	var cells []chuteguarantee.Cell
	for i := range rapid.IntRange(1, 4).Draw(t, "cells") {
		level := rapid.SampledFrom([]chutetopology.Level{
			chutetopology.LevelWorker, chutetopology.LevelRack, chutetopology.LevelZone,
		}).Draw(t, "level")
		parts := 1
		if level != chutetopology.LevelWorker {
			parts = rapid.IntRange(1, 3).Draw(t, "parts")
		}
		cells = append(cells, chuteguarantee.Cell{Workspace: "w", Number: i, Shape: chutetopology.Shape{
			Parts: parts, Accelerators: rapid.SampledFrom([]int{1, 2, 3, 4}).Draw(t, "size"), Within: level,
		}})
	}
	return cells
}

// exhaustive is a reference packing that tries every placement, up to a budget of steps.
type exhaustive struct {
	topology chutetopology.Topology
	budget   int
}

// packs reports whether all cells fit in the space.
func (e *exhaustive) packs(space chuteaccelerator.Space, cells []chuteguarantee.Cell) bool {
	if len(cells) == 0 {
		return true
	}
	return e.place(space, cells, cells[0].Shape.Parts, nil)
}

// place reports whether the remaining parts of the first cell, all with the first part's location, and the other cells
// fit in the space.
func (e *exhaustive) place(space chuteaccelerator.Space, cells []chuteguarantee.Cell, parts int, first *chutetopology.Worker) bool {
	if e.budget--; e.budget < 0 {
		return false
	}
	if parts == 0 {
		return e.packs(space, cells[1:])
	}
	shape := cells[0].Shape
	for _, w := range e.topology.Workers() {
		if first != nil && !sameLocation(*first, w, shape.Within) {
			continue
		}
		for starts := space.Mask(w.ID).Starts(shape.BlockSize()); starts != 0; starts &= starts - 1 {
			mask := (starts & -starts) * chutetopology.FullMask(shape.BlockSize())
			rest := space.WithMask(w.ID, space.Mask(w.ID)&^mask)
			if e.place(rest, cells, parts-1, &w) {
				return true
			}
		}
	}
	return false
}

// sameLocation reports whether a and b are the same worker, or in the same rack or zone, as the level demands.
func sameLocation(a, b chutetopology.Worker, level chutetopology.Level) bool {
	switch level {
	case chutetopology.LevelWorker:
		return a.ID == b.ID
	case chutetopology.LevelRack:
		return a.Rack == b.Rack
	case chutetopology.LevelZone:
		return a.Zone == b.Zone
	}
	return false
}

func TestPackAgreesWithExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		topology := drawTopology(t)
		space := drawSpace(t, topology)
		cells := drawCells(t)
		packed, unpacked := chuteguarantee.Pack(space, cells)
		for _, c := range packed {
			checkCell(t, topology, space, c)
			space = space.Without(c.Blocks)
		}
		if len(packed)+len(unpacked) != len(cells) {
			t.Fatalf("Pack got %d cells and returned %d packed and %d unpacked", len(cells), len(packed), len(unpacked))
		}
		reference := &exhaustive{topology: topology, budget: 300_000}
		complete := restoreCells(space, packed)
		possible := reference.packs(complete, cells)
		if reference.budget >= 0 && possible != (len(unpacked) == 0) {
			t.Fatalf("exhaustive search finds a packing: %t; Pack left unpacked: %v", possible, unpacked)
		}
	})
}

// restoreCells returns the space with the blocks of the packed cells free again.
func restoreCells(space chuteaccelerator.Space, packed []chuteguarantee.Cell) chuteaccelerator.Space {
	for _, c := range packed {
		space = space.With(c.Blocks)
	}
	return space
}

// checkCell fails the test unless the cell's blocks are in the space, adjacent and in one worker, rack or zone, as its
// level demands.
func checkCell(t *rapid.T, topology chutetopology.Topology, space chuteaccelerator.Space, c chuteguarantee.Cell) {
	if len(c.Blocks) != c.Shape.Parts || !space.Has(c.Blocks) {
		t.Fatalf("cell %v has the wrong number of blocks or is on accelerators that are not free", c)
	}
	byID := make(map[chutetopology.WorkerID]chutetopology.Worker)
	for _, w := range topology.Workers() {
		byID[w.ID] = w
	}
	for _, b := range c.Blocks {
		if b.Mask.Count() != c.Shape.BlockSize() || b.Mask.Starts(c.Shape.BlockSize()) == 0 {
			t.Fatalf("block %v of shape %v is not an aligned block of adjacent accelerators", b, c.Shape)
		}
		if !sameLocation(byID[c.Blocks[0].Worker], byID[b.Worker], c.Shape.Within) {
			t.Fatalf("cell %v is not within one %s", c, c.Shape.Within)
		}
	}
}

// TestShapeContains checks which shapes fit in every placement of another shape.
func TestShapeContains(t *testing.T) {
	rack, zone, worker := chutetopology.LevelRack, chutetopology.LevelZone, chutetopology.LevelWorker
	cases := []struct {
		outer, inner chutetopology.Shape
		contains     bool
	}{
		{chutetopology.Shape{Parts: 2, Accelerators: 8, Within: rack}, chutetopology.Shape{Parts: 4, Accelerators: 4, Within: rack}, true},
		{chutetopology.Shape{Parts: 2, Accelerators: 8, Within: rack}, chutetopology.Shape{Parts: 1, Accelerators: 16, Within: worker}, false},
		{chutetopology.Shape{Parts: 2, Accelerators: 8, Within: zone}, chutetopology.Shape{Parts: 2, Accelerators: 8, Within: rack}, false},
		{chutetopology.Shape{Parts: 1, Accelerators: 3, Within: worker}, chutetopology.Shape{Parts: 1, Accelerators: 4, Within: worker}, true},
		{chutetopology.Shape{Parts: 3, Accelerators: 2, Within: rack}, chutetopology.Shape{Parts: 1, Accelerators: 4, Within: rack}, false},
	}
	for _, c := range cases {
		t.Run(c.outer.String()+" for "+c.inner.String(), func(t *testing.T) {
			is.New(t).Equal(c.outer.Contains(c.inner), c.contains)
		})
	}
}

// TestMain fixes the seed of the drawn cases, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", fmt.Sprint(chutesimulation.Seeds(1, 1)[0])); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
