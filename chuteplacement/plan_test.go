package chuteplacement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutecapacity"
	"monsoonchute.example/monsoonchute/chutegraph"
	"monsoonchute.example/monsoonchute/chuteplacement"
	"monsoonchute.example/monsoonchute/chutetask"
)

// worker returns a worker of eight accelerators of which some are free; four workers share a rack.
func worker(number, free int) chuteplacement.Worker {
	capacity := chutecapacity.Resources{Processor: 128000, Memory: 512000, Accelerators: 8}
	return chuteplacement.Worker{
		ID: chutetask.WorkerID(fmt.Sprintf("w%d", number)), Service: "s", Rack: fmt.Sprintf("r%d", number/4),
		Labels: []string{"a", fmt.Sprintf("r%d", number/4)}, Capacity: capacity,
		Free: chutecapacity.Resources{Processor: 16000 * free, Memory: 64000 * free, Accelerators: free},
	}
}

func workers(free ...int) []chuteplacement.Worker {
	list := make([]chuteplacement.Worker, len(free))
	for i, f := range free {
		list[i] = worker(i, f)
	}
	return list
}

func demand(name string, priority, count, accelerators int, change func(*chutegraph.Step)) chuteplacement.Demand {
	step := chutegraph.Step{Count: count, Request: chutecapacity.Resources{Processor: 8000, Memory: 8000, Accelerators: accelerators}}
	if change != nil {
		change(&step)
	}
	d := chuteplacement.Demand{
		ID: chutegraph.StepID{Job: chutegraph.JobID(name)}, Step: step, Service: "s", Priority: priority,
		MayPreempt: priority == 0, TasksByWorker: make(map[chutetask.WorkerID]int),
	}
	for i := range count {
		d.Indexes = append(d.Indexes, i)
	}
	return d
}

func gang(s *chutegraph.Step) { s.Gang = true }

func tightGang(s *chutegraph.Step) { s.Gang, s.SameRack = true, true }

func holding(d chuteplacement.Demand) chuteplacement.Demand {
	d.NeedsReservation = true
	return d
}

// group is running work of one task on a worker.
func group(name string, priority int, cost float64, accelerators int, on ...int) chuteplacement.RunGroup {
	g := chuteplacement.RunGroup{Priority: priority, Cost: cost}
	for i, w := range on {
		g.Members = append(g.Members, chuteplacement.Member{
			Run:      chutegraph.RunID{Task: chutegraph.TaskID{StepID: chutegraph.StepID{Job: chutegraph.JobID(name)}, Index: i}, Number: 1},
			Worker:   chutetask.WorkerID(fmt.Sprintf("w%d", w)),
			Reserved: chutecapacity.Resources{Processor: 16000 * accelerators, Memory: 64000 * accelerators, Accelerators: accelerators},
		})
	}
	return g
}

// told returns the decisions as JOB>WORKER for starts and JOB!WORKER for evictions, sorted.
func told(decisions []chuteplacement.Decision) []string {
	var lines []string
	for _, decision := range decisions {
		switch d := decision.(type) {
		case chuteplacement.Start:
			lines = append(lines, fmt.Sprintf("%s>%s", d.Task.Job, d.Worker))
		case chuteplacement.Evict:
			lines = append(lines, fmt.Sprintf("%s!%s", d.Run.Task.Job, d.Worker))
		}
	}
	slices.Sort(lines)
	return lines
}

