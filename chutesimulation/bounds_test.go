package chutesimulation

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonchute.example/monsoonchute/chutecall"
	"monsoonchute.example/monsoonchute/chutedocument"
	"monsoonchute.example/monsoonchute/chutejob"
	"monsoonchute.example/monsoonchute/chuteresult"
	"monsoonchute.example/monsoonchute/chutetable"
	"monsoonchute.example/monsoonchute/chutetopology"
)

const (
	// crashGoal, handOverGoal and changeGoal are the users' bounds.
	crashBound       = 10 * time.Second
	plannedStopBound = time.Second
	changeBound      = 3 * time.Second
)

// owner returns the host that owns the shard, -1 if none does.
func (s *Simulation) owner(shard int) int {
	for i, h := range s.Hosts {
		if _, owns := h.State.Shard(shard); owns && h.alive && h.State.MayStart(s.Now) {
			return i
		}
	}
	return -1
}

// ownerless runs until another host owns the shard and returns how long that took.
func (s *Simulation) timeWithoutOwner(shard, before int) time.Duration {
	start := s.Now
	for s.Now.Sub(start) < time.Minute {
		if now := s.owner(shard); now >= 0 && now != before {
			break
		}
		s.Run(10 * time.Millisecond)
	}
	return s.Now.Sub(start)
}

// TestOwnersAreReplacedInTime takes the owner of a shard away, by a crash and by a planned stop, while a job runs that
// must not run twice, and holds the time without an owner against the bound and the job against its end.
func TestOwnersAreReplacedInTime(t *testing.T) {
	cases := []struct {
		name   string
		bound  time.Duration
		remove func(*Simulation, int)
	}{
		{"crash", crashBound, func(s *Simulation, n int) { s.Crash(n) }},
		{"planned stop", plannedStopBound, func(s *Simulation, n int) { s.Stop(n) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var longest time.Duration
			for _, seed := range Seeds(1, 10) {
				h := newHistory(2*seed, 8)
				s := h.simulation
				spec := chutejob.Spec{Name: "j", Workspace: "a", Command: "run 25s", Shape: chutetopology.Shape{
					Parts: 2, Accelerators: 4, Within: chutetopology.LevelRack,
				}}
				s.Call(0, chutecall.SubmitJob{Job: "j", Spec: spec})
				s.Run(time.Duration(3000+seed*37) * time.Millisecond)
				before := s.owner(0)
				c.remove(s, before)
				longest = max(longest, s.timeWithoutOwner(0, before))
				s.Run(time.Minute)
				s.CheckResults(s.Jobs())
				is.Equal(s.Violation, "")
				is.Equal(len(s.Jobs()), 1)
				is.Equal(s.Jobs()[0].Result.Code, chuteresult.Done) // the job went on without an owner
				is.Equal(s.Jobs()[0].Attempt, 1)
			}
			t.Logf("longest time without an owner: %s", longest)
			is.True(longest <= c.bound)
		})
	}
}

// TestChangesAreInForceInTime makes changes through random hosts and measures when the last host has each.
func TestChangesAreInForceInTime(t *testing.T) {
	is := is.New(t)
	var times []time.Duration
	for _, seed := range Seeds(1, 10) {
		h := newHistory(seed, 8)
		s := h.simulation
		for i := range 50 {
			zone := chutedocument.Zone{Name: "zone-a", Out: i%2 == 0}
			h.apply(h.randomHost(), chutedocument.Change{Team: "ops", SetZone: &zone})
			start := s.Now
			version := len(s.documents) + 1
			for !s.inForceEverywhere(version) && s.Now.Sub(start) < time.Minute {
				s.Run(5 * time.Millisecond)
			}
			times = append(times, s.Now.Sub(start))
		}
		is.Equal(s.Violation, "")
	}
	slices.Sort(times)
	t.Logf("in force everywhere: p50 %s, p99 %s, max %s", times[len(times)/2], times[len(times)*99/100], times[len(times)-1])
	is.True(times[len(times)*99/100] < changeBound)
}

func (s *Simulation) inForceEverywhere(version int) bool {
	for _, h := range s.Hosts {
		if h.State.Document().Version < version {
			return false
		}
	}
	return true
}

// TestAStoreOutageStopsNoRunningJob takes the store away for an hour.
func TestAStoreOutageStopsNoRunningJob(t *testing.T) {
	is := is.New(t)
	h := newHistory(2, 3)
	s := h.simulation
	spec := chutejob.Spec{Name: "long", Workspace: "a", Command: "run 40m", Shape: chutetopology.Shape{
		Parts: 2, Accelerators: 4, Within: chutetopology.LevelRack,
	}}
	s.Call(0, chutecall.SubmitJob{Job: "long", Spec: spec})
	s.Run(5 * time.Second)
	s.StoreFaults.Down = true
	s.Run(30 * time.Second)
	late := s.Call(0, chutecall.SubmitJob{Job: "late", Spec: spec})
	starts := len(s.StartedAttempts())
	s.Run(time.Hour)
	is.Equal(len(s.StartedAttempts()), starts) // nothing starts without the store
	_, accepted := s.Replies[late].Reply.(chutecall.JobReply)
	is.True(!accepted)
	s.StoreFaults.Down = false
	s.Run(2 * time.Minute)
	is.Equal(s.Violation, "")
	job := s.Jobs()[0]
	is.Equal(job.Result.Code, chuteresult.Done)
	is.Equal(job.Attempt, 1)
}

// TestOldJobsAreDeleted ends a job and looks for its row after the retention.
func TestOldJobsAreDeleted(t *testing.T) {
	is := is.New(t)
	h := newHistory(2, 2)
	s := h.simulation
	policy := chutedocument.DefaultPolicy()
	policy.IntentRetention = 2 * time.Minute
	h.apply(0, chutedocument.Change{Team: "ops", Override: true, Policy: &policy})
	s.Run(time.Second)
	spec := chutejob.Spec{Name: "j", Workspace: "a", Command: "run 1s", Shape: chutetopology.Shape{
		Parts: 1, Accelerators: 1, Within: chutetopology.LevelWorker,
	}}
	s.Call(0, chutecall.SubmitJob{Job: "j", Spec: spec})
	s.Run(20 * time.Second)
	is.Equal(len(s.Table.Read(chutetable.JobPrefix(0), false)), 1)
	s.Run(time.Minute)
	is.Equal(len(s.Jobs()), 1) // still shown
	s.Run(3 * time.Minute)
	is.Equal(len(s.Table.Read(chutetable.JobPrefix(0), false)), 0)
	is.Equal(len(s.Jobs()), 0)
	is.Equal(s.Violation, "")
}
