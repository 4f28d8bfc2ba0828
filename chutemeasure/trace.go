package chutemeasure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chutesimulation"
	"monsoonchute.example/monsoonchute/chutetopology"
)

// Profile describes the workload of one user.
type Profile struct {
	Name          string
	Jobs          int           // number of submitted jobs
	Duration      time.Duration // of the submission period
	MedianRunTime time.Duration
	Spread        float64 // standard deviation of the logarithm of the run times
	LargeOneIn    int     // one job in this many is a large gang
	UrgentOneIn   int     // one job in this many is urgent
}

// Profiles returns the workloads of both users at their present sizes.
func Profiles() []Profile {
	return []Profile{
		{Name: "booking", Jobs: 900, Duration: 3 * time.Hour, MedianRunTime: 3 * time.Minute, Spread: 1.1, LargeOneIn: 12, UrgentOneIn: 20},
		{Name: "scoring", Jobs: 420, Duration: 3 * time.Hour, MedianRunTime: 5 * time.Minute, Spread: 1.2, LargeOneIn: 6, UrgentOneIn: 25},
	}
}

// Submission is one job of a trace. Its times are relative to the start of the trace.
type Submission struct {
	SubmitAt time.Duration
	Spec     chutejob.Spec
	RunTime  time.Duration // the true run time
	Fails    bool          // fails at its end on every worker
	CancelAt time.Duration // 0 for never
}

// Outage is a time in which a worker is unreachable or, if Faulty, fails the tasks that it starts.
type Outage struct {
	From, Until time.Duration
	Worker      chutetopology.WorkerID
	Faulty      bool
}

// Trace is a sequence of submissions and faults that is generated from a seed.
type Trace struct {
	Profile     Profile
	Topology    chutetopology.Topology
	Change      chutedocument.Change
	Submissions []Submission
	Outages     []Outage
	ZoneOutAt   time.Duration // when the first zone is taken out, 0 for never
	ZoneInAt    time.Duration // when it returns
}

// NewTrace returns the trace of the seed. With and without a zone change, submissions and outages are the same.
func NewTrace(profile Profile, seed uint64, zoneChange bool) Trace {
	random := rand.New(rand.NewPCG(seed, 11))
	t := Trace{Profile: profile, Topology: chutesimulation.Topology(4, 2, 6, 8), Change: guaranteeChange()}
	for i := range profile.Jobs {
		t.Submissions = append(t.Submissions, randomSubmission(profile, i, random))
	}
	slices.SortStableFunc(t.Submissions, func(a, b Submission) int { return int(a.SubmitAt - b.SubmitAt) })
	workers := t.Topology.Workers()
	for range 8 {
		from := time.Duration(random.Int64N(int64(profile.Duration)))
		t.Outages = append(t.Outages, Outage{
			From: from, Until: from + time.Duration(1+random.IntN(10))*time.Minute,
			Worker: workers[random.IntN(len(workers))].ID, Faulty: random.IntN(3) == 0,
		})
	}
	if zoneChange {
		t.ZoneOutAt, t.ZoneInAt = profile.Duration/2, profile.Duration/2+30*time.Minute
	}
	return t
}

// guaranteeChange returns a change that defines four workspaces, three of them with guaranteed shapes.
func guaranteeChange() chutedocument.Change {
	policy := chutedocument.DefaultPolicy()
	rack, zone, worker := chutetopology.LevelRack, chutetopology.LevelZone, chutetopology.LevelWorker
	workspaces := []chutedocument.Workspace{
		{Name: "counter", Guarantees: []chutedocument.Guarantee{
			{Count: 2, Shape: chutetopology.Shape{Parts: 2, Accelerators: 8, Within: rack}},
			{Count: 8, Shape: chutetopology.Shape{Parts: 1, Accelerators: 4, Within: worker}},
		}},
		{Name: "renders", Guarantees: []chutedocument.Guarantee{
			{Count: 1, Shape: chutetopology.Shape{Parts: 4, Accelerators: 8, Within: rack}},
		}},
		{Name: "fittings", Guarantees: []chutedocument.Guarantee{
			{Count: 1, Shape: chutetopology.Shape{Parts: 8, Accelerators: 8, Within: zone}},
		}},
		{Name: "previews"},
	}
	return chutedocument.Change{Team: "ops", Policy: &policy, Workspaces: &workspaces}
}

var workspaceNames = []string{"counter", "renders", "fittings", "previews"}

func randomSubmission(profile Profile, number int, random *rand.Rand) Submission {
	at := time.Duration(random.Int64N(int64(profile.Duration)))
	if random.IntN(3) == 0 {
		// A third of the jobs, small and large, arrive in bursts.
		at = profile.Duration*time.Duration(1+random.IntN(5))/6 + time.Duration(random.Int64N(int64(2*time.Minute)))
	}
	run := time.Duration(float64(profile.MedianRunTime) * math.Exp(random.NormFloat64()*profile.Spread))
	run = min(max(run, 5*time.Second), 90*time.Minute).Round(time.Second)
	s := Submission{SubmitAt: at, RunTime: run, Fails: random.IntN(40) == 0}
	verb := "run"
	if s.Fails {
		verb = "fail"
	}
	s.Spec = chutejob.Spec{
		Name: fmt.Sprintf("job%04d", number), Workspace: workspaceNames[random.IntN(len(workspaceNames))],
		Shape: randomShape(profile, random), Urgent: random.IntN(profile.UrgentOneIn) == 0,
		Repeatable: random.IntN(10) > 0, Checkpoint: random.IntN(10) > 2,
		ExpectedRunTime: time.Duration(float64(run) * math.Pow(10, 2*random.Float64()-1)),
		Command:         fmt.Sprintf("%s %s", verb, run),
	}
	if random.IntN(25) == 0 {
		s.CancelAt = profile.Duration / 3 * 2
	}
	return s
}

func randomShape(profile Profile, random *rand.Rand) chutetopology.Shape {
	if random.IntN(profile.LargeOneIn) == 0 {
		large := []chutetopology.Shape{
			{Parts: 4, Accelerators: 8, Within: chutetopology.LevelRack},
			{Parts: 6, Accelerators: 8, Within: chutetopology.LevelRack},
			{Parts: 8, Accelerators: 8, Within: chutetopology.LevelZone},
		}
		return large[random.IntN(len(large))]
	}
	small := []chutetopology.Shape{
		{Parts: 1, Accelerators: 1, Within: chutetopology.LevelWorker},
		{Parts: 1, Accelerators: 2, Within: chutetopology.LevelWorker},
		{Parts: 1, Accelerators: 4, Within: chutetopology.LevelWorker},
		{Parts: 1, Accelerators: 8, Within: chutetopology.LevelWorker},
		{Parts: 4, Accelerators: 2, Within: chutetopology.LevelRack},
		{Parts: 2, Accelerators: 8, Within: chutetopology.LevelRack},
	}
	return small[random.IntN(len(small))]
}
