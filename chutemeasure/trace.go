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

// Profile is the kind of work of one user.
type Profile struct {
	Name     string
	Jobs     int           // submitted in all
	Duration time.Duration // in which they are submitted
	MeanRun  time.Duration // of the middle job
	Spread   float64       // of the logarithm of run times
	LargeIn  int           // one job in this many is a large gang
	UrgentIn int           // one job in this many is urgent
}

// Profiles returns the work of both users at the sizes of today.
func Profiles() []Profile {
	return []Profile{
		{Name: "booking", Jobs: 900, Duration: 3 * time.Hour, MeanRun: 3 * time.Minute, Spread: 1.1, LargeIn: 12, UrgentIn: 20},
		{Name: "scoring", Jobs: 420, Duration: 3 * time.Hour, MeanRun: 5 * time.Minute, Spread: 1.2, LargeIn: 6, UrgentIn: 25},
	}
}

// Submission is one job of a trace.
type Submission struct {
	At     time.Duration
	Spec   chutejob.Spec
	Run    time.Duration // the true run time
	Fails  bool          // fails at its end, wherever it runs
	Cancel time.Duration // when it is cancelled, 0 for never
}

// Outage is a time in which a worker cannot be reached or fails what it starts.
type Outage struct {
	From, Until time.Duration
	Worker      chutetopology.WorkerID
	Faulty      bool
}

// Trace is one seeded course of work and faults.
type Trace struct {
	Profile     Profile
	Topology    chutetopology.Topology
	Change      chutedocument.Change
	Submissions []Submission
	Outages     []Outage
	ZoneOut     time.Duration // when the first zone leaves, 0 for never
	ZoneIn      time.Duration
}

// NewTrace returns the trace of the seed; without a zone change all else is the same.
func NewTrace(profile Profile, seed uint64, zoneChange bool) Trace {
	random := rand.New(rand.NewPCG(seed, 11))
	t := Trace{Profile: profile, Topology: chutesimulation.Topology(4, 2, 6, 8), Change: guarantees()}
	for i := range profile.Jobs {
		t.Submissions = append(t.Submissions, submission(profile, i, random))
	}
	slices.SortStableFunc(t.Submissions, func(a, b Submission) int { return int(a.At - b.At) })
	workers := t.Topology.Workers()
	for range 8 {
		from := time.Duration(random.Int64N(int64(profile.Duration)))
		t.Outages = append(t.Outages, Outage{
			From: from, Until: from + time.Duration(1+random.IntN(10))*time.Minute,
			Worker: workers[random.IntN(len(workers))].ID, Faulty: random.IntN(3) == 0,
		})
	}
	if zoneChange {
		t.ZoneOut, t.ZoneIn = profile.Duration/2, profile.Duration/2+30*time.Minute
	}
	return t
}

// guarantees returns four workspaces, of which three have guaranteed shapes.
func guarantees() chutedocument.Change {
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

func submission(profile Profile, number int, random *rand.Rand) Submission {
	at := time.Duration(random.Int64N(int64(profile.Duration)))
	if random.IntN(3) == 0 {
		// Bursts of small and large jobs arrive together.
		at = profile.Duration*time.Duration(1+random.IntN(5))/6 + time.Duration(random.Int64N(int64(2*time.Minute)))
	}
	run := time.Duration(float64(profile.MeanRun) * math.Exp(random.NormFloat64()*profile.Spread))
	run = min(max(run, 5*time.Second), 90*time.Minute).Round(time.Second)
	s := Submission{At: at, Run: run, Fails: random.IntN(40) == 0}
	verb := "run"
	if s.Fails {
		verb = "fail"
	}
	s.Spec = chutejob.Spec{
		Name: fmt.Sprintf("job%04d", number), Workspace: workspaceNames[random.IntN(len(workspaceNames))],
		Shape: shape(profile, random), Urgent: random.IntN(profile.UrgentIn) == 0,
		Repeatable: random.IntN(10) > 0, Checkpoint: random.IntN(10) > 2,
		ExpectedRunTime: time.Duration(float64(run) * math.Pow(10, 2*random.Float64()-1)),
		Command:         fmt.Sprintf("%s %s", verb, run),
	}
	if random.IntN(25) == 0 {
		s.Cancel = profile.Duration / 3 * 2
	}
	return s
}

func shape(profile Profile, random *rand.Rand) chutetopology.Shape {
	if random.IntN(profile.LargeIn) == 0 {
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
