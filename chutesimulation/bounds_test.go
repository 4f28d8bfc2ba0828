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
	// The users require these bounds: for the time without an owner after a crash and after a planned stop, and for the
	// time until a change is in force on all hosts.
	crashBound       = 10 * time.Second
	plannedStopBound = time.Second
	changeBound      = 3 * time.Second
)

// owner returns the index of the host that owns the shard and may start tasks, or -1 if there is none.
func (s *Simulation) owner(shard int) int {
	for i, h := range s.Hosts {
		if _, owns := h.State.Shard(shard); owns && h.alive && h.State.MayStart(s.Now) {
			return i
		}
	}
	return -1
}

// timeWithoutOwner runs the simulation until a host other than the previous owner owns the shard, for a minute at most,
// and returns the time that passed.
func (s *Simulation) timeWithoutOwner(shard, previous int) time.Duration {
	start := s.Now
	for s.Now.Sub(start) < time.Minute {
		if now := s.owner(shard); now >= 0 && now != previous {
			break
		}
		s.Run(10 * time.Millisecond)
	}
	return s.Now.Sub(start)
}

// TestOwnersAreReplacedInTime crashes or stops the owner of a shard while a job runs that must not run twice, and
// checks that another host takes over within the bound and that the job ends well in its first attempt.
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
				previous := s.owner(0)
				c.remove(s, previous)
				longest = max(longest, s.timeWithoutOwner(0, previous))
				s.Run(time.Minute)
				s.CheckResults(s.Jobs())
				is.Equal(s.Violation, "")
				is.Equal(len(s.Jobs()), 1)
				is.Equal(s.Jobs()[0].Result.Code, chuteresult.Done) // the job kept running while the shard had no owner
				is.Equal(s.Jobs()[0].Attempt, 1)
			}
			t.Logf("longest time without an owner: %s", longest)
			is.True(longest <= c.bound)
		})
	}
}

// TestChangesAreInForceInTime applies changes through random hosts and checks how long each takes to reach all hosts.
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

// TestAStoreOutageStopsNoRunningJob checks that jobs keep running, and that none is accepted or started, while the
// store is down for an hour.
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
	is.Equal(len(s.StartedAttempts()), starts) // no attempt starts without the store
	_, accepted := s.Replies[late].Reply.(chutecall.JobReply)
	is.True(!accepted)
	s.StoreFaults.Down = false
	s.Run(2 * time.Minute)
	is.Equal(s.Violation, "")
	job := s.Jobs()[0]
	is.Equal(job.Result.Code, chuteresult.Done)
	is.Equal(job.Attempt, 1)
}

// TestOldJobsAreDeleted checks that the row of a job that has ended is deleted after the retention time.
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
	is.Equal(len(s.Jobs()), 1) // the job is still listed within the retention time
	s.Run(3 * time.Minute)
	is.Equal(len(s.Table.Read(chutetable.JobPrefix(0), false)), 0)
	is.Equal(len(s.Jobs()), 0)
	is.Equal(s.Violation, "")
}
