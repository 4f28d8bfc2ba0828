package chutemaintenance_test

import (
	"testing"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutemaintenance"
	"monsoonchute.example/monsoonchute/chutetask"
)

func TestNext(t *testing.T) {
	up := func(id string) chutemaintenance.Machine {
		return chutemaintenance.Machine{ID: id, State: chutemaintenance.MachineUp, Worker: chutetask.WorkerID(id)}
	}
	down := chutemaintenance.Machine{ID: "b", State: chutemaintenance.MachineMaintained}
	costs := map[chutetask.WorkerID]float64{"a": 3, "b": 1, "c": 2}
	wave := func(limit int) chutemaintenance.Wave { return chutemaintenance.New(1, []string{"a", "b", "c"}, limit) }
	cases := []struct {
		name     string
		wave     chutemaintenance.Wave
		machines []chutemaintenance.Machine
		kept     chutetask.WorkerID // its work must not end
		want     []string
	}{
		{"cheapest first", wave(1), []chutemaintenance.Machine{up("a"), up("b"), up("c")}, "", []string{"b"}},
		{"up to the limit", wave(2), []chutemaintenance.Machine{up("a"), up("b"), up("c")}, "", []string{"b", "c"}},
		{"one is down", wave(1), []chutemaintenance.Machine{up("a"), down, up("c")}, "", nil},
		{"one is down, two may be", wave(2), []chutemaintenance.Machine{up("a"), down, up("c")}, "", []string{"c"}},
		{"one is being emptied", wave(1).WithDraining("a"), []chutemaintenance.Machine{up("a"), up("b"), up("c")}, "", nil},
		{"one is done and back", wave(1).WithDone("b"), []chutemaintenance.Machine{up("a"), up("b"), up("c")}, "", []string{"c"}},
		{"work that must go on", wave(1), []chutemaintenance.Machine{up("a"), up("b"), up("c")}, "b", []string{"c"}},
		{"all done", wave(1).WithDone("a").WithDone("b").WithDone("c"), []chutemaintenance.Machine{up("a"), up("b"), up("c")}, "", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := c.wave.NextToDrain(c.machines, func(w chutetask.WorkerID) (float64, bool) { return costs[w], w != c.kept || c.kept == "" })
			is.Equal(got, c.want)
		})
	}
}

func TestCompleted(t *testing.T) {
	is := is.New(t)
	w := chutemaintenance.New(1, []string{"a", "b"}, 1)
	is.True(!w.Completed())
	w = w.WithDone("a")
	is.True(!w.Completed())
	w = w.WithListed([]chutemaintenance.Machine{{ID: "a", State: chutemaintenance.MachineUp}}) // b is gone
	is.True(w.Completed())
}
