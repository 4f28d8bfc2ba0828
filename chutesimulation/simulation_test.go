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

// history is a random sequence of jobs and faults in a simulation, determined by a seed.
type history struct {
	simulation  *Simulation
	random      *rand.Rand
	topology    chutetopology.Topology
	calls       map[chuteevent.CallID]string // names of the submitted jobs
	parts       map[chutejob.ID]int
	partialRuns PartialRuns
}

func newHistory(seed uint64, hosts int) *history {
	h := &history{
		random: rand.New(rand.NewPCG(seed, 7)), topology: Topology(2, 2, 2, 4),
		calls: make(map[chuteevent.CallID]string), parts: make(map[chutejob.ID]int), partialRuns: make(PartialRuns),
	}
	h.simulation = New(hosts, h.topology, seed, WithCheck(h.checkInvariants))
	h.simulation.Run(3 * time.Second)
	h.apply(0, initialChange(1+int(seed%2)))
	h.simulation.Run(10 * time.Second)
	return h
}

func initialChange(shards int) chutedocument.Change {
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
	return h.simulation.Call(host, chutecall.ApplyDocument{Change: change})
}

func (h *history) checkInvariants(s *Simulation) {
	s.CheckInventories()
	for _, j := range s.Jobs() {
		h.parts[j.ID] = j.Spec.Shape.Parts
	}
	h.partialRuns.Check(s, func(id chutejob.ID) int {
		if n, known := h.parts[id]; known {
			return n
		}
		return 0
	})
}

func (h *history) randomHost() int {
	return h.random.IntN(len(h.simulation.Hosts))
}

// submitRandomJob submits a random job through a random host.
func (h *history) submitRandomJob() {
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
	h.calls[h.simulation.Call(h.randomHost(), chutecall.SubmitJob{Job: chutejob.ID(name), Spec: spec})] = name
}

func (h *history) cancelRandomJob() {
	jobs := h.simulation.Jobs()
	if len(jobs) > 0 {
		h.simulation.Call(h.randomHost(), chutecall.CancelJob{Job: jobs[h.random.IntN(len(jobs))].ID})
	}
}

func (h *history) changeRandomZone() {
	zones := h.topology.Zones()
	zone := chutedocument.Zone{Name: string(zones[h.random.IntN(len(zones))]), Out: h.random.IntN(2) == 0}
	h.apply(h.randomHost(), chutedocument.Change{Team: "ops", SetZone: &zone})
	other := zone
	other.Out = !zone.Out
	if h.random.IntN(3) == 0 {
		h.apply(h.randomHost(), chutedocument.Change{Team: "ops", SetZone: &other})
	}
}

// injectFault starts a fault of the kind and schedules its end after a random time.
func (h *history) injectFault(kind string) {
	s, n := h.simulation, h.randomHost()
	duration := time.Duration(1+h.random.IntN(15)) * time.Second
	workers := h.topology.Workers()
	w := s.Workers[workers[h.random.IntN(len(workers))].ID]
	switch kind {
	case "crash":
		s.Crash(n)
		s.Schedule(duration, func() { s.Restart(n) })
	case "pause":
		s.Pause(n)
		s.Schedule(duration, func() { s.Resume(n) })
	case "stop":
		s.Stop(n)
		s.Schedule(duration, func() { s.Restart(n) })
	case "store-down":
		s.StoreFaults.Down = true
		s.Schedule(duration, func() { s.StoreFaults.Down = false })
	case "store-slow":
		s.StoreFaults.Delay = 700 * time.Millisecond
		s.Schedule(duration, func() { s.StoreFaults.Delay = 0 })
	case "answers-lost":
		s.StoreFaults.LoseResponses = true
		s.Schedule(duration, func() { s.StoreFaults.LoseResponses = false })
	case "store-cut":
		s.SetStoreCut(n, true)
		s.Schedule(duration, func() { s.SetStoreCut(n, false) })
	case "one-way":
		m := h.randomHost()
		s.SetLinkCut(n, m, true)
		s.Schedule(duration, func() { s.SetLinkCut(n, m, false) })
	case "worker-cut":
		w.Unreachable = true
		s.Schedule(duration, func() { w.Unreachable = false })
	case "worker-crash":
		w.Agent.Crash(s.Now)
	case "worker-faulty":
		w.Agent.SetFaulty(true)
		s.Schedule(duration, func() { w.Agent.SetFaulty(false) })
	case "zone":
		h.changeRandomZone()
	}
}