func TestPlan(t *testing.T) {
	cases := []struct {
		name    string
		workers []chuteplacement.Worker
		groups  []chuteplacement.RunGroup
		demands []chuteplacement.Demand
		want    []string
	}{
		{
			"a small task goes where little is left", workers(8, 2, 5), nil,
			[]chuteplacement.Demand{demand("a", 1, 1, 1, nil)},
			[]string{"a>w1"},
		},
		{
			"a whole worker goes to what needs it", workers(8, 4, 4), nil,
			[]chuteplacement.Demand{demand("a", 1, 2, 4, nil), demand("b", 2, 1, 8, nil)},
			[]string{"a>w1", "a>w2", "b>w0"},
		},
		{
			"as many tasks as fit", workers(2, 1), nil,
			[]chuteplacement.Demand{demand("a", 1, 5, 1, nil)},
			[]string{"a>w0", "a>w0", "a>w1"},
		},
		{
			"a gang whole", workers(8, 8), nil,
			[]chuteplacement.Demand{demand("a", 1, 2, 8, gang)},
			[]string{"a>w0", "a>w1"},
		},
		{
			"or not at all", workers(8, 4), nil,
			[]chuteplacement.Demand{demand("a", 1, 2, 8, gang)},
			nil,
		},
		{
			"what is smaller passes a gang that waits", workers(8, 4), nil,
			[]chuteplacement.Demand{demand("a", 1, 2, 8, gang), demand("b", 2, 1, 4, nil)},
			[]string{"b>w1"},
		},
		{
			"room is kept for a gang that has waited long", workers(8, 4, 4, 0), nil,
			[]chuteplacement.Demand{holding(demand("a", 1, 2, 8, gang)), demand("b", 2, 3, 4, nil)},
			[]string{"b>w2"},
		},
		{
			"and it starts once it fits", workers(8, 8, 4, 0), nil,
			[]chuteplacement.Demand{holding(demand("a", 1, 2, 8, gang)), demand("b", 2, 3, 4, nil)},
			[]string{"a>w0", "a>w1", "b>w2"},
		},
		{
			"room is kept for one gang at a time", workers(8, 4, 4, 4), nil,
			[]chuteplacement.Demand{holding(demand("a", 1, 2, 8, gang)), holding(demand("b", 1, 4, 8, gang)), demand("c", 2, 4, 4, nil)},
			[]string{"c>w2", "c>w3"},
		},
		{
			"room is kept in the rack that is nearest to it", workers(0, 4, 0, 0, 8, 4, 4, 0), nil,
			[]chuteplacement.Demand{holding(demand("a", 1, 2, 8, tightGang)), demand("b", 2, 5, 4, nil)},
			[]string{"b>w1", "b>w6"},
		},
		{
			"a gang in one rack", workers(8, 0, 0, 0, 8, 8, 0, 0), nil,
			[]chuteplacement.Demand{demand("a", 1, 2, 8, tightGang)},
			[]string{"a>w4", "a>w5"},
		},
		{
			"it waits for a rack that could hold it", workers(8, 0, 0, 0, 8, 0, 0, 0), nil,
			[]chuteplacement.Demand{demand("a", 1, 2, 8, tightGang)},
			nil,
		},
		{
			"it is spread where no rack could", workers(8, 8, 8, 8, 8), nil,
			[]chuteplacement.Demand{demand("a", 1, 5, 8, tightGang)},
			[]string{"a>w0", "a>w1", "a>w2", "a>w3", "a>w4"},
		},
		{
			"a smaller one that waits does not hold up one that is spread", workers(8, 0, 0, 0, 8, 8, 8, 0, 8, 8, 0, 0), nil,
			[]chuteplacement.Demand{demand("a", 1, 4, 8, tightGang), demand("b", 1, 5, 8, tightGang)},
			[]string{"b>w0", "b>w4", "b>w5", "b>w6", "b>w8"},
		},
		{
			"data in a rack", workers(8, 8, 8, 8, 1), nil,
			[]chuteplacement.Demand{demand("a", 1, 1, 1, func(s *chutegraph.Step) { s.DataRack = "r0" })},
			[]string{"a>w0"},
		},
		{
			"a label", workers(8, 8, 8, 8, 1), nil,
			[]chuteplacement.Demand{demand("a", 1, 1, 1, func(s *chutegraph.Step) { s.Label = "r1" })},
			[]string{"a>w4"},
		},
		{
			"a label that no worker has", workers(8), nil,
			[]chuteplacement.Demand{demand("a", 1, 1, 1, func(s *chutegraph.Step) { s.Label = "x" })},
			nil,
		},
		{
			"at most two of a step on a worker", workers(8, 8), nil,
			[]chuteplacement.Demand{demand("a", 1, 5, 1, func(s *chutegraph.Step) { s.AntiAffinity = 2 })},
			[]string{"a>w0", "a>w0", "a>w1", "a>w1"},
		},
		{"another service", workers(8), nil, []chuteplacement.Demand{func() chuteplacement.Demand {
			d := demand("a", 1, 1, 1, nil)
			d.Service = "other"
			return d
		}()}, nil},
		{"approved workers only", workers(8, 8), nil, []chuteplacement.Demand{func() chuteplacement.Demand {
			d := demand("a", 1, 1, 1, nil)
			d.Tickets = map[chutetask.WorkerID]string{"w1": "ticket"}
			return d
		}()}, []string{"a>w1"}},
		{
			"urgent work stops what wastes least", workers(0, 0),
			[]chuteplacement.RunGroup{group("x", 1, 50, 8, 0), group("y", 2, 5, 8, 1)},
			[]chuteplacement.Demand{demand("u", 0, 1, 8, nil)},
			[]string{"y!w1"},
		},
		{
			"and a gang as a whole", workers(0, 0),
			[]chuteplacement.RunGroup{group("x", 1, 5, 8, 0, 1)},
			[]chuteplacement.Demand{demand("u", 0, 1, 8, nil)},
			[]string{"x!w0", "x!w1"},
		},
		{
			"only as much as it needs", workers(0),
			[]chuteplacement.RunGroup{group("x", 1, 5, 4, 0), group("y", 1, 6, 4, 0)},
			[]chuteplacement.Demand{demand("u", 0, 1, 4, nil)},
			[]string{"x!w0"},
		},
		{
			"never what is as urgent", workers(0),
			[]chuteplacement.RunGroup{group("x", 0, 5, 8, 0)},
			[]chuteplacement.Demand{demand("u", 0, 1, 8, nil)},
			nil,
		},
		{
			"other work does not stop any", workers(0),
			[]chuteplacement.RunGroup{group("x", 2, 5, 8, 0)},
			[]chuteplacement.Demand{demand("n", 1, 1, 8, nil)},
			nil,
		},
		{
			"free room first", workers(0, 8),
			[]chuteplacement.RunGroup{group("x", 1, 0, 8, 0)},
			[]chuteplacement.Demand{demand("u", 0, 1, 8, nil)},
			[]string{"u>w1"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(told(chuteplacement.Plan(chuteplacement.View{Workers: c.workers, RunGroups: c.groups, Demands: c.demands})), c.want)
		})
	}
}

