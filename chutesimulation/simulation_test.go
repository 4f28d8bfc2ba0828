package chutesimulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chuteevent"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// history is one seeded schedule of work and faults over a rig.
type history struct {
	rig      *Simulation
	random   *rand.Rand
	topology chutetopology.Topology
	calls    map[chuteevent.CallID]string // names of submitted jobs
	parts    map[chutejob.ID]int
	partial  Partial
}

func newHistory(seed uint64, hosts int) *history {
	h := &history{
		random: rand.New(rand.NewPCG(seed, 7)), topology: Topology(2, 2, 2, 4),
		calls: make(map[chuteevent.CallID]string), parts: make(map[chutejob.ID]int), partial: make(Partial),
	}
	h.rig = New(hosts, h.topology, seed, WithCheck(h.check))
	h.rig.Run(3 * time.Second)
	h.apply(0, firstChange(1+int(seed%2)))
	h.rig.Run(10 * time.Second)
	return h
}

func firstChange(shards int) chutedocument.Change {
	policy := chutedocument.DefaultPolicy()
	policy.Shards = shards
	policy.Quantum = 5 * time.Second
	policy.Patience = 20 * time.Second
	policy.ZoneGrace = 5 * time.Second
	workspaces := []chutedocument.Workspace{
		{Name: "a", Guarantees: []chutedocument.Guarantee{
			{Count: 1, Shape: chutetopology.Shape{Parts: 2, Accelerators: 4, Within: chutetopology.LevelRack}},
			{Count: 2, Shape: chutetopology.Shape{Parts: 1, Accelerators: 2, Within: chutetopology.LevelWorker}},
		}},
		{Name: "b"},
	}
	return chutedocument.Change{Team: "ops", Policy: &policy, Workspaces: &workspaces}
}

func (h *history) apply(host int, change chutedocument.Change) chuteevent.CallID {
	return h.rig.Call(host, chutecall.ApplyDocument{Change: change})
}

func (h *history) check(r *Simulation) {
	r.CheckBooks()
	for _, j := range r.Jobs() {
		h.parts[j.ID] = j.Spec.Shape.Parts
	}
	h.partial.Check(r, func(id chutejob.ID) int {
		if n, known := h.parts[id]; known {
			return n
		}
		return 0
	})
}

func (h *history) host() int {
	return h.random.IntN(len(h.rig.Hosts))
}

// submit sends a random job to a random host.
func (h *history) submit() {
	shapes := []chutetopology.Shape{
		{Parts: 1, Accelerators: 1, Within: chutetopology.LevelWorker},
		{Parts: 1, Accelerators: 2, Within: chutetopology.LevelWorker},
		{Parts: 2, Accelerators: 2, Within: chutetopology.LevelRack},
		{Parts: 2, Accelerators: 4, Within: chutetopology.LevelRack},
		{Parts: 3, Accelerators: 2, Within: chutetopology.LevelZone},
	}
	verb := "run"
	if h.random.IntN(10) == 0 {
		verb = "fail"
	}
	spec := chutejob.Spec{
		Name: "job", Workspace: string(rune('a' + h.random.IntN(2))), Shape: shapes[h.random.IntN(len(shapes))],
		Urgent: h.random.IntN(8) == 0, Repeatable: h.random.IntN(2) == 0, Checkpoint: h.random.IntN(2) == 0,
		Command: fmt.Sprintf("%s %ds", verb, 1+h.random.IntN(25)),
	}
	name := fmt.Sprintf("job%d", len(h.calls))
	h.calls[h.rig.Call(h.host(), chutecall.SubmitJob{Job: chutejob.ID(name), Spec: spec})] = name
}

func (h *history) cancel() {
	jobs := h.rig.Jobs()
	if len(jobs) > 0 {
		h.rig.Call(h.host(), chutecall.CancelJob{Job: jobs[h.random.IntN(len(jobs))].ID})
	}
}

func (h *history) zone() {
	zones := h.topology.Zones()
	zone := chutedocument.Zone{Name: string(zones[h.random.IntN(len(zones))]), Out: h.random.IntN(2) == 0}
	h.apply(h.host(), chutedocument.Change{Team: "ops", SetZone: &zone})
	other := zone
	other.Out = !zone.Out
	if h.random.IntN(3) == 0 {
		h.apply(h.host(), chutedocument.Change{Team: "ops", SetZone: &other})
	}
}

