package soak_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"strings"

	"monsoonchute.example/monsoonchute/platform/standin"
)

// jobKind describes a kind of job that clients submit.
type jobKind struct {
	queue    string
	spec     string
	steps    string
	tasks    []int // number of tasks of each step
	need     standin.Resources
	sameRack bool // of its steps, as the following
	spread   int  // most tasks on one worker; 0 if there is no limit
}

// smallNeed returns what a task of the small scale needs.
func smallNeed(accelerators int) standin.Resources {
	return standin.Resources{CPU: 1000, Accelerators: accelerators}
}

var jobKinds = []jobKind{
	{"u", "150", `[{"count":2,"cpu":1000,"gpu":1,"estimate_ms":150}]`, []int{2}, smallNeed(1), false, 0},
	{"u", "300/3", `[{"count":3,"cpu":1000,"gpu":4,"estimate_ms":300,"gang":true}]`, []int{3}, smallNeed(4), false, 0},
	{"a", "900", `[{"count":6,"cpu":1000,"gpu":2,"estimate_ms":900}]`, []int{6}, smallNeed(2), false, 0},
	{"a", "600/4", `[{"count":4,"cpu":1000,"gpu":8,"estimate_ms":600,"gang":true}]`, []int{4}, smallNeed(8), false, 0},
	{"a", "200", `[{"count":2,"cpu":1000,"gpu":1},{"count":3,"cpu":1000,"gpu":1,"after":[0]}]`, []int{2, 3}, smallNeed(1), false, 0},
}

// deadlyKinds are the kinds of jobs of which each task crashes the worker that starts it.
var deadlyKinds = []jobKind{
	{"a", standin.CrashSpec + "300ms", `[{"count":1,"cpu":1000,"gpu":1,"estimate_ms":300}]`, []int{1}, smallNeed(1), false, 0},
	{"u", standin.CrashSpec + "1200ms", `[{"count":1,"cpu":1000,"gpu":4,"estimate_ms":300}]`, []int{1}, smallNeed(4), false, 0},
	{"a", standin.CrashSpec + "700ms", `[{"count":2,"cpu":1000,"gpu":2,"estimate_ms":300,"gang":true}]`, []int{2}, smallNeed(2), false, 0},
}

// deadly reports whether the tasks of a job of the kind crash their workers.
func (k jobKind) deadly() bool {
	return strings.HasPrefix(k.spec, standin.CrashSpec)
}

// gang reports whether the tasks of each step run only together.
func (k jobKind) gang() bool {
	return strings.Contains(k.spec, "/")
}

// priority returns the priority of the queue; 0 comes first.
func (k jobKind) priority() int {
	switch k.queue {
	case "u":
		return 0
	case "p":
		return 2
	default:
		return 1
	}
}

// mixPart is a part of the jobs of the large scale.
type mixPart struct {
	queue        string
	weight       float64
	meanTasks    float64
	maxTasks     int
	need         standin.Resources
	accelerators []int
	gang         bool
	sameRack     float64 // share of the jobs, as the following
	spread       float64
	twoSteps     float64
	meanMS       float64
	deviation    float64 // of the logarithm of the duration
	maxMS        float64
	misjudged    float64 // deviation of the logarithm of the estimate
}

var mix = []mixPart{
	{"a", 1, 4, 24, standin.Resources{CPU: 26000, MemoryMB: 68000}, []int{1, 2, 4, 8, 8}, true, 0.6, 0, 0, 6800, 0.3, 11000, 0.2},
	{"u", 2.24, 3, 18, standin.Resources{CPU: 7500, MemoryMB: 20000}, []int{1, 2, 4, 8, 8}, true, 0.8, 0, 0, 2500, 0.5, 8000, 0.9},
	{"p", 0.99, 12, 72, standin.Resources{CPU: 5600, MemoryMB: 15000}, []int{1}, false, 0, 0.12, 0.3, 6100, 0.3, 11000, 0.2},
}

// tasksDeviation is the deviation of the logarithm of the number of tasks.
const tasksDeviation = 0.8

// scattered returns a random value of a logarithmic normal distribution with the mean.
func scattered(random *rand.Rand, mean, deviation float64) float64 {
	return mean * math.Exp(deviation*random.NormFloat64()-deviation*deviation/2)
}

// randomMixedKind returns a kind of job of the large scale.
func randomMixedKind(random *rand.Rand) jobKind {
	total := 0.0
	for _, part := range mix {
		total += part.weight
	}
	at := random.Float64() * total
	for _, part := range mix[:len(mix)-1] {
		if at < part.weight {
			return part.randomKind(random)
		}
		at -= part.weight
	}
	return mix[len(mix)-1].randomKind(random)
}

func (m mixPart) randomKind(random *rand.Rand) jobKind {
	count := min(m.maxTasks, max(1, int(math.Round(scattered(random, m.meanTasks, tasksDeviation)))))
	duration := min(m.maxMS, scattered(random, m.meanMS, m.deviation))
	k := jobKind{
		queue: m.queue, spec: fmt.Sprintf("%.0f", duration), tasks: []int{count},
		need:     m.need.WithAccelerators(m.accelerators[random.IntN(len(m.accelerators))]),
		sameRack: random.Float64() < m.sameRack,
	}
	if m.gang {
		k.spec += fmt.Sprintf("/%d", count)
	}
	if random.Float64() < m.spread {
		k.spread = 1 + random.IntN(2)
	}
	step := map[string]any{
		"count": count, "cpu": k.need.CPU, "mem_mb": k.need.MemoryMB, "gpu": k.need.Accelerators, "gang": m.gang,
		"same_rack": k.sameRack, "anti_affinity": k.spread, "estimate_ms": math.Round(scattered(random, duration, m.misjudged)),
	}
	steps := []map[string]any{step}
	if random.Float64() < m.twoSteps {
		second := maps.Clone(step)
		second["after"] = []int{0}
		steps, k.tasks = append(steps, second), append(k.tasks, count)
	}
	text, err := json.Marshal(steps)
	if err != nil {
		panic(err)
	}
	k.steps = string(text)
	return k
}