func TestRoomThatUrgentWorkWaitsForIsNotGivenAway(t *testing.T) {
	is := is.New(t)
	w := worker(0, 4)
	w.Stopping = chutecapacity.Resources{Processor: 64000, Memory: 256000, Accelerators: 4} // is being stopped
	view := chuteplacement.View{Workers: []chuteplacement.Worker{w}, Demands: []chuteplacement.Demand{
		demand("u", 0, 1, 8, nil), demand("n", 1, 1, 2, nil),
	}}
	is.Equal(told(chuteplacement.Plan(view)), nil)
}

func TestUrgentWorkWaitsForWhatEndsSoonInsteadOfStoppingOther(t *testing.T) {
	is := is.New(t)
	ending := worker(1, 0)
	ending.Ending = ending.Capacity
	view := chuteplacement.View{
		Workers: []chuteplacement.Worker{worker(0, 0), ending}, RunGroups: []chuteplacement.RunGroup{group("x", 2, 1, 8, 0)},
		Demands: []chuteplacement.Demand{demand("u", 0, 1, 8, nil)},
	}
	is.Equal(told(chuteplacement.Plan(view)), nil)
	view.Demands = append(view.Demands, demand("v", 0, 1, 8, nil)) // for the second, work must stop
	is.Equal(told(chuteplacement.Plan(view)), []string{"x!w0"})
}

// TestPlanKeepsItsPromises plans for random views and checks what must hold for every plan: no worker is given more than
// it has, gangs start whole, and nothing that must not yield does.
func TestPlanKeepsItsPromises(t *testing.T) {
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 7))
		view := randomView(random)
		free := make(map[chutetask.WorkerID]chutecapacity.Resources)
		for _, w := range view.Workers {
			free[w.ID] = w.Free
		}
		steps := make(map[chutegraph.StepID]chuteplacement.Demand)
		for _, d := range view.Demands {
			steps[d.ID] = d
		}
		started := make(map[chutegraph.StepID]int)
		for _, decision := range chuteplacement.Plan(view) {
			switch d := decision.(type) {
			case chuteplacement.Start:
				free[d.Worker] = free[d.Worker].Minus(steps[d.Task.StepID].Step.Reserved())
				started[d.Task.StepID]++
			case chuteplacement.Evict:
				if steps[d.For].Priority != 0 {
					t.Fatalf("seed %d: %s yields to work that is not urgent", seed, d.Run)
				}
			}
		}
		for id, left := range free {
			if !(chutecapacity.Resources{}).Fits(left) {
				t.Fatalf("seed %d: %s is given more than it has: %v left", seed, id, left)
			}
		}
		for id, n := range started {
			if steps[id].Step.Gang && n != len(steps[id].Indexes) {
				t.Fatalf("seed %d: %d of %d members of %s start", seed, n, len(steps[id].Indexes), id)
			}
		}
	}
}

func randomView(random *rand.Rand) chuteplacement.View {
	var view chuteplacement.View
	for i := range 4 + random.IntN(12) {
		free := random.IntN(9)
		view.Workers = append(view.Workers, worker(i, free))
		if free < 8 {
			view.RunGroups = append(view.RunGroups, group(fmt.Sprintf("g%d", i), random.IntN(3), 100*random.Float64(), 8-free, i))
		}
	}
	for i := range 1 + random.IntN(10) {
		view.Demands = append(view.Demands, demand(fmt.Sprintf("d%02d", i), random.IntN(3), 1+random.IntN(6), []int{1, 2, 4, 8}[random.IntN(4)],
			func(s *chutegraph.Step) {
				s.Gang = random.IntN(2) == 0
				s.SameRack = random.IntN(3) == 0
				s.AntiAffinity = random.IntN(3)
			}))
	}
	slices.SortStableFunc(view.Demands, func(a, b chuteplacement.Demand) int { return a.Priority - b.Priority })
	return view
}