var faultKinds = []string{
	"crash", "pause", "stop", "store-down", "store-slow", "answers-lost", "store-cut", "one-way", "worker-cut", "worker-crash",
	"worker-faulty", "zone",
}

// endFaults waits until every fault has ended, restarts stopped hosts, brings all zones in, and leaves the jobs time to
// end.
func (h *history) endFaults() {
	h.simulation.Run(16 * time.Second)
	zones := []chutedocument.Zone{}
	for n := range h.simulation.Hosts {
		if !h.simulation.Alive(n) {
			h.simulation.Restart(n)
		}
	}
	h.simulation.Run(30 * time.Second)
	h.apply(0, chutedocument.Change{Team: "ops", Override: true, Zones: &zones})
	h.simulation.Run(5 * time.Minute)
}

// verify checks that the jobs at the end of the history agree with the replies to all submissions.
func (h *history) verify() {
	s := h.simulation
	known := make(map[chutejob.ID]chutejob.Job)
	for _, j := range s.Jobs() {
		known[j.ID] = j
	}
	s.CheckResults(s.Jobs())
	for id := range h.calls {
		reply, answered := s.Replies[id]
		job, isJob := reply.Reply.(chutecall.JobReply)
		if !answered || !isJob {
			continue
		}
		j, exists := known[job.Job.ID]
		switch {
		case !exists:
			s.ReportViolation("accepted job %s is lost", job.Job.ID)
		case j.Phase != chutejob.PhaseEnded:
			s.ReportViolation("accepted job %s (%s) is %s since %s, reason %s", j.ID, j.Spec.Shape, j.Phase, j.PhaseSince.Sub(StartTime()), j.StopReason)
		}
	}
	for id, name := range h.calls {
		h.verifyRefusedJob(id, name, known)
	}
}

// verifyRefusedJob checks that no job exists for a submission whose reply says that it did not run.
func (h *history) verifyRefusedJob(id chuteevent.CallID, name string, known map[chutejob.ID]chutejob.Job) {
	reply, answered := h.simulation.Replies[id].Reply.(chutecall.ResultReply)
	if !answered || reply.Result.Code.Class() != chuteresult.ClassNotRun {
		return
	}
	for _, j := range known {
		if strings.HasSuffix(string(j.ID), "-"+name) {
			h.simulation.ReportViolation("job %s was refused with %v, but exists", j.ID, reply.Result)
		}
	}
}

func TestHistories(t *testing.T) {
	for _, seed := range Seeds(1, 40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := newHistory(seed, 3)
			first := faultKinds[seed%uint64(len(faultKinds))]
			second := faultKinds[seed/uint64(len(faultKinds))%uint64(len(faultKinds))]
			for range 40 {
				switch h.random.IntN(8) {
				case 0, 1, 2, 3:
					h.submitRandomJob()
				case 4:
					h.cancelRandomJob()
				case 5:
					h.injectFault(first)
				case 6:
					h.injectFault(second)
				}
				h.simulation.Run(time.Duration(1+h.random.IntN(3000)) * time.Millisecond)
			}
			h.endFaults()
			h.verify()
			if h.simulation.Violation != "" {
				for _, line := range h.simulation.LogLines {
					t.Log(line)
				}
				t.Log(h.simulation.Counters)
				for _, j := range h.simulation.Jobs() {
					t.Logf("%s %s %+v %s attempt %d since %s %v", j.ID, j.Spec.Command, j.Spec.Shape, j.Phase, j.Attempt, j.PhaseSince.Sub(StartTime()), j.Result)
				}
				t.Fatalf("faults %s and %s: %s", first, second, h.simulation.Violation)
			}
		})
	}
}

func TestQuietHistory(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, 2)
	for range 20 {
		h.submitRandomJob()
	}
	h.simulation.Run(3 * time.Minute)
	h.verify()
	is.Equal(h.simulation.Violation, "")
	done := 0
	for _, j := range h.simulation.Jobs() {
		if j.Result.Code == chuteresult.Done || j.Result.Code == chuteresult.RanFailed {
			done++
		}
	}
	is.Equal(done, 20)
}