// fault brings about one fault and ends it after a random time.
func (h *history) fault(kind string) {
	r, n := h.rig, h.host()
	length := time.Duration(1+h.random.IntN(15)) * time.Second
	workers := h.topology.Workers()
	w := r.Workers[workers[h.random.IntN(len(workers))].ID]
	switch kind {
	case "crash":
		r.Crash(n)
		r.Schedule(length, func() { r.Restart(n) })
	case "pause":
		r.Pause(n)
		r.Schedule(length, func() { r.Resume(n) })
	case "stop":
		r.Stop(n)
		r.Schedule(length, func() { r.Restart(n) })
	case "store-down":
		r.Faults.Down = true
		r.Schedule(length, func() { r.Faults.Down = false })
	case "store-slow":
		r.Faults.Delay = 700 * time.Millisecond
		r.Schedule(length, func() { r.Faults.Delay = 0 })
	case "answers-lost":
		r.Faults.LoseAnswers = true
		r.Schedule(length, func() { r.Faults.LoseAnswers = false })
	case "store-cut":
		r.CutStore(n, true)
		r.Schedule(length, func() { r.CutStore(n, false) })
	case "one-way":
		m := h.host()
		r.CutLink(n, m, true)
		r.Schedule(length, func() { r.CutLink(n, m, false) })
	case "worker-cut":
		w.Unreachable = true
		r.Schedule(length, func() { w.Unreachable = false })
	case "worker-crash":
		w.Agent.Crash(r.Now)
	case "worker-faulty":
		w.Agent.SetFaulty(true)
		r.Schedule(length, func() { w.Agent.SetFaulty(false) })
	case "zone":
		h.zone()
	}
}

var faults = []string{
	"crash", "pause", "stop", "store-down", "store-slow", "answers-lost", "store-cut", "one-way", "worker-cut", "worker-crash",
	"worker-faulty", "zone",
}

// heal ends every fault and brings all zones in.
func (h *history) heal() {
	h.rig.Run(16 * time.Second)
	zones := []chutedocument.Zone{}
	for n := range h.rig.Hosts {
		if !h.rig.Alive(n) {
			h.rig.Restart(n)
		}
	}
	h.rig.Run(30 * time.Second)
	h.apply(0, chutedocument.Change{Team: "ops", Override: true, Zones: &zones})
	h.rig.Run(5 * time.Minute)
}

// verify checks the end of the history against everything that callers were told.
func (h *history) verify() {
	r := h.rig
	known := make(map[chutejob.ID]chutejob.Job)
	for _, j := range r.Jobs() {
		known[j.ID] = j
	}
	r.CheckEnds(r.Jobs())
	for id := range h.calls {
		reply, answered := r.Replies[id]
		job, isJob := reply.Reply.(chutecall.JobReply)
		if !answered || !isJob {
			continue
		}
		j, exists := known[job.Job.ID]
		switch {
		case !exists:
			r.Fail("accepted job %s is lost", job.Job.ID)
		case j.Phase != chutejob.PhaseEnded:
			r.Fail("accepted job %s (%s) is %s since %s, reason %s", j.ID, j.Spec.Shape, j.Phase, j.PhaseSince.Sub(StartTime()), j.StopReason)
		}
	}
	for id, name := range h.calls {
		h.verifyRefusal(id, name, known)
	}
}

// verifyRefusal checks that a submission which was told not to have run is nowhere.
func (h *history) verifyRefusal(id chuteevent.CallID, name string, known map[chutejob.ID]chutejob.Job) {
	reply, answered := h.rig.Replies[id].Reply.(chutecall.ResultReply)
	if !answered || reply.Result.Code.Class() != chuteresult.ClassNotRun {
		return
	}
	for _, j := range known {
		if strings.HasSuffix(string(j.ID), "-"+name) {
			h.rig.Fail("job %s was refused with %v and exists", j.ID, reply.Result)
		}
	}
}

func TestHistories(t *testing.T) {
	for _, seed := range Seeds(1, 40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := newHistory(seed, 3)
			first := faults[seed%uint64(len(faults))]
			second := faults[seed/uint64(len(faults))%uint64(len(faults))]
			for range 40 {
				switch h.random.IntN(8) {
				case 0, 1, 2, 3:
					h.submit()
				case 4:
					h.cancel()
				case 5:
					h.fault(first)
				case 6:
					h.fault(second)
				}
				h.rig.Run(time.Duration(1+h.random.IntN(3000)) * time.Millisecond)
			}
			h.heal()
			h.verify()
			if h.rig.Faulty != "" {
				for _, line := range h.rig.Lines {
					t.Log(line)
				}
				t.Log(h.rig.Counts)
				for _, j := range h.rig.Jobs() {
					t.Logf("%s %s %+v %s attempt %d since %s %v", j.ID, j.Spec.Command, j.Spec.Shape, j.Phase, j.Attempt, j.PhaseSince.Sub(StartTime()), j.Result)
				}
				t.Fatalf("faults %s and %s: %s", first, second, h.rig.Faulty)
			}
		})
	}
}

func TestQuietHistory(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, 2)
	for range 20 {
		h.submit()
	}
	h.rig.Run(3 * time.Minute)
	h.verify()
	is.Equal(h.rig.Faulty, "")
	done := 0
	for _, j := range h.rig.Jobs() {
		if j.Result.Code == chuteresult.Done || j.Result.Code == chuteresult.RanFailed {
			done++
		}
	}
	is.Equal(done, 20)
}
